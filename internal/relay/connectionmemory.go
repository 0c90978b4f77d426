package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
)

// GrowHeads accounts for n more bytes of the head of a request that is charged with some already, or returns
// the refusal.
func (r *Relay) GrowHeads(charged, n int64) *fault.Error {
	f := r.flow
	return f.grow("head", charged+n, func(now time.Duration) (bool, []flowcontrol.Cut) { return f.ledger.GrowHeads(charged, n, now) })
}

// ReleaseHeads ends the account of n bytes of the heads of requests.
func (r *Relay) ReleaseHeads(n int64) {
	r.flow.mu.Lock()
	r.flow.ledger.ReleaseHeads(n)
	r.flow.mu.Unlock()
}

// GrowMessages accounts for n bytes of the messages of other daemons, and reports whether there is room.
func (r *Relay) GrowMessages(n int64) bool {
	r.flow.mu.Lock()
	defer r.flow.mu.Unlock()
	return r.flow.ledger.GrowMessages(n)
}

// ReleaseMessages ends the account of n bytes of the messages of other daemons.
func (r *Relay) ReleaseMessages(n int64) {
	r.flow.mu.Lock()
	r.flow.ledger.ReleaseMessages(n)
	r.flow.mu.Unlock()
}
