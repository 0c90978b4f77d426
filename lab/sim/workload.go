package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// Workload generates requests whose prompts share prefixes.
type Workload struct {
	// PrefixGroups is the number of shared prefixes, whose popularity has a Zipf distribution.
	PrefixGroups int
	// SharedTokens and UniqueTokens are the lengths of the shared prefix and of the rest of
	// the prompt.
	SharedTokens, UniqueTokens int
	// MeanCompletionTokens is the mean output length. Lengths are uniform between 0.5 and 1.5
	// times the mean.
	MeanCompletionTokens int
	// Deadline bounds the time to the first token; zero means none.
	Deadline time.Duration
	// UrgentFraction is the fraction of requests with priority 0; the others have priority 1.
	UrgentFraction float64
}

// Next returns a random request.
func (w Workload) Next(rng *rand.Rand, zipf *rand.Zipf) *Request {
	group := zipf.Uint64()
	r := &Request{
		PromptTokens: w.SharedTokens + w.UniqueTokens, Deadline: w.Deadline,
		CompletionTokens: w.MeanCompletionTokens/2 + rng.IntN(w.MeanCompletionTokens+1),
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

// Parameters of the Zipf distribution of prefixes.
const (
	zipfExponent = 1.2
	zipfOffset   = 2
)

// ScheduleArrivals sends requests with Poisson arrivals until a time since the start.
func (c *Cluster) ScheduleArrivals(seed uint64, workload Workload, perSecond float64, until time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(workload.PrefixGroups-1))
	var sendNext func()
	sendNext = func() {
		if c.Clock.now >= until {
			return
		}
		c.Send(workload.Next(rng, zipf))
		c.Clock.After(time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)), sendNext)
	}
	c.Clock.After(0, sendNext)
}

// Quantile returns the q-quantile of the time to first token of the results accepted by
// filter; a nil filter accepts all. It returns zero if there are none.
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
