package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// moveRetryInterval is the pause before a request that no other server took is offered again.
const moveRetryInterval = silenceTimeout

// errServerWentOn cancels a send beside one whose server has gone on.
var errServerWentOn = errors.New("the first server has gone on")

// send is one attempt to run the call on a server.
type send struct {
	x      *exchange
	target *target
	// parent is the context of the call. ctx ends with the send, and timed also at the deadline.
	parent, ctx, timed context.Context
	cancel             context.CancelCauseFunc
	stop               context.CancelFunc
	run                *containment.Attempt
	watch              *attempt
	// head is the memory reserved for a long head.
	head    reservation
	request BackendRequest
	sentAt  time.Time
	reply   *BackendResponse
	err     error

	mu       sync.Mutex
	handover request.Handover
	role     sendRole
	// contest is the search for a server that takes the request from this send; nil if there is none.
	contest *contest
	// next is the send that has taken the request.
	next *send
}

// sendRole is the relation of a send to its call.
type sendRole uint8

const (
	// current is the role of the only send, or of that for whose server the call waits.
	current sendRole = iota
	// contender is the role of a send beside the current one.
	contender
	// successor is the role of a send that has taken the call and is not current yet.
	successor
)

func (s *send) setRole(r sendRole) {
	s.mu.Lock()
	s.role = r
	s.mu.Unlock()
}

// contest is the search for a server that takes a request from a silent one. While the call waits
// for the silent server, the search alone uses the exchange.
type contest struct {
	cancel context.CancelCauseFunc
	// done is closed at the end.
	done chan struct{}
	// panicked is the value of a panic, which the call passes on.
	panicked any
}

// open sends the request and waits for the header of the response. The call may move to another
// server meanwhile.
func (s *send) open() {
	s.wait()
	s.reply, s.err = s.x.relay.backend.Send(s.timed, s.request)
	kept := s.proceed(s.err == nil && s.x.acceptable(s.reply))
	if s.err == nil && !kept {
		_ = s.reply.Body.Close() // cancels the run
		s.err = &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: errRerouted}
	}
	if s.err != nil {
		return
	}
	s.reply.Body = &awaitedBody{s.reply.Body, s}
	s.x.relay.liveness.recordHeader(s.watch)
	s.x.relay.recordReached(s.target)
}

// acceptable reports whether the response may be forwarded and is no failure of the server.
func (x *exchange) acceptable(r *BackendResponse) bool {
	ok := r.Status < http.StatusMultipleChoices
	return !r.NotRun && r.Authenticated && r.Status < http.StatusInternalServerError && (ok || !x.headerSent)
}

// awaitedBody is the body of a response whose reader may lose the request while it waits.
type awaitedBody struct {
	io.ReadCloser
	send *send
}

// Read implements io.Reader.
func (b *awaitedBody) Read(p []byte) (int, error) {
	b.send.wait()
	n, err := b.ReadCloser.Read(p)
	if !b.send.proceed(err == nil || err == io.EOF) {
		return 0, errRerouted
	}
	return n, err
}

// wait records that the call waits for the server.
func (s *send) wait() {
	s.mu.Lock()
	s.handover.Wait()
	s.mu.Unlock()
}

// proceed ends the wait, and reports whether the request is still with this send. If the server has
// failed, it waits for the end of the contest.
func (s *send) proceed(succeeded bool) bool {
	for {
		s.mu.Lock()
		c := s.contest
		if c == nil || succeeded {
			kept := s.handover.Proceed()
			s.mu.Unlock()
			if c != nil && kept {
				c.cancel(errServerWentOn)
			}
			if c != nil {
				c.join()
			}
			return kept
		}
		s.mu.Unlock()
		c.join()
	}
}

// join waits for the end of the contest.
func (c *contest) join() {
	<-c.done
	if c.panicked != nil {
		panic(c.panicked)
	}
}

