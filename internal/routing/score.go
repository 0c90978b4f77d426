package routing

import (
	"math"
	"time"
)

// Scorer computes one part of a candidate's cost.
type Scorer interface {
	// Name identifies the scorer in an explanation.
	Name() string
	// Cost returns the delay added by this part.
	Cost(r *Request, c *Candidate, index int) time.Duration
}

// Queue is the expected wait for a slot by Sakasegawa's approximation for multi-server
// queues (Annals of the Institute of Statistical Mathematics 29, 1977), or the recent
// first-token delay if that is larger. An urgent request waits behind urgent requests only.
type Queue struct{}

// maxUtilization caps the utilization in the approximation; requests beyond the slots are
// added separately.
const maxUtilization = 0.95

// minUtilization is the utilization below which the wait is negligible and not computed.
const minUtilization = 0.25

// Name implements Scorer.
func (Queue) Name() string { return "queue" }

// Cost implements Scorer.
func (Queue) Cost(r *Request, c *Candidate, _ int) time.Duration {
	slots := float64(max(c.Slots, 1))
	load := float64(c.InFlight) + c.OthersInFlight
	utilization := min(load/slots, maxUtilization)
	wait := 0.0
	if utilization > minUtilization {
		wait = math.Pow(utilization, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilization))
	}
	queued := max(0, load+1-slots)
	if r.Urgent {
		wait, queued = wait/slots, min(queued, float64(c.Urgent)+1)
	}
	estimate := time.Duration((wait + queued/slots) * float64(c.ServiceTime))
	if r.Urgent {
		return estimate
	}
	return max(estimate, c.Wait)
}

// Prefill is the time to process the uncached part of the prompt.
type Prefill struct{}

// Name implements Scorer.
func (Prefill) Name() string { return "prefill" }

// Cost implements Scorer.
func (Prefill) Cost(r *Request, c *Candidate, index int) time.Duration {
	return time.Duration(float64(r.UncachedTokens(index)) * r.prefillScale() * float64(c.PrefillPerToken))
}

// UncachedTokens returns the estimated number of prompt tokens that a candidate neither has cached
// nor fetches.
func (r *Request) UncachedTokens(index int) int {
	return max(r.PromptTokens-r.CachedTokens(index)-r.Transfer(index).ExpectedTokens, 0)
}

// CachedTokens returns the estimated number of leading prompt tokens cached at a candidate.
func (r *Request) CachedTokens(index int) int {
	n := int(r.CachedBlocks[index])
	switch {
	case len(r.BlockEnds) == 0:
		return n * r.BlockTokens
	case n > 0:
		return r.BlockEnds[n-1]
	}
	return 0
}

func (r *Request) prefillScale() float64 {
	if r.PrefillScale > 0 {
		return r.PrefillScale
	}
	return 1
}

// TransferDelay is the time to fetch a part of the prompt's KV cache from another engine.
type TransferDelay struct{}

// Name implements Scorer.
func (TransferDelay) Name() string { return "transfer" }

// Cost implements Scorer.
func (TransferDelay) Cost(r *Request, _ *Candidate, index int) time.Duration {
	return r.Transfer(index).Delay
}

// TransferImpact is the delay that the transfer causes to other transfers, which queue behind it
// on the links of both engines.
type TransferImpact struct {
	// DelayedPerSecond is the number of transfers delayed during each second of a transfer.
	DelayedPerSecond float64
}

// Name implements Scorer.
func (TransferImpact) Name() string { return "lending" }

// Cost implements Scorer.
func (t TransferImpact) Cost(r *Request, _ *Candidate, index int) time.Duration {
	return time.Duration(t.DelayedPerSecond * float64(r.Transfer(index).Duration))
}

// PrefillBacklog is the time to process the prompts sent to the server that have no first
// token yet. Engines process prompts sequentially, whatever the number of free slots.
type PrefillBacklog struct{}

// Name implements Scorer.
func (PrefillBacklog) Name() string { return "backlog" }

// Cost implements Scorer.
func (PrefillBacklog) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	return time.Duration((c.PendingPrefill + c.OthersPending) * float64(c.PrefillPerToken))
}

// Reserve leaves the emptier servers to requests that need them: a request has no gain from a
// backlog below Request.Patience. It answers bursts in which servers differ in backlog.
type Reserve struct{}

// Name implements Scorer.
func (Reserve) Name() string { return "reserve" }

// Cost implements Scorer.
func (Reserve) Cost(r *Request, c *Candidate, index int) time.Duration {
	return max(r.Patience-PrefillBacklog{}.Cost(r, c, index)-r.Unseen[index], 0)
}

// MeanBacklog returns the mean backlog of the candidates that the request can use.
func (r *Request) MeanBacklog(candidates []Candidate) time.Duration {
	excluded := r.Tried.Union(r.OutsidePartition)
	total, n := time.Duration(0), 0
	for i := range min(len(candidates), MaxCandidates) {
		if c := &candidates[i]; (Live{}).Keep(r, c, i) && !excluded.Has(i) {
			total += PrefillBacklog{}.Cost(r, c, i)
			n++
		}
	}
	return total / time.Duration(max(n, 1))
}

