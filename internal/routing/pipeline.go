package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pipeline is the ordered set of rules. The zero value keeps and scores nothing;
// use Default.
type Pipeline struct {
	Filters []Filter
	// Scorers make up the expected time to the first token.
	Scorers []Scorer
	// Preferences count for the choice alone: what a choice costs others, or where a
	// request should rather go.
	Preferences []Scorer
	// TieWindow is how much worse than the best a candidate may be to share in
	// the random choice. Daemons see the same lagged reports, so a strict
	// minimum sends them all to one server at once.
	TieWindow time.Duration
}

const (
	// defaultTieWindow is below the noise of the estimates.
	defaultTieWindow = 2 * time.Millisecond
	// defaultSharing is the share of the service time that a request in a batch
	// adds; docs/design/routing.md has the trials.
	defaultSharing = 0.08
	// defaultRetryCost is one lost attempt.
	defaultRetryCost = 500 * time.Millisecond
)

// DefaultPipeline returns the pipeline that the daemon uses.
func DefaultPipeline() Pipeline {
	return Pipeline{
		Filters: []Filter{Live{}, Untried{}},
		Scorers: []Scorer{
			Queue{}, Prefill{}, Network{},
			Sharing{Fraction: defaultSharing},
			Reliability{RetryCost: defaultRetryCost},
		},
		TieWindow: defaultTieWindow,
	}
}

const (
	// homingStep is the cost of one place down the order of homes. It is above
	// the tie window, so that like loads go home, and below the cost of reading a
	// shared prompt again, so that a busy home is passed over.
	homingStep = 4 * time.Millisecond
	// homingBelief is how sure it is that a home has read a shared beginning.
	homingBelief = 0.6
	// batchCost is what one running request costs a new one: a step of some
	// milliseconds grows by a fiftieth, over some hundred steps.
	batchCost = 4 * time.Millisecond
	// distanceCost is the delay that 1,000 bytes between failure domains are worth among many
	// near engines: it keeps requests of like cost near, and is less than reading a shared
	// prompt again costs. distanceHalved is the number of near engines with which it is half.
	distanceCost   = 10 * time.Millisecond
	distanceHalved = 8
	// readingOthers is how many others each second of reading a prompt delays, on
	// average over busy and idle engines: those that come while it is read, and the
	// streams that make no tokens meanwhile. Twelve heavy days of 18 engines earned 0.677
	// of what was owed without it, and 0.688 at 1, 0.688 at 2, 0.695 at 4 and 0.691 at
	// 8; at 4, 15 in 100 fewer shared tokens were read again.
	readingOthers = 4
	// laneCost is what it costs to run among another model's requests: some sixty
	// tokens, each of which waits for a step of the other model, 15 ms and more. At
	// 120 ms a busy lane spilled over and made both models slow: of what was owed
	// under overload 0.83 was served, at this cost 0.86, at four seconds as much.
	laneCost = 1200 * time.Millisecond
)

// EnginePipeline returns the pipeline for model engines whose work all daemons tell
// each other. Reading prompts takes most of an engine's time, so the prompts that
// wait to be read are what tells a busy server from an idle one.
func EnginePipeline() Pipeline {
	return Pipeline{
		Filters: []Filter{Live{}, Untried{}},
		Scorers: []Scorer{
			Backlog{}, Prefill{}, Network{}, Batch{PerRequest: batchCost}, Full{}, Lateness{},
			Reliability{RetryCost: defaultRetryCost},
		},
		Preferences: []Scorer{
			Lane{Leaving: laneCost}, Homing{Step: homingStep, Belief: homingBelief},
			Reading{Others: readingOthers}, Distance{PerKB: distanceCost, Halved: distanceHalved},
		},
		TieWindow: defaultTieWindow,
	}
}

// Pick chooses among candidates. A request whose best expected time exceeds its
// budget is refused at once, because queueing it would only delay the refusal.
func (p Pipeline) Pick(r *Request, candidates []Candidate, rng *rand.Rand) Decision {
	var expected, costs [MaxCandidates]time.Duration
	soonest, best := time.Duration(-1), time.Duration(-1)
	n := min(len(candidates), MaxCandidates)
	for i := range n {
		costs[i] = -1
		if !p.keep(r, &candidates[i], i) {
			continue
		}
		expected[i] = sum(p.Scorers, r, &candidates[i], i)
		if r.Budget > 0 && expected[i] > r.Budget {
			soonest = least(soonest, expected[i])
			continue
		}
		costs[i] = expected[i] + sum(p.Preferences, r, &candidates[i], i)
		best = least(best, costs[i])
	}
	switch {
	case best >= 0:
		chosen := pickWithin(costs[:n], best+p.TieWindow, rng)
		return Decision{Index: chosen, Expected: expected[chosen]}
	case soonest >= 0:
		return Decision{Index: -1, Expected: soonest, Refusal: BudgetExceeded}
	}
	return Decision{Index: -1, Refusal: NoCandidate}
}

// least returns the smaller of two durations, of which a negative one is none.
func least(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	return min(a, b)
}

func (p Pipeline) keep(r *Request, c *Candidate, index int) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c, index) {
			return false
		}
	}
	return true
}

func sum(scorers []Scorer, r *Request, c *Candidate, index int) time.Duration {
	var sum time.Duration
	for _, s := range scorers {
		sum += s.Cost(r, c, index)
	}
	return sum
}

// pickWithin chooses uniformly among costs in [0, limit] by reservoir sampling.
func pickWithin(costs []time.Duration, limit time.Duration, rng *rand.Rand) int {
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

// RuleResult is one rule's word on one candidate.
type RuleResult struct {
	Server string        `json:"server"`
	Rule   string        `json:"rule"`
	Kept   bool          `json:"kept"`
	Cost   time.Duration `json:"cost_ns"`
}

// Explain returns every rule's word on every candidate.
func (p Pipeline) Explain(r *Request, candidates []Candidate) []RuleResult {
	var out []RuleResult
	for i := range min(len(candidates), MaxCandidates) {
		c := &candidates[i]
		for _, f := range p.Filters {
			out = append(out, RuleResult{Server: c.ID, Rule: f.Name(), Kept: f.Keep(r, c, i)})
		}
		for _, s := range slices.Concat(p.Scorers, p.Preferences) {
			out = append(out, RuleResult{Server: c.ID, Rule: s.Name(), Kept: true, Cost: s.Cost(r, c, i)})
		}
	}
	return out
}
