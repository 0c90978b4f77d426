package relay

import (
	"context"
	"sync"

	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// holder decides who holds a call: the party that it is a part of, or another one that has taken the
// call from it.
type holder struct {
	mu       sync.Mutex
	handover request.Handover
	// contest is the search for a party that takes the call from this one; nil if there is none.
	contest *contest
	// next has taken the call.
	next taker
}

// heldBy is a party that holds a call, which is offered to others while the party is silent.
type heldBy interface {
	// name identifies the party in logs.
	name() string
	// server returns the party's server; nil if it is a daemon.
	server() *target
	// abandon ends the party's work on the call.
	abandon(cause error)
	// keep is called when no other has taken the call.
	keep()
}

// wait records that the call waits for the party.
func (h *holder) wait() {
	h.mu.Lock()
	h.handover.Wait()
	h.mu.Unlock()
}

// proceed ends the wait, and reports whether the party still holds the call. If it has failed, proceed
// waits for the end of the contest.
func (h *holder) proceed(succeeded bool) bool {
	for {
		h.mu.Lock()
		c := h.contest
		if c == nil || succeeded {
			kept := h.handover.Proceed()
			h.mu.Unlock()
			if c != nil && kept {
				c.cancel(errHolderWentOn)
			}
			if c != nil {
				c.join()
			}
			return kept
		}
		h.mu.Unlock()
		c.join()
	}
}

// mayContest reports whether the call may be offered to others. Callers hold mu.
func (h *holder) mayContest(x *exchange) bool {
	return h.contest == nil && h.handover.Waiting() && x.retryState.MaySend() && (!x.headerSent || x.route.Kind == route.Stream)
}

// startContest offers the call to others. Callers hold mu.
func (h *holder) startContest(parent context.Context, x *exchange, party heldBy) {
	h.handover.Contest()
	ctx, cancel := context.WithCancelCause(parent)
	h.contest = &contest{x: x, holder: h, party: party, cancel: cancel, done: make(chan struct{})}
	x.contest.Store(h.contest)
	go h.contest.run(ctx)
}

// handOver passes the call to another party that has taken it, unless this one has gone on.
func (h *holder) handOver(next taker) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.handover.Take() {
		return false
	}
	h.next = next
	next.succeed()
	return true
}

// endContest records the end of the contest.
func (h *holder) endContest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contest = nil
	h.handover.GiveUp()
}