// RendezvousAffinity sends prompts with a common prefix to the same servers. All daemons rank
// the servers of a prefix alike, so its prefill is repeated on few servers although the
// placements of other daemons are known only in part and with a delay.
type RendezvousAffinity struct {
	// RankCost is the cost per rank.
	RankCost time.Duration
	// PrefillShare is the fraction of the shared prefix's prefill time by which the last
	// rank costs more than the first.
	PrefillShare float64
}

// Name implements Scorer.
func (RendezvousAffinity) Name() string { return "homing" }

// Cost implements Scorer.
func (h RendezvousAffinity) Cost(r *Request, c *Candidate, index int) time.Duration {
	rank := r.AffinityRank[index]
	uncachedShared := r.SharedPrefixTokens - (r.PromptTokens - r.UncachedTokens(index))
	prefill := float64(max(uncachedShared, 0)) * r.prefillScale() * float64(c.PrefillPerToken)
	return time.Duration(rank)*h.RankCost + time.Duration(h.PrefillShare*prefill*float64(rank)/MaxAffinityRank)
}

// MaxAffinityRank is the rank of every candidate that is not a home of the prefix.
const MaxAffinityRank = 4

// PrefillImpact is the delay that the request's prefill causes to other requests. It
// prefers a server that has the prompt cached over an idle one that would repeat the
// prefill. It is that of a typical engine: a slower one is blocked for longer, by a prompt that fewer
// others meet there.
type PrefillImpact struct {
	// DelayedPerSecond is the number of requests delayed during each second of prefill.
	DelayedPerSecond float64
}

// Name implements Scorer.
func (PrefillImpact) Name() string { return "reading" }

// Cost implements Scorer.
func (p PrefillImpact) Cost(r *Request, c *Candidate, index int) time.Duration {
	return time.Duration(p.DelayedPerSecond * float64(Prefill{}.Cost(r, c, index)) / c.Factor())
}

// Locality is the cost of sending the request body to another failure domain. It decreases
// with the number of local candidates, since keeping requests to a few servers would load
// them unevenly.
type Locality struct {
	// PerKB is the cost of sending 1,000 bytes when there are many local candidates.
	PerKB time.Duration
	// HalfCostAt is the number of local candidates at which half of PerKB applies.
	HalfCostAt int
}

// Name implements Scorer.
func (Locality) Name() string { return "distance" }

// Cost implements Scorer.
func (l Locality) Cost(r *Request, c *Candidate, _ int) time.Duration {
	if r.LocalCandidates == 0 || c.FailureDomain == r.FailureDomain {
		return 0
	}
	weight := float64(r.LocalCandidates) / float64(r.LocalCandidates+l.HalfCostAt)
	return time.Duration(weight * float64(r.BodyBytes) / 1000 * float64(l.PerKB))
}

// Network is the round-trip time to the server.
type Network struct{}

// Name implements Scorer.
func (Network) Name() string { return "network" }

// Cost implements Scorer.
func (Network) Cost(_ *Request, c *Candidate, _ int) time.Duration { return c.Network }

// Contention is the slowdown by the requests in a server's batch. It spreads requests over
// servers that have free slots. Requests beyond the slots are counted by Queue.
type Contention struct {
	// Fraction is the fraction of the service time added per request in the batch.
	Fraction float64
}

// Name implements Scorer.
func (Contention) Name() string { return "sharing" }

// Cost implements Scorer.
func (s Contention) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	batch := min(float64(c.InFlight)+c.OthersInFlight, float64(c.Slots))
	return time.Duration(batch * s.Fraction * float64(c.ServiceTime))
}

// Reliability is the expected cost of a failed attempt.
type Reliability struct {
	// RetryCost is the delay of one failed attempt.
	RetryCost time.Duration
}

// Name implements Scorer.
func (Reliability) Name() string { return "reliability" }

// Cost implements Scorer.
func (r Reliability) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	return time.Duration(c.ErrorRate * float64(r.RetryCost))
}

// Batch is the delay that the requests running on an engine add to each step of the batch.
type Batch struct {
	// PerRequest is the cost of one running request.
	PerRequest time.Duration
}

// Name implements Scorer.
func (Batch) Name() string { return "batch" }

// Cost implements Scorer.
func (b Batch) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	return time.Duration((float64(c.InFlight) + c.OthersInFlight) * c.Factor() * float64(b.PerRequest))
}

// FullBatch is the wait for a slot of an engine whose batch is full.
type FullBatch struct{}

// Name implements Scorer.
func (FullBatch) Name() string { return "full" }

// Cost implements Scorer.
func (FullBatch) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	excess := float64(c.InFlight) + c.OthersInFlight + 1 - float64(c.Slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / float64(max(c.Slots, 1)) * float64(c.ServiceTime))
}

// Lateness is the recent delay of first tokens beyond their expected time. It covers
// problems that request counts do not show, such as a slow VM or exhausted memory.
type Lateness struct{}

// Name implements Scorer.
func (Lateness) Name() string { return "lateness" }

// Cost implements Scorer.
func (Lateness) Cost(_ *Request, c *Candidate, _ int) time.Duration { return c.Wait }
