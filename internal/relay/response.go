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

// maxBufferedBody bounds a plain answer that is held until it is whole, in bytes: a
// thirtieth of a daemon's memory on the smallest VMs.
const maxBufferedBody = 8 << 20

// bufferedResponse is a whole plain answer.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (a *bufferedResponse) writeTo(out ResponseWriter) {
	out.WriteHeader(a.status, a.header, int64(len(a.body)))
	_ = out.WriteBody(a.body) // a caller that left is noticed by its context
}

// forwardBuffered reads an answer whole before it passes on any of it. A server may break
// off or be reset in the middle; then the request can still go elsewhere, and a
// part is never taken for the whole.
func (x *exchange) forwardBuffered(t *target, reply *BackendResponse, sentAt time.Time, ok bool) (request.Outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		return x.forwardUnbuffered(t, reply, body)
	}
	if err != nil || reply.ContentLength >= 0 && int64(len(body)) != reply.ContentLength {
		x.logEvent("answer broke off", t, "status", reply.Status, "bytes", len(body), "err", err)
		return request.Lost, false
	}
	elapsed := time.Since(sentAt)
	a := &bufferedResponse{reply.Status, reply.Header, body}
	failed := reply.Status >= http.StatusInternalServerError
	x.relay.Rollouts.recordResponse(t, failed, x.latencyRatio(t, elapsed, 0))
	if !failed {
		x.relay.State.recordResponse(t, elapsed, x.service.Engine != nil)
	}
	if failed {
		x.serverFailure = a
		if x.journey.Repeatable {
			x.logEvent("server failed", t, "status", reply.Status)
			return request.Failed, false
		}
	}
	x.succeeded = ok
	x.relay.Metrics.Responses(ok).Inc(1)
	x.relay.Metrics.ResponseLatency.RecordDuration(time.Since(x.call.Received))
	x.logEvent("answered", t, "status", reply.Status, "bytes", len(body))
	a.writeTo(x.out)
	return request.Failed, true
}

// forwardUnbuffered passes an answer on that is too long to be held: what came so far, and the
// rest as it comes. One that breaks off is cut, or its beginning would look whole.
func (x *exchange) forwardUnbuffered(t *target, reply *BackendResponse, prefix []byte) (request.Outcome, bool) {
	x.headerSent = true
	x.out.WriteHeader(reply.Status, reply.Header, reply.ContentLength)
	n, err := io.Copy(bodyWriter{x.out}, io.MultiReader(bytes.NewReader(prefix), reply.Body))
	if err == nil && reply.ContentLength >= 0 && n != reply.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.logEvent("long answer broke off", t, "status", reply.Status, "bytes", n, "err", err)
		x.journey.Repeatable = false // no other answer fits what the caller has of this one
		return request.Lost, false
	}
	x.succeeded = true
	x.logEvent("answered", t, "status", reply.Status, "bytes", n)
	x.relay.Metrics.Responses(true).Inc(1)
	return request.Failed, true
}

// bodyWriter writes to a caller.
type bodyWriter struct{ out ResponseWriter }

