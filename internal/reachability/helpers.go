package reachability

import (
	"cmp"
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
	// tried is the daemon that is being tried, empty if none is.
	tried string
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

// PickOrTry returns the result of Pick. If there is none, it returns one of the doubtful daemons that
// has served lately, and else tries one of the candidates and doubtful daemons, if possible one that
// has not refused lately. Only one is tried at a time, until EndTrial: daemons that are gone thus hold
// one request, and daemons that refuse get few.
func (h *Helpers) PickOrTry(candidates, doubtful, excluded []string, now time.Duration, rng *rand.Rand) (daemon string, found bool) {
	if daemon, found = h.Pick(candidates, excluded, now, rng); found {
		return daemon, true
	}
	var proven []string
	for _, d := range doubtful {
		if _, served := h.servedAt[d]; served && !slices.Contains(excluded, d) {
			proven = append(proven, d)
		}
	}
	if len(proven) > 0 {
		return proven[rng.IntN(len(proven))], true
	}
	return h.try(slices.Concat(candidates, doubtful), excluded, rng)
}

// try returns the daemon that has not refused for longest, unless one is being tried.
func (h *Helpers) try(all, excluded []string, rng *rand.Rand) (daemon string, found bool) {
	if h.tried != "" {
		return "", false
	}
	all = slices.DeleteFunc(all, func(d string) bool { return slices.Contains(excluded, d) })
	if len(all) == 0 {
		return "", false
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	h.tried = slices.MinFunc(all, func(a, b string) int { return cmp.Compare(h.refusedAt[a], h.refusedAt[b]) })
	return h.tried, true
}

// EndTrial records that a daemon has responded or failed, if it was tried.
func (h *Helpers) EndTrial(daemon string) {
	if h.tried == daemon {
		h.tried = ""
	}
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
