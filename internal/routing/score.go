package routing

import "time"

// Scorer gives one part of the expected time to the first token.
type Scorer interface {
	// Name identifies the scorer in an explanation.
	Name() string
	// Cost returns the expected delay that this part adds.
	Cost(r *Request, c *Candidate, index int) time.Duration
}

// Queue is the expected wait for a slot. Own work is known exactly; the work of
// others comes from an aged report.
type Queue struct{}

// Name implements Scorer.
func (Queue) Name() string { return "queue" }

// Cost implements Scorer.
func (Queue) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	slots := float64(max(c.Slots, 1))
	ahead := float64(c.InFlight) + c.OthersInFlight + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(c.ServiceTime))
}

// Prefill is the time to compute the part of the prompt that is not cached.
type Prefill struct{}

// Name implements Scorer.
func (Prefill) Name() string { return "prefill" }

// Cost implements Scorer.
func (Prefill) Cost(r *Request, c *Candidate, index int) time.Duration {
	missing := r.PromptTokens - int(r.CachedBlocks[index])*r.BlockTokens
	return time.Duration(max(missing, 0)) * c.PrefillPerToken
}

// Network is the round trip to the server.
type Network struct{}

// Name implements Scorer.
func (Network) Name() string { return "network" }

// Cost implements Scorer.
func (Network) Cost(_ *Request, c *Candidate, _ int) time.Duration { return c.Network }

// Sharing spreads work over servers whose queues look empty: a server that
// shares its batch with more requests decodes and prefills slower. Without it
// all work below the slot limit costs the same and piles up on one server.
type Sharing struct {
	// PerRequest is the delay that each request in the batch adds.
	PerRequest time.Duration
}

// Name implements Scorer.
func (Sharing) Name() string { return "sharing" }

// Cost implements Scorer.
func (s Sharing) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	return time.Duration((float64(c.InFlight) + c.OthersInFlight) * float64(s.PerRequest))
}

// Reliability charges the expected cost of failing and having to try again.
type Reliability struct {
	// RetryCost is the delay of one failed attempt.
	RetryCost time.Duration
}

// Name implements Scorer.
func (Reliability) Name() string { return "reliability" }

// Cost implements Scorer.
func (s Reliability) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	return time.Duration(c.ErrorRate * float64(s.RetryCost))
}
