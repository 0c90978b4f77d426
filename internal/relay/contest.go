package relay

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/damaskrudder/damaskrudder/internal/request"
)

// moveRetryInterval is the pause before a request that no other server took is offered again.
const moveRetryInterval = silenceTimeout

// errServerWentOn cancels an offer beside a server that has gone on.
var errServerWentOn = errors.New("the first server has gone on")

// contest is the search for a server or daemon that takes a request from a silent server. While the
// call waits for the silent server, the search alone uses the exchange.
type contest struct {
	cancel context.CancelCauseFunc
	// done is closed at the end.
	done chan struct{}
	// panicked is the value of a panic, which the call passes on.
	panicked any
}

// join waits for the end of the contest.
func (c *contest) join() {
	<-c.done
	if c.panicked != nil {
		panic(c.panicked)
	}
}

// compete offers the request to others, and takes it from this send if one takes it.
func (s *send) compete(ctx context.Context, c *contest) {
	defer close(c.done)
	defer func() {
		if p := recover(); p != nil {
			c.panicked = fmt.Errorf("%v\n%s", p, debug.Stack())
			s.cancel(errRerouted)
		}
	}()
	next := s.x.findTaker(ctx, s.target)
	taken := next != nil && s.handOver(next)
	switch {
	case taken:
		s.x.recordMove(s.target, next)
		s.cancel(errRerouted)
	case next != nil:
		s.x.logEvent("not moved", s.target, "to", next.name(), "why", errServerWentOn)
		next.drop()
		s.x.retryState.Record(request.ResponseLost)
	}
	if !taken {
		s.x.relay.Metrics.MovesGivenUp.Inc(1)
		c.cancel(nil)
		s.watch.postpone(moveRetryInterval)
	}
	s.mu.Lock()
	s.contest = nil
	s.handover.GiveUp()
	s.mu.Unlock()
}

// handOver passes the request to another one that has taken it, unless the server has gone on.
func (s *send) handOver(next taker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.handover.Take() {
		return false
	}
	s.next = next
	next.succeed()
	return true
}

// recordMove records that another one has taken the request from a silent server.
func (x *exchange) recordMove(silent *target, next taker) {
	x.logEvent("moved", silent, "to", next.name(), "last_event", x.lastEvent)
	x.relay.Metrics.SendsRerouted.Inc(1)
	if _, forwarded := next.(*forwardAttempt); forwarded {
		x.relay.Metrics.MovesToDaemons.Inc(1)
	}
}

// findTaker offers the request to others until one has taken it. It returns nil if none does.
func (x *exchange) findTaker(ctx context.Context, silent *target) taker {
	x.resent, x.waitsAt = true, silent.server.ID
	x.tried = append(x.tried, x.waitsAt)
	x.offers = newOffers(ctx, x)
	defer func() { x.waitsAt, x.offers, x.withoutArrival, x.forwardRefusal = "", nil, false, nil }()
	next, why := x.offers.run()
	if next == nil {
		x.logEvent("not moved", silent, "why", why)
	}
	return next
}
