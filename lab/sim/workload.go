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
	// PrefixGroups is the number of shared prefixes, drawn by a Zipf law.
	PrefixGroups int
	// SharedTokens and OwnTokens are the prompt's shared and own parts.
	SharedTokens, UniqueTokens int
	// MeanOutputTokens is the mean answer length; lengths vary between half and
	// one and a half of it.
	MeanOutputTokens int
	// Deadline bounds the first token; zero is none.
	Deadline time.Duration
	// UrgentFraction is the fraction of requests of priority 0; the others have 1.
	UrgentFraction float64
}

// Next returns a random request.
func (w Workload) Next(rng *rand.Rand, zipf *rand.Zipf) *Request {
	group := zipf.Uint64()
	r := &Request{
		PromptTokens: w.SharedTokens + w.UniqueTokens, Deadline: w.Deadline,
		OutputTokens: w.MeanOutputTokens/2 + rng.IntN(w.MeanOutputTokens+1),
	}
	if rng.Float64() >= w.UrgentFraction {
		r.Priority = 1
	}
	for b := range w.SharedTokens / routing.BlockTokens {
		r.Blocks = append(r.Blocks, group<<16|uint64(b)+1)
	}
	for range w.UniqueTokens / routing.BlockTokens {
		r.Blocks = append(r.Blocks, rng.Uint64())
	}
	return r
}

// zipfExponent and zipfOffset shape the popularity of prefixes.
const (
	zipfExponent = 1.2
	zipfOffset   = 2
)

// ScheduleArrivals sends requests of a Poisson stream until a time.
func (c *Cluster) ScheduleArrivals(seed uint64, w Workload, perSecond float64, until time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(w.PrefixGroups-1))
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
func Quantile(results []*Result, q float64, filter func(*Result) bool) time.Duration {
	var latencies []time.Duration
	for _, r := range results {
		if r.FirstToken > 0 && (filter == nil || filter(r)) {
			latencies = append(latencies, r.FirstToken)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(q*float64(len(latencies))))]
}
