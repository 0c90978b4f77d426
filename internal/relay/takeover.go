package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

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
	body    *awaitedBody
	err     error

	holder
	role sendRole
	// offers are those that the send is one of, if it is a contender, and silent is set once its
	// server is known to be silent.
	offers *offers
	silent bool
	// awaitErr is the error of awaiting the response, and failure is the body of a server's failure.
	awaitErr error
	failure  *bufferedResponse
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
	// offering is the role of a send whose call is offered to a larger model.
	offering
)

func (s *send) setRole(r sendRole) {
	s.mu.Lock()
	s.role = r
	s.mu.Unlock()
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
	s.body = &awaitedBody{s.reply.Body, s}
	s.reply.Body = s.body
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

// reroute tries to continue the request on another server, and reports whether it leaves its server
// or is offered to others. It leaves at once a server that is known to have ended, and any other only
// when another has taken the request.
func (s *send) reroute(ended bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.x
	switch {
	case s.role == successor, s.role == offering, s.contest != nil:
		// Others use the exchange.
		if ended {
			s.cancel(errRerouted)
		}
		return ended
	case s.role == contender:
		return s.recordSilence(ended)
	case ended:
		if !x.mayReroute(true) {
			return false
		}
		s.cancel(errRerouted)
		return true
	case !s.mayContest(x):
		return false
	}
	s.startContest(s.parent, x, s)
	return true
}

// recordSilence tells the search that a server which is offered the call is silent, so that it is
// offered to others as well. A server that has ended loses its chance. Callers hold mu.
func (s *send) recordSilence(ended bool) bool {
	if ended {
		s.cancel(errRerouted)
		return true
	}
	if s.silent {
		return false
	}
	s.silent = true
	s.offers.fellSilent <- s
	return true
}

// await implements taker.
func (s *send) await() {
	s.open()
	switch {
	case s.err != nil || s.reply.NotRun || !s.reply.Authenticated:
	case s.x.acceptable(s.reply):
		s.awaitErr = s.x.awaitTaken(s.reply, s.watch.recordProgress)
	default:
		s.failure = s.x.readFailure(s.reply)
	}
}

// settle implements taker.
func (s *send) settle() (outcome request.SendOutcome, taken bool) {
	x := s.x
	switch {
	case s.err != nil || s.reply.NotRun || !s.reply.Authenticated:
		outcome, _ = x.receive(s)
	case !x.acceptable(s.reply):
		outcome = s.recordFailure()
	case s.awaitErr == nil:
		x.arrived.Store(true)
		return outcome, true
	default:
		outcome = x.recordInterrupted(s)
	}
	if !x.withoutArrival {
		x.arrived.Store(true)
	}
	x.endSend(s, outcome, false)
	return outcome, false
}

// recordFailure records the failure response of a server that did not take the request. It is kept, as
// nothing is forwarded while the call waits for another server.
func (s *send) recordFailure() request.SendOutcome {
	x := s.x
	x.logEvent("server failed", s.target, "status", s.reply.Status)
	if s.reply.Status >= http.StatusInternalServerError {
		x.relay.Rollouts.recordResponse(s.target, x.route.Name, true, 0)
	}
	x.recordSendEnd(s.target, time.Since(s.sentAt), true)
	return x.keepFailure(s.reply, s.failure)
}

// recordInterrupted records a response that broke off before it had taken the request.
func (x *exchange) recordInterrupted(s *send) request.SendOutcome {
	outcome := x.interruptedOutcome(s.reply)
	x.logEvent("response interrupted", s.target, "err", s.awaitErr, "cause", context.Cause(s.ctx))
	x.interrupted = outcome == request.Truncated
	_ = s.reply.Body.Close() // cancels the run
	x.recordSendEnd(s.target, time.Since(s.sentAt), s.ctx.Err() == nil)
	return outcome
}

// succeed implements taker.
func (s *send) succeed() { s.setRole(successor) }

// finish implements taker.
func (s *send) finish() (outcome request.SendOutcome, done bool) {
	defer s.x.relay.liveness.untrack(s.watch) // if a panic ends the send
	return s.x.finishSend(s)
}

// abandon implements taker and heldBy.
func (s *send) abandon(cause error) { s.cancel(cause) }

// drop implements taker.
func (s *send) drop() {
	_ = s.reply.Body.Close() // cancels the run
	s.x.recordSendEnd(s.target, time.Since(s.sentAt), false)
	s.cancel(errHolderWentOn)
	s.x.endSend(s, request.ResponseLost, false)
}

// name implements taker and heldBy.
func (s *send) name() string { return s.target.server.ID }

// server implements heldBy.
func (s *send) server() *target { return s.target }

// keep implements heldBy.
func (s *send) keep() { s.watch.postpone(moveRetryInterval) }
