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

// maxPlain bounds a plain answer that is held until it is whole, in bytes: a
// thirtieth of a daemon's memory on the smallest VMs.
const maxPlain = 8 << 20

// answer is a whole plain answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) deliver(out Caller) {
	out.Head(a.status, a.header, int64(len(a.body)))
	_ = out.Pass(a.body) // a caller that left is noticed by its context
}

// plain reads an answer whole before it passes on any of it. A server may break
// off or be reset in the middle; then the request can still go elsewhere, and a
// part is never taken for the whole.
func (x *exchange) plain(t *target, reply *BackendResponse, began time.Time, ok bool) (request.SendOutcome, bool) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxPlain+1))
	if err == nil && len(body) > maxPlain {
		return x.passOn(t, reply, body)
	}
	if err != nil || reply.ContentLength >= 0 && int64(len(body)) != reply.ContentLength {
		x.note("answer broke off", t, "status", reply.Status, "bytes", len(body), "err", err)
		return request.ResponseLost, false
	}
	took := time.Since(began)
	a := &answer{reply.Status, reply.Header, body}
	failed := reply.Status >= http.StatusInternalServerError
	x.relay.Rollouts.observe(t, failed, x.ratio(t, took, 0))
	if !failed {
		x.relay.State.began(t, took, x.service.Engine != nil)
	}
	if failed {
		x.failure = a
		if x.journey.Repeatable {
			x.note("server failed", t, "status", reply.Status)
			return request.ErrorResponse, false
		}
	}
	x.succeeded = ok
	x.relay.Metrics.Answered(ok).Inc(1)
	x.relay.Metrics.Latency.RecordDuration(time.Since(x.call.Received))
	x.note("answered", t, "status", reply.Status, "bytes", len(body))
	a.deliver(x.out)
	return request.ErrorResponse, true
}

// passOn passes an answer on that is too long to be held: what came so far, and the
// rest as it comes. One that breaks off is cut, or its beginning would look whole.
func (x *exchange) passOn(t *target, reply *BackendResponse, begun []byte) (request.SendOutcome, bool) {
	x.headed = true
	x.out.Head(reply.Status, reply.Header, reply.ContentLength)
	n, err := io.Copy(passing{x.out}, io.MultiReader(bytes.NewReader(begun), reply.Body))
	if err == nil && reply.ContentLength >= 0 && n != reply.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.note("long answer broke off", t, "status", reply.Status, "bytes", n, "err", err)
		x.journey.Repeatable = false // no other answer fits what the caller has of this one
		return request.ResponseLost, false
	}
	x.succeeded = true
	x.note("answered", t, "status", reply.Status, "bytes", n)
	x.relay.Metrics.Answered(true).Inc(1)
	return request.ErrorResponse, true
}

// passing writes to a caller.
type passing struct{ out Caller }

// Write implements io.Writer.
func (p passing) Write(b []byte) (int, error) {
	if err := p.out.Pass(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// ratio relates the time to an answer, with a number of pauses between events, to
// what is usual; 0 if that is not known yet.
func (x *exchange) ratio(t *target, took time.Duration, pauses int) float64 {
	first, gap := x.relay.State.typical(t, x.service.Engine != nil)
	usual := first + float64(pauses)*gap
	if first <= 0 {
		return 0
	}
	return took.Seconds() / usual
}

// stream passes the events of an answer on as they come.
func (x *exchange) stream(ctx context.Context, t *target, a *attempt, reply *BackendResponse, began time.Time) (request.SendOutcome, bool) {
	if x.escalates(t, reply.Confidence, began) {
		return request.LowConfidence, false
	}
	s := &streaming{x: x, t: t, a: a, reply: reply, began: began}
	err := s.copy()
	switch {
	case err == nil:
		x.streamed(s)
		return request.ErrorResponse, true
	case errors.Is(err, errCallerLeft):
		return request.ResponseLost, false
	}
	x.relay.Rollouts.observe(t, ctx.Err() == nil, 0)
	x.note("stream broke off", t, "last_event", x.last, "err", err, "cause", context.Cause(ctx))
	return request.Truncated, false
}

// streamed books a complete stream.
func (x *exchange) streamed(s *streaming) {
	x.succeeded = true
	x.relay.Metrics.Answered(true).Inc(1)
	x.note("streamed", s.t, "last_event", x.last, "events", s.events, "first_ms", x.firstEvent.Sub(x.call.Received).Milliseconds())
	x.relay.Rollouts.observe(s.t, false, x.ratio(s.t, time.Since(s.began), s.events-1))
	if s.events > 1 {
		x.learnEnded(s.t, time.Since(s.first))
		x.relay.State.paced(s.t, time.Since(s.first)/time.Duration(s.events-1))
	}
}

// streaming is the passing on of one server's stream.
type streaming struct {
	x      *exchange
	t      *target
	a      *attempt
	reply  *BackendResponse
	began  time.Time
	first  time.Time
	events int
	reader eventReader
	batch  []byte
}

var (
	errCallerLeft = errors.New("the caller left")
	errGap        = errors.New("an event is missing")
	errPartial    = errors.New("the stream ended inside an event")
	errEmpty      = errors.New("the stream ended without an event")
)

// copyBuffer is the size of a stream's read buffer in bytes: some events.
const copyBuffer = 1024

// copy passes whole events on until the stream ends. A nil error means that it
// ended properly.
func (s *streaming) copy() error {
	buf := make([]byte, copyBuffer)
	for {
		n, err := s.reply.Body.Read(buf)
		if n > 0 {
			s.a.progress()
			if e := s.take(buf[:n]); e != nil {
				return e
			}
		}
		switch {
		case err == nil:
		case err != io.EOF:
			return err
		case s.reader.partial():
			return errPartial
		case s.events == 0 && !s.x.headed:
			return errEmpty
		default:
			return nil
		}
	}
}

// take passes on the events that some bytes complete, in one write.
func (s *streaming) take(p []byte) error {
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
	return s.pass()
}

// accept takes the event that follows the last one. After a change of servers the
// new one may begin too early, which would double events, or too late.
func (s *streaming) accept(e event) error {
	if e.id != NoEvent && s.x.last != NoEvent {
		if e.id <= s.x.last {
			return nil
		}
		if e.id != s.x.last+1 {
			return errGap
		}
	}
	if e.id != NoEvent {
		s.x.last = e.id
	}
	s.events++
	s.batch = append(s.batch, e.raw...)
	return nil
}

func (s *streaming) pass() error {
	if len(s.batch) == 0 {
		return nil
	}
	if s.first.IsZero() {
		s.begin()
	}
	if !s.x.headed {
		s.x.headed = true
		s.x.out.Head(s.reply.Status, s.reply.Header, -1)
	}
	if err := s.x.out.Pass(s.batch); err != nil {
		return errCallerLeft
	}
	return nil
}

// begin books the first event of this server.
func (s *streaming) begin() {
	s.first = time.Now()
	s.x.relay.Guard.MarkForwarded(s.x.run)
	took := s.first.Sub(s.began)
	s.x.relay.State.began(s.t, took, true)
	s.x.learnBegan(s.t, took)
	if !s.x.firstEvent.IsZero() {
		return
	}
	s.x.firstEvent = s.first
	whole := s.first.Sub(s.x.call.Received)
	s.x.relay.Metrics.FirstEvent.RecordDuration(whole)
}
