package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/request"
)

// maxBufferedBody is the largest response body, in bytes, that is buffered before
// it is forwarded.
const maxBufferedBody = 8 << 20

// bufferedResponse is a complete non-streaming response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardBuffered reads a response completely before any of it is forwarded. If the
// server fails meanwhile, the request can be retried, and the client never
// receives a truncated response.
func (x *exchange) forwardBuffered(s *send, ok bool) (request.SendOutcome, bool) {
	t, reply := s.target, s.reply
	body, err := x.readResponse(reply.Body, reply.ContentLength)
	if errors.Is(err, errNotBuffered) {
		return x.forwardUnbuffered(s, reply, body)
	}
	if err != nil || reply.ContentLength >= 0 && int64(len(body)) != reply.ContentLength {
		x.logEvent("response truncated", t, "status", reply.Status, "bytes", len(body), "err", err)
		x.interrupted = s.timed.Err() == nil && !errors.Is(err, errNoRoom)
		return request.ResponseLost, false
	}
	elapsed := time.Since(s.sentAt)
	resp := &bufferedResponse{reply.Status, reply.Header, body}
	failed := reply.Status >= http.StatusInternalServerError
	latency := t.comparableLatency(0)
	x.relay.Rollouts.recordResponse(t, x.route.Name, failed, latency)
	if !failed {
		x.relay.State.recordResponse(t, elapsed, x.service.Engine != nil)
		x.recordWait()
	}
	if failed {
		x.serverFailure = resp
		if x.retryState.Repeatable {
			x.logEvent("server failed", t, "status", reply.Status)
			return request.ErrorResponse, false
		}
	}
	x.succeeded = ok
	x.relay.Metrics.Responses(ok).Inc(1)
	x.relay.Metrics.ResponseLatency.RecordDuration(time.Since(x.call.Received))
	x.logEvent("answered", t, "status", reply.Status, "bytes", len(body), "latency", latency)
	x.complete = resp
	return request.ErrorResponse, true
}

// forwardUnbuffered forwards a response that is not buffered, of which prefix has been read. It
// aborts the response if the server fails. The send is nil if another daemon has sent the request.
func (x *exchange) forwardUnbuffered(s *send, reply *BackendResponse, prefix []byte) (request.SendOutcome, bool) {
	var t *target
	if s != nil {
		t = s.target
		x.relay.Rollouts.dropPending(t) // how long the rest takes depends on the client
	}
	x.begin(responseHeader{reply.Status, reply.Header, reply.ContentLength}, prefix)
	out := &bodyWriter{out: x.paced}
	n, err := io.CopyBuffer(out, reply.Body, make([]byte, writeChunkBytes))
	n += int64(len(prefix))
	if err == nil && reply.ContentLength >= 0 && n != reply.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.logEvent("unbuffered response truncated", t, "status", reply.Status, "bytes", n, "err", err)
		x.interrupted = s != nil && out.err == nil && s.timed.Err() == nil
		x.partlySent = true
		return request.ResponseLost, false
	}
	if s != nil {
		x.relay.Rollouts.recordResponse(t, x.route.Name, reply.Status >= http.StatusInternalServerError, unknownLatency)
	}
	x.succeeded = true
	x.logEvent("answered", t, "status", reply.Status, "bytes", n)
	x.relay.Metrics.Responses(true).Inc(1)
	return request.ErrorResponse, true
}

// bodyWriter implements io.Writer on a pacedWriter.
type bodyWriter struct {
	out *pacedWriter
	// err is why the client gets no more.
	err error
}

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	if w.err = w.out.WriteBody(p); w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// beginAnswer observes the answer to a send for the roll-outs.
func (x *exchange) beginAnswer(t *target, sentAt time.Time) {
	t.unproven = x.relay.Rollouts.unproven(t)
	t.pending = &pendingAnswer{target: t, route: x.route.Name, sentAt: sentAt}
	if x.service.Engine != nil {
		t.pending.first, t.pending.interval = x.relay.State.typicalEngineLatency(t)
	}
	x.relay.Rollouts.beginAnswer(t.pending)
}

