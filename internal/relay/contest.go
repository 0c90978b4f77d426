package relay

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/damaskrudder/damaskrudder/internal/request"
)

// moveRetryInterval is the pause before a request that no other party took is offered again.
const moveRetryInterval = silenceTimeout

// errHolderWentOn cancels an offer beside a party that has gone on.
var errHolderWentOn = errors.New("the first one has gone on")

// contest is the search for a server or daemon that takes a request from a silent one. While the
// call waits for the silent one, the search alone uses the exchange.
type contest struct {
	x      *exchange
	holder *holder
	party  heldBy
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

// run offers the request to others, and takes it from its holder if one takes it.
func (c *contest) run(ctx context.Context) {
	defer close(c.done)
	defer func() {
		if p := recover(); p != nil {
			c.panicked = fmt.Errorf("%v\n%s", p, debug.Stack())
			c.party.abandon(errRerouted)
		}
	}()
	next := c.findTaker(ctx)
	taken := next != nil && c.holder.handOver(next)
	switch {
	case taken:
		c.recordMove(next)
		c.party.abandon(errRerouted)
	case next != nil:
		c.x.logEvent("not moved", c.party.server(), "from", c.party.name(), "to", next.name(), "why", errHolderWentOn)
		next.drop()
		c.x.retryState.Record(request.ResponseLost)
	}
	if !taken {
		c.x.relay.Metrics.MovesGivenUp.Inc(1)
		c.cancel(nil)
		c.party.keep()
	}
	c.holder.endContest()
}

// recordMove records that another party has taken the request.
func (c *contest) recordMove(next taker) {
	c.x.logEvent("moved", c.party.server(), "from", c.party.name(), "to", next.name(), "last_event", c.x.lastEvent)
	c.x.relay.Metrics.SendsRerouted.Inc(1)
	if _, forwarded := next.(*forwardAttempt); forwarded {
		c.x.relay.Metrics.MovesToDaemons.Inc(1)
	}
}

// findTaker offers the request to others until one has taken it. It returns nil if none does.
func (c *contest) findTaker(ctx context.Context) taker {
	x := c.x
	x.resent = true
	if t := c.party.server(); t != nil {
		x.waitsAt = t.server.ID
		x.tried = append(x.tried, x.waitsAt)
	}
	x.offers = newOffers(ctx, x)
	defer func() { x.waitsAt, x.offers, x.withoutArrival, x.forwardRefusal = "", nil, false, nil }()
	next, why := x.offers.run()
	if next == nil {
		x.logEvent("not moved", c.party.server(), "from", c.party.name(), "why", why)
	}
	return next
}
