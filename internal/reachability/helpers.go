package reachability

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// refusalMemory is how long a daemon that refused is passed over.
	refusalMemory = time.Second
	// serviceMemory is how long a daemon that served is preferred, and minProven the number of
	// such daemons from which only they are picked.
	serviceMemory = 5 * time.Second
	minProven     = 3
)

// Helpers picks the daemons through which this one sends requests to servers out of its reach. It
// is not safe for concurrent use. Times are readings of one monotonic clock.
type Helpers struct {
	servedAt, refusedAt map[string]time.Duration
}

// NewHelpers returns a picker without experience.
func NewHelpers() *Helpers {
	return &Helpers{servedAt: map[string]time.Duration{}, refusedAt: map[string]time.Duration{}}
}

// Served records that a daemon has sent a request to a server.
func (h *Helpers) Served(daemon string, now time.Duration) {
	h.servedAt[daemon] = now
	delete(h.refusedAt, daemon)
}

// Refused records that a daemon could not send a request.
func (h *Helpers) Refused(daemon string, now time.Duration) {
	h.refusedAt[daemon] = now
	delete(h.servedAt, daemon)
}

// Pick returns one of the candidates that is not excluded, at random among those that have served
// lately, if they are enough to share the load, or else among those that have not refused lately.
func (h *Helpers) Pick(candidates, excluded []string, now time.Duration, rng *rand.Rand) (daemon string, found bool) {
	h.forget(now)
	var proven, untried []string
	for _, c := range candidates {
		_, refused := h.refusedAt[c]
		_, served := h.servedAt[c]
		switch {
		case refused || slices.Contains(excluded, c):
		case served:
			proven = append(proven, c)
		default:
			untried = append(untried, c)
		}
	}
	if len(proven) < minProven {
		proven = append(proven, untried...)
	}
	if len(proven) == 0 {
		return "", false
	}
	return proven[rng.IntN(len(proven))], true
}

// RefusedLately returns the number of candidates that are passed over since they refused.
func (h *Helpers) RefusedLately(candidates []string, now time.Duration) (n int) {
	h.forget(now)
	for _, c := range candidates {
		if _, refused := h.refusedAt[c]; refused {
			n++
		}
	}
	return n
}

func (h *Helpers) forget(now time.Duration) {
	for daemon, at := range h.refusedAt {
		if now-at > refusalMemory {
			delete(h.refusedAt, daemon)
		}
	}
	for daemon, at := range h.servedAt {
		if now-at > serviceMemory {
			delete(h.servedAt, daemon)
		}
	}
}