// comparableLatency returns the latency of a complete answer, with a number of events, as that of the same
// route on another version is compared with it: as a ratio to that of a typical engine, or in
// seconds for a plain service.
func (t *target) comparableLatency(events int) float64 {
	t.pending.events.Store(int64(events))
	return t.pending.latency(time.Now())
}

// forwardStream forwards the events of a response as they arrive.
func (x *exchange) forwardStream(sent *send) (request.SendOutcome, bool) {
	if x.escalate(sent) {
		return request.LowConfidence, false
	}
	t := sent.target
	s := &streamForwarder{x: x, t: t, reply: sent.reply, sentAt: sent.sentAt, observer: serverStream{x, t, sent.watch}, reserved: reservation{held: x.held}}
	err := s.copy()
	switch {
	case err == nil:
		x.recordStream(s)
		return request.ErrorResponse, true
	case errors.Is(err, errClientDisconnected):
		return request.ResponseLost, false
	}
	x.interrupted = !errors.Is(err, errNoRoom)
	x.logEvent("stream interrupted", t, "last_event", x.lastEvent, "err", err, "cause", context.Cause(sent.timed))
	return request.Truncated, false
}

// recordStream records a complete stream.
func (x *exchange) recordStream(s *streamForwarder) {
	x.succeeded = true
	x.relay.Metrics.Responses(true).Inc(1)
	latency := s.t.comparableLatency(s.events)
	x.logEvent("streamed", s.t, "last_event", x.lastEvent, "events", s.events, "first_ms", x.firstEventAt.Sub(x.call.Received).Milliseconds(), "latency", latency)
	x.relay.Rollouts.recordResponse(s.t, x.route.Name, false, latency)
	if s.events > 1 {
		x.recordStreamEnd(s.t, time.Since(s.firstEventAt))
		x.relay.State.recordEventInterval(s.t, time.Since(s.firstEventAt)/time.Duration(s.events-1))
	}
}

// streamObserver observes the arrival of a stream.
type streamObserver interface {
	// progress is called when data has arrived, and arrived with the number of events so far.
	progress()
	arrived(events int)
	// firstEvent is called when the first event is forwarded, and shortGap with the shortest of some
	// gaps between events.
	firstEvent(elapsed time.Duration)
	shortGap(gap time.Duration)
	// forwarding is called before and after data is handed to the client, who may not read it.
	forwarding(active bool)
}

// serverStream observes the stream of a server.
type serverStream struct {
	x *exchange
	t *target
	a *attempt
}

func (s serverStream) progress()          { s.a.recordProgress() }
func (s serverStream) arrived(events int) { s.t.pending.events.Store(int64(events)) }

func (s serverStream) shortGap(gap time.Duration) { s.x.relay.State.recordShortGap(s.t, gap) }
func (s serverStream) forwarding(active bool) {
	s.a.recordProgress()
	s.a.forwarding.Store(active)
}

func (s serverStream) firstEvent(elapsed time.Duration) {
	s.x.relay.Guard.MarkForwarded(s.x.run)
	s.x.relay.State.recordResponse(s.t, elapsed, true)
	s.x.recordFirstEvent(s.t, elapsed)
	s.x.recordWait()
}

// forwardedStream ignores a stream that another daemon observes.
type forwardedStream struct{}

func (forwardedStream) progress()                {}
func (forwardedStream) arrived(int)              {}
func (forwardedStream) firstEvent(time.Duration) {}
func (forwardedStream) shortGap(time.Duration)   {}
func (forwardedStream) forwarding(bool)          {}

// streamForwarder forwards one server's stream.
type streamForwarder struct {
	x            *exchange
	t            *target
	observer     streamObserver
	reply        *BackendResponse
	sentAt       time.Time
	firstEventAt time.Time
	events       int
	gaps         eventGaps
	reader       eventReader
	batch        []byte
	// reserved is the memory of long events.
	reserved reservation
}

