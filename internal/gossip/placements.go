package gossip

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// Placements collects the local placements into numbered rounds, so that other daemons
// apply each round once, even if several messages carry it.
type Placements struct {
	mu         sync.Mutex
	round      uint64
	roundStart time.Time
	current    []relay.Placement
	seenRounds map[string]uint64
}

// CurrentRound returns the placements and the number of the current round. A new round
// begins after Interval.
func (p *Placements) CurrentRound(collect func() []relay.Placement, now time.Time) ([]relay.Placement, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.roundStart) >= Interval {
		p.round++
		p.roundStart, p.current = now, collect()
	}
	return p.current, p.round
}

// MarkSeen marks a round of another incarnation as seen, and reports whether it was new.
func (p *Placements) MarkSeen(incarnation string, round uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seenRounds == nil {
		p.seenRounds = map[string]uint64{}
	}
	if round <= p.seenRounds[incarnation] {
		return false
	}
	p.seenRounds[incarnation] = round
	return true
}