// reroute tries to continue the request on another server, and reports whether it leaves its server
// or is offered to others. It leaves at once a server that is known to have ended, and any other only
// when another has taken the request.
func (s *send) reroute(ended bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.x
	switch {
	case s.role == successor, s.contest != nil:
		// Others use the exchange.
		if ended {
			s.cancel(errRerouted)
		}
		return ended
	case ended, s.role == contender:
		if !x.mayReroute(ended) {
			return false
		}
		s.cancel(errRerouted)
		return true
	case !s.handover.Waiting() || !x.retryState.MaySend() || x.headerSent && x.route.Kind != route.Stream:
		return false
	case x.needsHelper():
		// Another daemon is to serve the call.
		if !x.mayReroute(true) {
			return false
		}
		x.movedOff = append(x.movedOff, s.target.server.ID)
		s.cancel(errRerouted)
		return true
	}
	s.handover.Contest()
	ctx, cancel := context.WithCancelCause(s.parent)
	s.contest = &contest{cancel: cancel, done: make(chan struct{})}
	x.contest.Store(s.contest)
	go s.compete(ctx, s.contest)
	return true
}

// compete offers the request to other servers, and takes it from this send if one takes it.
func (s *send) compete(ctx context.Context, c *contest) {
	defer close(c.done)
	defer func() {
		if p := recover(); p != nil {
			c.panicked = fmt.Errorf("%v\n%s", p, debug.Stack())
			s.cancel(errRerouted)
		}
	}()
	next, forward := s.x.findTaker(ctx, s.target)
	s.mu.Lock()
	taken := (next != nil || forward) && s.handover.Take()
	if taken && next != nil {
		s.next = next
		next.setRole(successor)
	}
	s.mu.Unlock()
	switch {
	case taken && next != nil:
		s.x.logEvent("moved", s.target, "to", next.target.server.ID, "last_event", s.x.lastEvent)
		s.x.relay.Metrics.SendsRerouted.Inc(1)
		s.cancel(errRerouted)
	case next != nil:
		s.x.drop(next)
		s.x.relay.Metrics.MovesGivenUp.Inc(1)
	case taken:
		s.x.movedOff = append(s.x.movedOff, s.target.server.ID)
		s.cancel(errRerouted)
	default:
		s.x.relay.Metrics.MovesGivenUp.Inc(1)
	}
	if !taken {
		c.cancel(nil)
		s.watch.postpone(moveRetryInterval)
	}
	s.mu.Lock()
	s.contest = nil
	s.handover.GiveUp()
	s.mu.Unlock()
}

// findTaker sends the request to other servers, one at a time, until one has taken it. It returns
// nil if none does, and whether the request is to be forwarded to another daemon.
func (x *exchange) findTaker(ctx context.Context, silent *target) (next *send, forward bool) {
	x.resent, x.waitsAt = true, silent.server.ID
	x.tried = append(x.tried, x.waitsAt)
	defer func() { x.waitsAt, x.withoutArrival = "", false }()
	if !x.retryWithdrawn.Load() && !x.mayReroute(false) {
		x.logEvent("not moved", silent, "why", "no retry left")
		return nil, false
	}
	for {
		if x.needsHelper() {
			x.retryWithdrawn.Store(true) // not used yet
			return nil, true
		}
		t, refusal := x.selectAnother(ctx)
		if refusal != nil {
			x.logEvent("not moved", silent, "why", refusal.Detail)
			return nil, false
		}
		x.retryWithdrawn.Store(false)
		x.withoutArrival = false
		x.countSend(t)
		next = x.startSend(ctx, t, contender)
		outcome, taken := x.offer(next)
		if !x.withoutArrival {
			x.arrived.Store(true)
		}
		if taken {
			return next, false
		}
		x.tried = append(x.tried, t.server.ID)
		if ctx.Err() != nil {
			x.retryState.Record(outcome)
			x.logEvent("not moved", silent, "why", context.Cause(ctx))
			return nil, false
		}
		if refusal := x.retryState.Next(outcome, time.Now(), func() bool { return x.takeRetry(outcome) }); refusal != nil {
			x.logEvent("not moved", silent, "why", refusal.Detail)
			return nil, false
		}
	}
}

// selectAnother selects a server for a request that still waits for one.
func (x *exchange) selectAnother(ctx context.Context) (*target, *fault.Error) {
	if refusal := x.checkHold(); refusal != nil {
		return nil, refusal
	}
	return x.selectTarget(ctx)
}

