package routing

import (
	"math"
	"time"
)

// PromptRate is how many prompts of a model come to its engines. It tells how many requests
// wait longer for each second of an engine's time that one more takes.
type PromptRate struct {
	// sent is the number of prompts sent lately, aged.
	sent float64
	at   time.Time
}

// loadHalfLife ages the prompts sent: some prompts of each daemon count.
const loadHalfLife = 2 * time.Second

// Record takes a prompt that was sent to an engine.
func (l *PromptRate) Record(now time.Time) {
	l.sent = l.sent*decay(now.Sub(l.at), loadHalfLife) + 1
	l.at = now
}

// Rate returns how many prompts are sent a second.
func (l *PromptRate) Rate(now time.Time) float64 {
	// The ages of a steady stream of one a second sum up to the half-life over ln 2.
	return l.sent * decay(now.Sub(l.at), loadHalfLife) * math.Ln2 / loadHalfLife.Seconds()
}

// ArrivalsDuring returns how many prompts come to one of some engines while it reads what
// waits there and a new one: each of them waits longer by the time that this one
// takes. The rate is that of one of some daemons that send alike.
func (l *PromptRate) ArrivalsDuring(ahead, reading time.Duration, daemons, engines int, now time.Time) float64 {
	each := l.Rate(now) * float64(daemons) / float64(max(engines, 1))
	return each * (ahead + reading).Seconds()
}
