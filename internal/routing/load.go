package routing

import (
	"math"
	"time"
)

// PromptRate is how many prompts of a model come to its engines. It tells how many requests
// wait longer for each second of an engine's time that one more takes.
type PromptRate struct {
	// decayedCount is the number of prompts sent lately, aged.
	decayedCount float64
	updatedAt    time.Time
}

// rateHalfLife ages the prompts sent: some prompts of each daemon count.
const rateHalfLife = 2 * time.Second

// Record takes a prompt that was sent to an engine.
func (r *PromptRate) Record(now time.Time) {
	r.decayedCount = r.decayedCount*decay(now.Sub(r.updatedAt), rateHalfLife) + 1
	r.updatedAt = now
}

// PerSecond returns how many prompts are sent a second.
func (r *PromptRate) PerSecond(now time.Time) float64 {
	// The ages of a steady stream of one a second sum up to the half-life over ln 2.
	return r.decayedCount * decay(now.Sub(r.updatedAt), rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
}

// ArrivalsDuring returns how many prompts come to one of some engines while it reads what
// waits there and a new one: each of them waits longer by the time that this one
// takes. The rate is that of one of some daemons that send alike.
func (r *PromptRate) ArrivalsDuring(queued, prefill time.Duration, daemons, engines int, now time.Time) float64 {
	perEngine := r.PerSecond(now) * float64(daemons) / float64(max(engines, 1))
	return perEngine * (queued + prefill).Seconds()
}