// offer sends the request and reports whether the server has taken it: a stream with the event that
// follows the last one forwarded, and any other response once it is read.
func (x *exchange) offer(s *send) (outcome request.SendOutcome, taken bool) {
	s.open()
	var err error
	switch {
	case s.err != nil || s.reply.NotRun || !s.reply.Authenticated:
		outcome, _ = x.receive(s)
	case !x.acceptable(s.reply):
		outcome = x.recordFailure(s)
	case x.route.Kind == route.Stream && s.reply.Status < http.StatusMultipleChoices:
		outcome, err = request.Truncated, x.awaitEvent(s)
	default:
		outcome, err = request.ResponseLost, x.awaitBody(s)
	}
	if s.err == nil && x.acceptable(s.reply) {
		if err == nil {
			return outcome, true
		}
		x.logEvent("response interrupted", s.target, "err", err, "cause", context.Cause(s.ctx))
		x.interrupted = outcome == request.Truncated
		_ = s.reply.Body.Close() // cancels the run
		x.recordSendEnd(s.target, time.Since(s.sentAt), s.ctx.Err() == nil)
	}
	x.endSend(s, outcome, false)
	return outcome, false
}

// recordFailure keeps the failure response of a server that did not take the request. It is not
// forwarded while the call waits for another server.
func (x *exchange) recordFailure(s *send) request.SendOutcome {
	defer func() { _ = s.reply.Body.Close() }() // an unfinished response has no effect on the call
	x.logEvent("server failed", s.target, "status", s.reply.Status)
	failed := s.reply.Status >= http.StatusInternalServerError
	if failed {
		x.relay.Rollouts.recordResponse(s.target, x.route.Name, true, 0)
	}
	x.recordSendEnd(s.target, time.Since(s.sentAt), true)
	if !failed || x.headerSent {
		return request.ErrorResponse
	}
	body, err := x.readResponse(s.reply.Body, s.reply.ContentLength)
	if err != nil || s.reply.ContentLength >= 0 && int64(len(body)) != s.reply.ContentLength {
		return request.ResponseLost
	}
	x.serverFailure = &bufferedResponse{s.reply.Status, s.reply.Header, body}
	return request.ErrorResponse
}

// drop ends a send that was about to take the request when the first server went on.
func (x *exchange) drop(s *send) {
	_ = s.reply.Body.Close() // cancels the run
	x.logEvent("not moved", s.target, "why", errServerWentOn)
	x.recordSendEnd(s.target, time.Since(s.sentAt), false)
	s.cancel(errServerWentOn)
	x.endSend(s, request.ResponseLost, false)
	x.retryState.Record(request.ResponseLost)
}

// awaitEvent reads a stream up to the event that follows the last one forwarded, or to its proper
// end. What was read can be read again, without earlier events.
func (x *exchange) awaitEvent(s *send) error {
	var reader eventReader
	body, buf := s.reply.Body, make([]byte, streamBufferSize)
	for {
		n, err := body.Read(buf)
		if e := reader.feed(buf[:n]); e != nil {
			return e
		}
		found, e := reader.skipTo(x.lastEvent)
		switch ended := err == io.EOF && !reader.partial(); {
		case e != nil:
			return e
		case found != nil, ended && x.headerSent:
			s.reply.Body = struct {
				io.Reader
				io.Closer
			}{io.MultiReader(bytes.NewReader(append(found, reader.buf...)), body), body}
			return nil
		case err == io.EOF:
			return errEmptyStream
		case err != nil:
			return err
		}
		s.watch.recordProgress()
	}
}

// skipTo returns a copy of the event that follows a number, or nil if it has not been read. Earlier events
// are dropped.
func (e *eventReader) skipTo(last int64) (found []byte, err error) {
	for {
		next, ok := e.next()
		if !ok {
			return nil, nil
		}
		follows, err := next.follows(last)
		if err != nil {
			return nil, err
		}
		if follows {
			return bytes.Clone(next.raw), nil
		}
	}
}

// readBody is a body of which a part, or all of it, has been read.
type readBody struct {
	io.ReadCloser
	read []byte
	// err is errNotBuffered if there is more.
	err error
}

// awaitBody reads a response that is to be buffered.
func (x *exchange) awaitBody(s *send) error {
	read, err := x.readResponse(s.reply.Body, s.reply.ContentLength)
	if err == nil && s.reply.ContentLength >= 0 && int64(len(read)) != s.reply.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, errNotBuffered) {
		return err
	}
	s.reply.Body = &readBody{s.reply.Body, read, err}
	return nil
}
