package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pipeline filters and scores candidates. The zero value admits all candidates at equal
// cost.
type Pipeline struct {
	Filters []Filter
	// Scorers and Load add up to the expected time to first token. Load are the queues on the
	// server, which further requests fill up.
	Scorers []Scorer
	Load    []Scorer
	// Preferences are added to the cost for the choice only, not to the expected time:
	// costs to other requests, and affinities.
	Preferences []Scorer
	// TieWindow is the cost difference to the best candidate within which the choice is
	// random. A strict minimum would make all daemons choose the same server from the same
	// reports.
	TieWindow time.Duration
}

const (
	// defaultTieWindow is below the noise of the estimates.
	defaultTieWindow = 2 * time.Millisecond
	// defaultContention is the fraction of the service time added per request in a batch.
	defaultContention = 0.08
	// defaultRetryCost is the delay caused by one failed attempt.
	defaultRetryCost = 500 * time.Millisecond
	// largeBodiesCost exceeds the tie window for bodies of some hundred kilobytes.
	largeBodiesCost = 20 * time.Millisecond
)

// DefaultPipeline returns the pipeline for servers whose load is known from reports.
func DefaultPipeline() Pipeline {
	return Pipeline{
		Filters: []Filter{Live{}, Untried{}},
		Scorers: []Scorer{
			Queue{}, Prefill{}, Network{},
			Contention{Fraction: defaultContention},
			Reliability{RetryCost: defaultRetryCost},
		},
		Preferences: []Scorer{LargeBodies{PerSquareMB: largeBodiesCost}},
		TieWindow:   defaultTieWindow,
	}
}

const (
	// affinityRankCost exceeds the tie window, so that equally loaded servers are chosen by
	// rank, and is less than the prefill of a shared prefix, so that a busy home is
	// skipped.
	affinityRankCost = 4 * time.Millisecond
	// affinityPrefillShare is the assumed probability that a home server has cached the shared
	// prefix.
	affinityPrefillShare = 0.6
	// BatchCost is the delay that one running request adds to a new one over all its
	// steps.
	BatchCost = 4 * time.Millisecond
	// localityCostPerKB is the cost of sending 1,000 bytes to another failure domain when
	// there are many local candidates, and localityHalfCostAt the number of local
	// candidates at which half of it applies. The cost is below that of repeating the
	// prefill of a shared prefix.
	localityCostPerKB  = 10 * time.Millisecond
	localityHalfCostAt = 8
	// prefillDelayedPerSecond is the average number of other requests delayed during each
	// second of prefill: those that arrive meanwhile and those whose decoding is
	// interrupted.
	prefillDelayedPerSecond = 4
	// transfersDelayedPerSecond is the average number of transfers delayed during each second of
	// a transfer, on both links.
	transfersDelayedPerSecond = 4
	// partitionPenalty is the delay from running among another model's requests, whose
	// steps alternate with the request's own. With a low penalty, a busy part of the engines
	// spills over into the other, and both models become slow. With a high one, requests wait
	// longer than callers tolerate while engines of other models are idle.
	partitionPenalty = 600 * time.Millisecond
)

// EnginePipeline returns the pipeline for model engines whose load the daemons exchange
// directly. Pending prefills dominate the expected delay.
func EnginePipeline() Pipeline {
	return Pipeline{
		Filters: []Filter{Live{}, Untried{}},
		Scorers: []Scorer{
			Prefill{}, TransferDelay{}, Network{}, Lateness{}, Reliability{RetryCost: defaultRetryCost},
		},
		Load: []Scorer{PrefillBacklog{}, Batch{PerRequest: BatchCost}, FullBatch{}},
		Preferences: []Scorer{
			StaleLoad{},
			PartitionAffinity{Penalty: partitionPenalty}, RendezvousAffinity{RankCost: affinityRankCost, PrefillShare: affinityPrefillShare},
			PrefillImpact{DelayedPerSecond: prefillDelayedPerSecond}, TransferImpact{DelayedPerSecond: transfersDelayedPerSecond}, Reserve{},
			Locality{PerKB: localityCostPerKB, HalfCostAt: localityHalfCostAt},
		},
		TieWindow: defaultTieWindow,
	}
}

// Pick chooses among candidates. A request whose best expected time exceeds its budget is
// refused at once instead of queued.
func (p Pipeline) Pick(r *Request, candidates []Candidate, rng *rand.Rand) Decision {
	var expected, costs [MaxCandidates]time.Duration
	earliest, best := time.Duration(-1), time.Duration(-1)
	n := min(len(candidates), MaxCandidates)
	for i := range n {
		costs[i] = -1
		if !p.passesFilters(r, &candidates[i], i) {
			continue
		}
		expected[i] = totalCost(p.Scorers, r, &candidates[i], i) + totalCost(p.Load, r, &candidates[i], i)
		if r.Budget > 0 && expected[i] > r.Budget {
			earliest = minNonNegative(earliest, expected[i])
			continue
		}
		costs[i] = expected[i] + totalCost(p.Preferences, r, &candidates[i], i)
		best = minNonNegative(best, costs[i])
	}
	switch {
	case best >= 0:
		chosen := sampleWithin(costs[:n], best+p.TieWindow, rng)
		return Decision{Index: chosen, Expected: expected[chosen]}
	case earliest >= 0:
		return Decision{Index: -1, Expected: earliest, Refusal: BudgetExceeded}
	}
	return Decision{Index: -1, Refusal: NoCandidate}
}

// minNonNegative returns the smaller of a and b, or b if a is negative.
func minNonNegative(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

func (p Pipeline) passesFilters(r *Request, c *Candidate, index int) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c, index) {
			return false
		}
	}
	return true
}

func totalCost(scorers []Scorer, r *Request, c *Candidate, index int) time.Duration {
	var total time.Duration
	for _, s := range scorers {
		total += s.Cost(r, c, index)
	}
	return total
}

// sampleWithin chooses uniformly among the costs in [0, limit] by reservoir sampling.
func sampleWithin(costs []time.Duration, limit time.Duration, rng *rand.Rand) int {
	chosen, seen := -1, 0
	for i, c := range costs {
		if c < 0 || c > limit {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// RuleResult is the outcome of one filter or scorer for one candidate.
type RuleResult struct {
	Server string        `json:"server"`
	Rule   string        `json:"rule"`
	Kept   bool          `json:"kept"`
	Cost   time.Duration `json:"cost_ns"`
}

// Explain returns the outcome of every filter and scorer for every candidate.
func (p Pipeline) Explain(r *Request, candidates []Candidate) []RuleResult {
	var out []RuleResult
	for i := range min(len(candidates), MaxCandidates) {
		c := &candidates[i]
		for _, f := range p.Filters {
			out = append(out, RuleResult{Server: c.ID, Rule: f.Name(), Kept: f.Keep(r, c, i)})
		}
		for _, s := range slices.Concat(p.Scorers, p.Load, p.Preferences) {
			out = append(out, RuleResult{Server: c.ID, Rule: s.Name(), Kept: true, Cost: s.Cost(r, c, i)})
		}
	}
	return out
}
