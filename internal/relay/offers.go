package relay

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/request"
)

var (
	errNoSendLeft       = errors.New("no send left")
	errNoRetryLeft      = errors.New("no retry left")
	errDeadlinePassed   = errors.New("the deadline passed")
	errTakenByOther     = errors.New("another one has taken the request")
	errOfferInterrupted = errors.New("the search has ended")
)

// offers are the offers of a call that are under way at a time. All but the last are to parties that
// have gone silent, and keep their chance. Each party is waited for by a goroutine that does not
// change the exchange; only the goroutine that runs the offers does.
type offers struct {
	x   *exchange
	ctx context.Context
	// running holds the offers under way, and whether the party is known to be silent.
	running map[taker]bool
	// ended receives the offers that can be settled, and fellSilent those whose party is silent.
	ended      chan endedOffer
	fellSilent chan taker
	// endSearch ends the search for a party when an offer can be settled.
	endSearch atomic.Pointer[context.CancelFunc]
	// endsSilent makes the offers end once all parties are silent and no other can be found.
	endsSilent bool
	// retry is when the call may be offered again if no party could be found; nil if one was.
	retry <-chan time.Time
}

// endedOffer is an offer that can be settled.
type endedOffer struct {
	taker
	// panicked is the value of a panic, which the search passes on.
	panicked any
}

func newOffers(ctx context.Context, x *exchange) *offers {
	most := x.retryState.MaxSends()
	return &offers{x: x, ctx: ctx, running: map[taker]bool{}, ended: make(chan endedOffer, most), fellSilent: make(chan taker, most)}
}

// run offers the call until a party has taken it. It returns nil and the reason if none does.
func (o *offers) run() (taker, error) {
	defer o.interrupt()
	why := o.startNext()
	for len(o.running) > 0 {
		select {
		case a := <-o.ended:
			if _, taken := o.settle(a); taken {
				o.endOthers(errTakenByOther)
				return a.taker, nil
			}
		case t := <-o.fellSilent:
			o.recordSilent(t)
		case <-o.retry:
		}
		if !o.waitsForAny() {
			why = o.startNext()
			if why != nil && o.endsSilent {
				o.endOthers(why)
			}
		}
	}
	return nil, why
}

// waitsForAny reports whether a party that is not known to be silent considers the call.
func (o *offers) waitsForAny() bool {
	for _, silent := range o.running {
		if !silent {
			return true
		}
	}
	return false
}

// recordSilent records that a party has gone silent. It keeps its chance.
func (o *offers) recordSilent(t taker) {
	if _, running := o.running[t]; running {
		o.x.logEvent("offered to another", nil, "silent", t.name())
		o.running[t] = true
	}
}

// startNext offers the call to one more party. It returns the reason if it may not or finds none, and
// then tries again after a pause while others consider the call.
func (o *offers) startNext() error {
	o.retry = time.After(moveRetryInterval)
	if why := o.x.mayOffer(o.ctx); why != nil {
		return why
	}
	next, refusal := o.x.nextTaker(o.ctx, o.searchContext())
	if refusal != nil {
		return refusal
	}
	o.retry = nil
	o.running[next] = false
	go o.await(next)
	return nil
}

// searchContext returns a context that ends when an offer can be settled, so that no response waits
// for the search for one more party.
func (o *offers) searchContext() context.Context {
	ctx, cancel := context.WithCancel(o.ctx)
	if last := o.endSearch.Swap(&cancel); last != nil {
		(*last)()
	}
	if len(o.ended) > 0 {
		cancel()
	}
	return ctx
}

func (o *offers) await(t taker) {
	a := endedOffer{taker: t}
	defer func() {
		if p := recover(); p != nil {
			a.panicked = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
		o.ended <- a
		(*o.endSearch.Load())()
	}()
	t.await()
}

// settle records the end of an offer.
func (o *offers) settle(a endedOffer) (outcome request.SendOutcome, taken bool) {
	delete(o.running, a.taker)
	if a.panicked != nil {
		panic(a.panicked)
	}
	x := o.x
	x.withoutArrival = false
	outcome, taken = a.settle()
	if taken {
		return outcome, true
	}
	x.retryState.Record(outcome)
	x.resent = true
	if x.withoutArrival {
		x.retryWithdrawn.Store(true) // not used yet
	}
	return outcome, false
}

// endOthers ends the offers that are under way.
func (o *offers) endOthers(why error) {
	for t := range o.running {
		o.x.logEvent("offer ended", nil, "to", t.name(), "why", why)
		t.abandon(why)
	}
	for len(o.running) > 0 {
		a := <-o.ended
		if _, taken := o.settle(a); taken {
			a.drop()
			o.x.retryState.Record(request.ResponseLost)
		}
	}
}

// interrupt ends the offers that a panic has left, so that nobody uses the exchange any more.
func (o *offers) interrupt() {
	for t := range o.running {
		t.abandon(errOfferInterrupted)
	}
	for len(o.running) > 0 {
		delete(o.running, (<-o.ended).taker)
	}
}

// servers returns the IDs of the servers that consider the call.
func (o *offers) servers() (ids []string) {
	for t := range o.running {
		if s, ok := t.(*send); ok {
			ids = append(ids, s.target.server.ID)
		}
	}
	return ids
}

// mayOffer returns nil if the call may be offered to one more party, for which it takes a retry from
// the budget, and otherwise the reason.
func (x *exchange) mayOffer(ctx context.Context) error {
	if final := x.finalForwardRefusal(); final != nil {
		return final
	}
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case !time.Now().Before(x.deadline):
		return errDeadlinePassed
	case !x.retryState.MaySend():
		return errNoSendLeft
	case !x.mayReroute(false):
		return errNoRetryLeft
	}
	return nil
}

// nextTaker selects a daemon, if the servers are out of reach, or else a server, and starts to offer
// it the request. The search ends with its own context.
func (x *exchange) nextTaker(ctx, search context.Context) (taker, *fault.Error) {
	if refusal := x.checkHold(); refusal != nil {
		return nil, refusal
	}
	if daemon, found := x.pickHelper(); found {
		x.retryWithdrawn.Store(false)
		return x.startForward(ctx, daemon), nil
	}
	t, refusal := x.selectTarget(search)
	if refusal != nil {
		return nil, refusal
	}
	x.retryWithdrawn.Store(false)
	x.tried = append(x.tried, t.server.ID)
	x.countSend(t)
	return x.startSend(ctx, t, contender), nil
}
