package routing

import (
	"math"
	"time"
)

// Rate estimates the rate of a model's prompts, to predict how many requests a
// prefill delays.
type Rate struct {
	// decayedCount is the exponentially decaying number of prompts sent.
	decayedCount float64
	updatedAt    time.Time
}

// rateHalfLife is the half-life of decayedCount.
const rateHalfLife = 2 * time.Second

// Record counts a prompt sent to an engine.
func (r *Rate) Record(now time.Time) { r.Add(1, now) }

// Add counts an amount, such as the seconds of a prompt's prefill.
func (r *Rate) Add(amount float64, now time.Time) {
	r.decayedCount = r.decayedCount*decay(now.Sub(r.updatedAt), rateHalfLife) + amount
	r.updatedAt = now
}

// PerSecond returns the number of prompts sent per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	// A steady rate of one per second yields a decayed count of half-life / ln 2.
	return r.decayedCount * decay(now.Sub(r.updatedAt), rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
}

// ArrivalsDuring returns the expected number of prompts that arrive at one engine while it
// processes its queued prefills and a new one. It assumes that all daemons send at the
// same rate.
func (r *Rate) ArrivalsDuring(queued, prefill time.Duration, daemons, engines int, now time.Time) float64 {
	perEngine := r.PerSecond(now) * float64(daemons) / float64(max(engines, 1))
	return perEngine * (queued + prefill).Seconds()
}
