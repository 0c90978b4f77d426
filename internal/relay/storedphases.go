package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// StoredPhase is the phase of an order in the store.
type StoredPhase struct {
	Service string
	// Target is the version that the order names, OrderOffset the order's position.
	Target      string
	OrderOffset uint64
	Phase       rollout.Phase
	// OrderAge is the order's age when the phase was written.
	OrderAge time.Duration
}

// datedPhase is a stored phase with the time of its order.
type datedPhase struct {
	StoredPhase
	// orderedAt is when the order was given, according to the store.
	orderedAt time.Time
}

// appliesTo reports whether the phase belongs to an order. In a store that was restored
// from an older copy, the order has a later position.
func (s datedPhase) appliesTo(o rollout.Order) bool {
	return o.Offset == s.OrderOffset || laterEra(o.Offset, s.OrderOffset) && o.Target == s.Target
}

// laterEra reports whether a position belongs to a later era of the store than another.
func laterEra(position, other uint64) bool {
	return feed.Position(position).Era() > feed.Position(other).Era()
}

// ApplyStoredPhase applies the phase that the store holds for an order. Phases only advance.
func (r *Rollouts) ApplyStoredPhase(s StoredPhase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedPhases[s.Service] = datedPhase{s, r.now().Add(-s.OrderAge)}
	delete(r.lostPhases, s.Service)
	r.reconcile(s.Service)
}

// StoreEraChanged records that the store was restored from an older copy. Its phases are
// read again, and those it has lost must be rewritten.
func (r *Rollouts) StoreEraChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedPhases, r.storeEraChanged = map[string]datedPhase{}, true
	for service, order := range r.orders {
		if order.phase > 0 {
			r.lostPhases[service] = r.now()
		}
	}
}

// LostPhases lists the phases that a restored store has been missing for at least minAge.
func (r *Rollouts) LostPhases(minAge time.Duration) (out []PhaseChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, lostAt := range r.lostPhases {
		if order := r.orders[service]; order != nil && r.now().Sub(lostAt) >= minAge {
			out = append(out, PhaseChange{order.Order, order.phase, r.now().Sub(order.orderedAt), "phase missing from the restored store", nil})
		}
	}
	return out
}

// reconcile applies the phase in the store to an order. Callers hold mu.
func (r *Rollouts) reconcile(service string) {
	order, stored := r.orders[service], r.storedPhases[service]
	if order == nil || !stored.appliesTo(order.Order) {
		return
	}
	if stored.orderedAt.Before(order.orderedAt) {
		order.orderedAt = stored.orderedAt
	}
	if order.phase > stored.Phase && r.storeEraChanged {
		r.lostPhases[service] = r.now() // the restored copy is older
	}
	r.advance(order, stored.Phase, "phase in the store")
}
