package gossip

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// Placements gathers what this daemon placed into numbered rounds, so that every
// other daemon hears of each round once, however many pulses carry it.
type Placements struct {
	mu    sync.Mutex
	round uint64
	since time.Time
	now   []relay.Placement
	heard map[string]uint64
}

// CurrentRound returns the round that pulses carry now. A round is carried for as
// long as one turn of pulses takes.
func (p *Placements) CurrentRound(take func() []relay.Placement, now time.Time) ([]relay.Placement, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) >= Interval {
		p.round++
		p.since, p.now = now, take()
	}
	return p.now, p.round
}

// MarkSeen reports whether a round of another incarnation was not heard before.
func (p *Placements) MarkSeen(incarnation string, round uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == nil {
		p.heard = map[string]uint64{}
	}
	if round <= p.heard[incarnation] {
		return false
	}
	p.heard[incarnation] = round
	return true
}