// Write implements io.Writer.
func (p bodyWriter) Write(b []byte) (int, error) {
	if err := p.out.WriteBody(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// latencyRatio relates the time to an answer, with a number of pauses between events, to
// what is usual; 0 if that is not known yet.
func (x *exchange) latencyRatio(t *target, elapsed time.Duration, intervals int) float64 {
	first, interval := x.relay.State.typicalLatency(t, x.service.Engine != nil)
	expected := first + float64(intervals)*interval
	if first <= 0 {
		return 0
	}
	return elapsed.Seconds() / expected
}

// forwardStream passes the events of an answer on as they come.
func (x *exchange) forwardStream(ctx context.Context, t *target, a *attempt, reply *BackendResponse, sentAt time.Time) (request.Outcome, bool) {
	if x.escalate(t, reply.Confidence, sentAt) {
		return request.Unconvincing, false
	}
	s := &streamForwarder{x: x, t: t, a: a, reply: reply, sentAt: sentAt}
	err := s.copy()
	switch {
	case err == nil:
		x.recordStream(s)
		return request.Failed, true
	case errors.Is(err, errClientDisconnected):
		return request.Lost, false
	}
	x.relay.Rollouts.recordResponse(t, ctx.Err() == nil, 0)
	x.logEvent("stream broke off", t, "last_event", x.lastEvent, "err", err, "cause", context.Cause(ctx))
	return request.CutShort, false
}

// recordStream books a complete stream.
func (x *exchange) recordStream(s *streamForwarder) {
	x.succeeded = true
	x.relay.Metrics.Responses(true).Inc(1)
	x.logEvent("streamed", s.t, "last_event", x.lastEvent, "events", s.events, "first_ms", x.firstEventAt.Sub(x.call.Received).Milliseconds())
	x.relay.Rollouts.recordResponse(s.t, false, x.latencyRatio(s.t, time.Since(s.sentAt), s.events-1))
	if s.events > 1 {
		x.recordStreamEnd(s.t, time.Since(s.firstEventAt))
		x.relay.State.recordEventInterval(s.t, time.Since(s.firstEventAt)/time.Duration(s.events-1))
	}
}

// streamForwarder is the passing on of one server's stream.
type streamForwarder struct {
	x            *exchange
	t            *target
	a            *attempt
	reply        *BackendResponse
	sentAt       time.Time
	firstEventAt time.Time
	events       int
	reader       eventReader
	batch        []byte
}

var (
	errClientDisconnected = errors.New("the caller left")
	errMissingEvent       = errors.New("an event is missing")
	errTruncatedEvent     = errors.New("the stream ended inside an event")
	errEmptyStream        = errors.New("the stream ended without an event")
)

// streamBufferSize is the size of a stream's read buffer in bytes: some events.
const streamBufferSize = 1024

// copy passes whole events on until the stream ends. A nil error means that it
// ended properly.
func (s *streamForwarder) copy() error {
	buf := make([]byte, streamBufferSize)
	for {
		n, err := s.reply.Body.Read(buf)
		if n > 0 {
			s.a.recordProgress()
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

// process passes on the events that some bytes complete, in one write.
func (s *streamForwarder) process(p []byte) error {
	if err := s.reader.feed(p); err != nil {
		return err
	}
	s.batch = s.batch[:0]
	for {
		e, ok := s.reader.next()
		if !ok {
			break
		}
		if err := s.accept(e); err != nil {
			return err
		}
	}
	return s.flush()
}

// accept takes the event that follows the last one. After a change of servers the
// new one may begin too early, which would double events, or too late.
func (s *streamForwarder) accept(e event) error {
	if e.id != NoEvent && s.x.lastEvent != NoEvent {
		if e.id <= s.x.lastEvent {
			return nil
		}
		if e.id != s.x.lastEvent+1 {
			return errMissingEvent
		}
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
		s.x.headerSent = true
		s.x.out.WriteHeader(s.reply.Status, s.reply.Header, -1)
	}
	if err := s.x.out.WriteBody(s.batch); err != nil {
		return errClientDisconnected
	}
	return nil
}

// recordFirstEvent books the first event of this server.
func (s *streamForwarder) recordFirstEvent() {
	s.firstEventAt = time.Now()
	s.x.relay.Guard.Pass(s.x.run)
	elapsed := s.firstEventAt.Sub(s.sentAt)
	s.x.relay.State.recordResponse(s.t, elapsed, true)
	s.x.recordFirstEvent(s.t, elapsed)
	if !s.x.firstEventAt.IsZero() {
		return
	}
	s.x.firstEventAt = s.firstEventAt
	total := s.firstEventAt.Sub(s.x.call.Received)
	s.x.relay.Metrics.FirstEventLatency.RecordDuration(total)
}
