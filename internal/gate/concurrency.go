package gate

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/concurrencylimit"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// minSaturatedDelay is the expected time until a request in flight at a saturated server ends.
const minSaturatedDelay = 100 * time.Millisecond

// rank is the position of this daemon among a number of daemons that use a server.
type rank struct{ position, daemons int }

// Concurrency returns the limits of requests in flight. They apply to the following checks.
func (g *Gate) Concurrency() *concurrencylimit.Table { return g.concurrency }

// saturated reports whether this daemon's share of the requests that a server may have in flight is
// in use.
func (g *Gate) saturated(s Server, now time.Duration) bool {
	if !g.concurrency.Limited(s.Service, now) {
		return false
	}
	r, known := g.ranks[s.Hash]
	if !known {
		r = rankOf(g.view, s.Hash, s.Shards)
		g.ranks[s.Hash] = r
	}
	limit := g.concurrency.Limit(s.Service, s.Hash, s.Slots, now)
	return s.InFlight >= concurrencylimit.Share(limit, r.position, g.withDeparted(r.daemons))
}

// withDeparted adds the daemons that left the view lately to a number of daemons, in proportion.
// Their requests may still be in flight.
func (g *Gate) withDeparted(daemons int) int {
	present := len(g.view.Peers) + 1
	if g.fleetSize <= present {
		return daemons
	}
	return (daemons*g.fleetSize + present - 1) / present
}

// rankOf returns this daemon's rank among those of its shard for a server.
func rankOf(v slowstart.View, server uint64, shards int) rank {
	n := uint64(max(1, shards))
	out := rank{daemons: 1}
	for _, peer := range v.Peers {
		if peer%n != v.Self%n {
			continue
		}
		out.daemons++
		if slowstart.Precedes(peer, v.Self, server) {
			out.position++
		}
	}
	return out
}
