package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// Workload makes requests whose prompts share prefixes, as desks do that read
// the same bundles all day.
type Workload struct {
	// Groups is the number of shared prefixes, drawn by a Zipf law.
	Groups int
	// SharedTokens and OwnTokens are the prompt's shared and own parts.
	SharedTokens, OwnTokens int
	// AnswerTokens is the mean answer length; lengths vary between half and
	// one and a half of it.
	AnswerTokens int
	// Deadline bounds the first token; zero is none.
	Deadline time.Duration
	// UrgentShare is the fraction of requests of priority 0; the others have 1.
	UrgentShare float64
}

// Next returns a random request.
func (w Workload) Next(rng *rand.Rand, zipf *rand.Zipf) *Request {
	group := zipf.Uint64()
	r := &Request{
		Prompt: w.SharedTokens + w.OwnTokens, Deadline: w.Deadline,
		Answer: w.AnswerTokens/2 + rng.IntN(w.AnswerTokens+1),
	}
	if rng.Float64() >= w.UrgentShare {
		r.Priority = 1
	}
	for b := range w.SharedTokens / routing.BlockTokens {
		r.Blocks = append(r.Blocks, group<<16|uint64(b)+1)
	}
	for range w.OwnTokens / routing.BlockTokens {
		r.Blocks = append(r.Blocks, rng.Uint64())
	}
	return r
}

// zipfExponent and zipfOffset shape the popularity of prefixes.
const (
	zipfExponent = 1.2
	zipfOffset   = 2
)

// Offer sends requests of a Poisson stream until a time.
func (c *Cluster) Offer(seed uint64, w Workload, perSecond float64, until time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(w.Groups-1))
	var next func()
	next = func() {
		if c.Clock.now >= until {
			return
		}
		c.Send(w.Next(rng, zipf))
		c.Clock.After(time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	c.Clock.After(0, next)
}

// Quantile returns a quantile of first-token latencies among results that keep
// admits.
func Quantile(results []*Result, q float64, keep func(*Result) bool) time.Duration {
	var all []time.Duration
	for _, r := range results {
		if r.First > 0 && (keep == nil || keep(r)) {
			all = append(all, r.First)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}