var (
	errClientDisconnected = errors.New("client disconnected")
	errMissingEvent       = errors.New("event missing from stream")
	errTruncatedEvent     = errors.New("stream ended within an event")
	errEmptyStream        = errors.New("stream ended without an event")
)

const (
	// streamBufferSize is the size of a stream's read buffer in bytes.
	streamBufferSize = 1024
	// smallEventBytes is the largest size of events, in bytes, for which no memory is reserved.
	smallEventBytes = 4 << 10
	// eventCopies is the number of copies that a stream holds of an event: as it arrives and as it is
	// forwarded.
	eventCopies = 2
	// reserveStepBytes is the least number of bytes that are reserved at a time.
	reserveStepBytes = 16 << 10
)

// copy forwards complete events until the stream ends. It returns nil if the
// stream ended properly.
func (s *streamForwarder) copy() error {
	defer s.reserved.release()
	buf := make([]byte, streamBufferSize)
	for {
		n, err := s.reply.Body.Read(buf)
		if n > 0 {
			s.observer.progress()
			if e := s.process(buf[:n]); e != nil {
				return e
			}
		}
		switch {
		case err == nil:
		case err != io.EOF:
			return err
		case s.reader.partial():
			return errTruncatedEvent
		case s.events == 0 && !s.x.headerSent:
			return errEmptyStream
		default:
			return nil
		}
	}
}

// process forwards the events that a chunk completes, in one write.
func (s *streamForwarder) process(chunk []byte) error {
	if err := s.reserve(len(s.reader.buf) + len(chunk)); err != nil {
		return err
	}
	defer s.releaseLongEvents()
	if err := s.reader.feed(chunk); err != nil {
		return err
	}
	s.batch = s.batch[:0]
	before := s.events
	for {
		e, ok := s.reader.next()
		if !ok {
			break
		}
		if err := s.accept(e); err != nil {
			return err
		}
	}
	s.observer.arrived(s.events)
	if gap := s.gaps.record(s.events-before, time.Now()); gap > 0 {
		s.observer.shortGap(gap)
	}
	return s.flush()
}

// reserve reserves memory for events of a size in bytes that are not forwarded yet.
func (s *streamForwarder) reserve(size int) error {
	missing := int64(eventCopies*size) - s.reserved.bytes
	if size <= smallEventBytes || missing <= 0 {
		return nil
	}
	return s.reserved.grow(max(missing, reserveStepBytes))
}

// releaseLongEvents drops the buffers of long events once these are forwarded.
func (s *streamForwarder) releaseLongEvents() {
	if s.reserved.bytes > 0 && len(s.reader.buf) <= smallEventBytes {
		s.reader.buf, s.batch = bytes.Clone(s.reader.buf), nil
		s.reserved.release()
	}
}

// accept adds the event that follows the last one. After a failover the new server
// may start too early, which would duplicate events, or too late.
func (s *streamForwarder) accept(e event) error {
	if follows, err := e.follows(s.x.lastEvent); !follows {
		return err
	}
	if e.id != NoEvent {
		s.x.lastEvent = e.id
	}
	s.events++
	s.batch = append(s.batch, e.raw...)
	return nil
}

func (s *streamForwarder) flush() error {
	if len(s.batch) == 0 {
		return nil
	}
	if s.firstEventAt.IsZero() {
		s.recordFirstEvent()
	}
	if !s.x.headerSent {
		s.x.begin(responseHeader{s.reply.Status, s.reply.Header, -1}, nil)
	}
	s.observer.forwarding(true)
	err := s.x.paced.WriteBody(s.batch)
	s.observer.forwarding(false)
	if err != nil {
		return errClientDisconnected
	}
	return nil
}

// recordFirstEvent records the first event of this server.
func (s *streamForwarder) recordFirstEvent() {
	s.firstEventAt = time.Now()
	s.observer.firstEvent(s.firstEventAt.Sub(s.sentAt))
	if !s.x.firstEventAt.IsZero() {
		return
	}
	s.x.firstEventAt = s.firstEventAt
	total := s.firstEventAt.Sub(s.x.call.Received)
	s.x.relay.Metrics.FirstEventLatency.RecordDuration(total)
}
