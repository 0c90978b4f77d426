package routing

import (
	"math"
	"time"
)

// Scorer gives one part of the expected time to the first token.
type Scorer interface {
	// Name identifies the scorer in an explanation.
	Name() string
	// Cost returns the expected delay that this part adds.
	Cost(r *Request, c *Candidate, index int) time.Duration
}

// Queue is the expected wait for a slot. Own work is known exactly; the work of
// others is a mean, around which the real number varies, so the wait grows
// smoothly before the slots are full. The shape is Sakasegawa's approximation
// for a queue with several servers (Annals of the Institute of Statistical
// Mathematics 29, 1977). An urgent request waits behind urgent work only.
//
// Reports lag by seconds; the delay that own requests met there lately is as old
// as the newest first token. Both tell of one queue, so the larger counts: their
// sum would refuse requests that could start in time.
type Queue struct{}

// maxUse caps the load at which the approximation is read; beyond the slots the
// excess is counted as it is.
const maxUse = 0.95

// idleUse is the load below which the wait is not worth computing: under a
// thousandth of the service time with 8 slots.
const idleUse = 0.25

// Name implements Scorer.
func (Queue) Name() string { return "queue" }

// Cost implements Scorer.
func (Queue) Cost(r *Request, c *Candidate, _ int) time.Duration {
	slots := float64(max(c.Slots, 1))
	load := float64(c.InFlight) + c.OthersInFlight
	use := min(load/slots, maxUse)
	wait := 0.0
	if use > idleUse {
		wait = math.Pow(use, math.Sqrt(2*(slots+1))-1) / (slots * (1 - use))
	}
	ahead := max(0, load+1-slots)
	if r.Urgent {
		wait, ahead = wait/slots, min(ahead, float64(c.Urgent)+1)
	}
	estimate := time.Duration((wait + ahead/slots) * float64(c.ServiceTime))
	if r.Urgent {
		return estimate
	}
	return max(estimate, c.Wait)
}

// Prefill is the time to compute the part of the prompt that is not cached.
type Prefill struct{}

// Name implements Scorer.
func (Prefill) Name() string { return "prefill" }

// Cost implements Scorer.
func (Prefill) Cost(r *Request, c *Candidate, index int) time.Duration {
	return time.Duration(float64(r.UncachedTokens(index)) * r.scale() * float64(c.PrefillPerToken))
}

// UncachedTokens returns the prompt tokens that a candidate is believed not to have.
func (r *Request) UncachedTokens(index int) int {
	n := int(r.CachedBlocks[index])
	cached := n * r.BlockTokens
	if len(r.BlockEnds) > 0 {
		cached = 0
		if n > 0 {
			cached = r.BlockEnds[n-1]
		}
	}
	return max(r.PromptTokens-cached, 0)
}

func (r *Request) scale() float64 {
	if r.PrefillScale > 0 {
		return r.PrefillScale
	}
	return 1
}

// Backlog is the time to read the prompts that were sent to the server before
// and have no first token yet. Engines read prompts one after the other, so a
// burst of long ones delays the next however many slots are free.
type Backlog struct{}

// Name implements Scorer.
func (Backlog) Name() string { return "backlog" }

// Cost implements Scorer.
func (Backlog) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	return time.Duration((c.PendingPrefill + c.OthersPending) * float64(c.PrefillPerToken))
}

// Homing sends prompts with the same beginning to the same server. Daemons hear of a
// part of each other's placements only, and late; but all send to the same homes, so
// the first home has most likely read the beginning already, the second less likely.
// Without it, each daemon would begin caches of its own elsewhere, and the beginning
// would be read once for each.
type Homing struct {
	// Step is the cost of one place further down the order.
	Step time.Duration
	// Belief is the part of the time to read a shared beginning that the last
	// place costs more than the first.
	Belief float64
}

// Name implements Scorer.
func (Homing) Name() string { return "homing" }

