package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// StoredPhase is how far an order had come when the store took it.
type StoredPhase struct {
	Service string
	// Target is the version that the order names, and Order the order's position.
	Target      string
	OrderOffset uint64
	Phase       rollout.Phase
	// OrderAge is how long before the order was given.
	OrderAge time.Duration
}

type settled struct {
	StoredPhase
	// since is when the order was given, as far as the store tells.
	since time.Time
}

// about reports whether a settlement is of an order. In a store that has come back from an
// older copy the order has a later position: it was written again, or read again.
func (s settled) about(o rollout.Order) bool {
	return o.Offset == s.OrderOffset || laterEra(o.Offset, s.OrderOffset) && o.Target == s.Target
}

// laterEra reports whether a position is of a later era of the store than another.
func laterEra(position, other uint64) bool {
	return feed.Position(position).Era() > feed.Position(other).Era()
}

// ApplyStoredPhase takes a phase that the store holds for an order. Phases only go on.
func (r *Rollouts) ApplyStoredPhase(s StoredPhase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled[s.Service] = settled{s, r.now().Add(-s.OrderAge)}
	delete(r.unsaid, s.Service)
	r.settle(s.Service)
}

// StoreRestored takes it that the store has come back from an older copy, whose settlements are told
// next: what it has lost is to be written again.
func (r *Rollouts) StoreRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled, r.restored = map[string]settled{}, true
	for service, o := range r.orders {
		if o.phase > 0 {
			r.unsaid[service] = r.now()
		}
	}
}

// LostPhases lists the phases that a store which came back from an older copy does not hold, and
// that were known for some time since.
func (r *Rollouts) LostPhases(since time.Duration) (out []Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, at := range r.unsaid {
		if o := r.orders[service]; o != nil && r.now().Sub(at) >= since {
			out = append(out, Step{o.Order, o.phase, r.now().Sub(o.since), "the store has lost it"})
		}
	}
	return out
}

// settle applies what the store says. Callers hold mu.
func (r *Rollouts) settle(service string) {
	o, s := r.orders[service], r.settled[service]
	if o == nil || !s.about(o.Order) {
		return
	}
	if s.since.Before(o.since) {
		o.since = s.since
	}
	if o.phase > s.Phase && r.restored {
		r.unsaid[service] = r.now() // the copy says less than is known
	}
	r.advance(o, s.Phase, "the store says so")
}
