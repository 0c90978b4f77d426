package fairshare

import (
	"math"
	"time"
)

const (
	// Ranks is the number of ranks of requests, of which 0 is the most urgent. Further ones count as
	// the last.
	Ranks = 8
	// contentionHalfLife is the half-life of the observed waits.
	contentionHalfLife = 2 * time.Second
	// contentionStart is the fraction of a rank's requests that wait too long from which the service
	// is contended, and contentionEnd the one below which it no longer is.
	contentionStart = 0.2
	contentionEnd   = 0.1
	// minObservations is the number of a rank's recent requests from which it counts.
	minObservations = 4
)

// contention decides whether requests to a service wait for each other. The ranks count separately:
// where the urgent go first, only the last rank may wait.
type contention struct {
	ranks  [Ranks]waits
	active bool
}

// waits counts the recent requests of a rank and those that waited too long.
type waits struct{ requests, late decayingSum }

func newContention() (c contention) {
	for i := range c.ranks {
		c.ranks[i] = waits{decayingSum{halfLife: contentionHalfLife}, decayingSum{halfLife: contentionHalfLife}}
	}
	return c
}

func (c *contention) observe(rank int, late bool, now time.Duration) {
	w := &c.ranks[min(max(rank, 0), Ranks-1)]
	w.requests.add(1, now)
	if late {
		w.late.add(1, now)
	}
}

// lateFraction returns the largest fraction of a rank's recent requests that waited too long.
func (c *contention) lateFraction(now time.Duration) (largest float64) {
	for i := range c.ranks {
		w := &c.ranks[i]
		if requests := w.requests.at(now); requests >= minObservations {
			largest = max(largest, w.late.at(now)/requests)
		}
	}
	return largest
}

// contended reports whether the service is contended.
func (c *contention) contended(now time.Duration) bool {
	threshold := contentionStart
	if c.active {
		threshold = contentionEnd
	}
	c.active = c.lateFraction(now) >= threshold
	return c.active
}

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	halfLife  time.Duration
	value     float64
	updatedAt time.Duration
}

func (s *decayingSum) add(v float64, now time.Duration) {
	s.value = s.at(now) + v
	s.updatedAt = now
}

func (s *decayingSum) at(now time.Duration) float64 {
	return s.value * decay(now-s.updatedAt, s.halfLife)
}

// decay returns the fraction that is left after a time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}