// Cost implements Scorer.
func (h Homing) Cost(r *Request, c *Candidate, index int) time.Duration {
	place := r.HomeRank[index]
	unread := r.SharedPrefixTokens - (r.PromptTokens - r.UncachedTokens(index))
	reading := float64(max(unread, 0)) * r.scale() * float64(c.PrefillPerToken)
	return time.Duration(place)*h.Step + time.Duration(h.Belief*reading*float64(place)/MaxHomeRank)
}

// MaxHomeRank is the place in the order of homes from which all count as equally far.
const MaxHomeRank = 4

// Reading is what reading a prompt costs everybody else. Prefill counts that time for
// the request alone, which would so rather have a prompt read again at an idle engine
// than wait a little where it is cached; the engine's time is then gone for all.
type Reading struct {
	// Others is the number of requests that each second of it delays.
	Others float64
}

// Name implements Scorer.
func (Reading) Name() string { return "reading" }

// Cost implements Scorer.
func (s Reading) Cost(r *Request, c *Candidate, index int) time.Duration {
	return time.Duration(s.Others * float64(Prefill{}.Cost(r, c, index)))
}

// Distance is what the body of a request costs on its way to another failure domain. It counts
// the less the fewer engines are near: work that keeps to a few fills them unevenly.
type Distance struct {
	// PerKB is the delay that moving 1,000 bytes is worth among many near engines.
	PerKB time.Duration
	// Halved is the number of near engines with which it is worth half.
	Halved int
}

// Name implements Scorer.
func (Distance) Name() string { return "distance" }

// Cost implements Scorer.
func (d Distance) Cost(r *Request, c *Candidate, _ int) time.Duration {
	if r.LocalCandidates == 0 || c.FailureDomain == r.FailureDomain {
		return 0
	}
	part := float64(r.LocalCandidates) / float64(r.LocalCandidates+d.Halved)
	return time.Duration(part * float64(r.BodyBytes) / 1000 * float64(d.PerKB))
}

// Network is the round trip to the server.
type Network struct{}

// Name implements Scorer.
func (Network) Name() string { return "network" }

// Cost implements Scorer.
func (Network) Cost(_ *Request, c *Candidate, _ int) time.Duration { return c.Network }

// Sharing spreads work over servers whose queues look empty: each request in a
// batch slows the others. Without it all work below the slot limit costs the
// same and piles up where a prefix is cached. What waits in the queue is in no
// batch yet and is Queue's to count.
type Sharing struct {
	// Fraction of the service time that each request in the batch adds.
	Fraction float64
}

// Name implements Scorer.
func (Sharing) Name() string { return "sharing" }

// Cost implements Scorer.
func (s Sharing) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	batch := min(float64(c.InFlight)+c.OthersInFlight, float64(c.Slots))
	return time.Duration(batch * s.Fraction * float64(c.ServiceTime))
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

// Batch is what the requests that run on an engine cost a new one: each makes
// every step of the batch a little longer.
type Batch struct {
	// PerRequest is the cost of one running request.
	PerRequest time.Duration
}

// Name implements Scorer.
func (Batch) Name() string { return "batch" }

// Cost implements Scorer.
func (b Batch) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	return time.Duration((float64(c.InFlight) + c.OthersInFlight) * float64(b.PerRequest))
}

// Full is the wait for a slot of an engine whose batch is full.
type Full struct{}

// Name implements Scorer.
func (Full) Name() string { return "full" }

// Cost implements Scorer.
func (Full) Cost(_ *Request, c *Candidate, _ int) time.Duration {
	over := float64(c.InFlight) + c.OthersInFlight + 1 - float64(c.Slots)
	if over <= 0 {
		return 0
	}
	return time.Duration(over / float64(max(c.Slots, 1)) * float64(c.ServiceTime))
}

// Lateness is how much later than expected first tokens came from the server
// lately. It tells of what no count of requests shows: a VM that has turned
// slow, or memory that has run out.
type Lateness struct{}

// Name implements Scorer.
func (Lateness) Name() string { return "lateness" }

// Cost implements Scorer.
func (Lateness) Cost(_ *Request, c *Candidate, _ int) time.Duration { return c.Wait }
