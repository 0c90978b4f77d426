package gossip

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// Placements gathers what this daemon placed into numbered rounds, so that every
// other daemon hears of each round once, however many pulses carry it.
type Placements struct {
	mu         sync.Mutex
	round      uint64
	roundStart time.Time
	current    []relay.Placed
	seenRounds map[string]uint64
}

// CurrentRound returns the round that pulses carry now. A round is carried for as
// long as one turn of pulses takes.
func (p *Placements) CurrentRound(take func() []relay.Placed, now time.Time) ([]relay.Placed, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.roundStart) >= Interval {
		p.round++
		p.roundStart, p.current = now, take()
	}
	return p.current, p.round
}

// MarkSeen reports whether a round of another incarnation was not heard before.
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
