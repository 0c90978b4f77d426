// Package routing picks a backend server for one attempt: it filters and scores a snapshot
// of the servers that run the requested version, and chooses among the best.
//
// Decisions are pure: the snapshot, the time and the random numbers are arguments.
// LoadTracker maintains the estimates behind a snapshot.
package routing

import "time"

// MaxCandidates bounds the servers of one snapshot. For larger services a daemon uses a
// shard, see ShardFilter.
const MaxCandidates = 256

// Candidate is the state of one backend server in a snapshot.
type Candidate struct {
	ID            string
	Address       string
	FailureDomain string
	// Hash is the hash of the ID, which gives all daemons the same order of servers.
	Hash uint64
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// InFlight is the number of this daemon's requests on the server, and Urgent the
	// number of those with priority.
	InFlight int
	Urgent   int
	// OthersInFlight estimates the number of other daemons' requests on the server.
	OthersInFlight float64
	// PendingPrefill and OthersPending are the prompt tokens of this and of other daemons
	// awaiting prefill on the server, scaled by Request.PrefillScale.
	PendingPrefill float64
	OthersPending  float64
	// Wait is the recent delay of this daemon's first tokens beyond network and prefill
	// time.
	Wait time.Duration
	// ServiceTime is the mean time that a request occupies a slot.
	ServiceTime time.Duration
	// PrefillPerToken is the prefill time per uncached prompt token.
	PrefillPerToken time.Duration
	// TimeFactor is the ratio of the engine's time to that of a typical one; zero means 1. It is
	// included in PrefillPerToken and ServiceTime.
	TimeFactor float64
	// Network is the round-trip time to the server.
	Network time.Duration
	// ErrorRate is the recent fraction of failed attempts, 0 to 1.
	ErrorRate float64
	// BodyBytes is the number of bytes of this daemon's request bodies that the server holds.
	BodyBytes int64
	// Leaving servers finish their requests and get no new ones.
	Leaving bool
	// Suspect servers have failed to respond and get no requests for a while.
	Suspect bool
}

// Factor returns the TimeFactor.
func (c *Candidate) Factor() float64 {
	if c.TimeFactor > 0 {
		return c.TimeFactor
	}
	return 1
}

// Request describes one attempt to the pipeline.
type Request struct {
	PromptTokens int
	// Blocks are the chained hashes of the prompt's prefix blocks.
	Blocks []uint64
	// BlockTokens is the number of tokens per block.
	BlockTokens int
	// BlockEnds gives, for blocks of varying length, the number of prompt tokens up to the
	// end of each block. If set, BlockTokens is ignored.
	BlockEnds []int
	// CachedBlocks is the estimated number of leading blocks cached, by candidate index.
	CachedBlocks [MaxCandidates]uint8
	// Transfers holds, by candidate index, what a candidate would fetch from the KV cache of
	// another one; nil if there are no transfers.
	Transfers []Transfer
	// PrefillScale is the ratio of the model's prefill time per token to PrefillPerToken;
	// zero means 1.
	PrefillScale float64
	// AffinityRank ranks the candidates, by index, as the home of the prompt's prefix, 0
	// first. All daemons compute the same ranks.
	AffinityRank [MaxCandidates]uint8
	// SharedPrefixTokens is the length of the prefix shared with other prompts.
	SharedPrefixTokens int
	// FailureDomain is the daemon's failure domain, and BodyBytes the size of the request
	// body.
	FailureDomain string
	BodyBytes     int
	// LocalCandidates is the number of candidates in the daemon's failure domain.
	LocalCandidates int
	// OutsidePartition marks, by index, the candidates assigned to other models.
	OutsidePartition Set
	// Unseen is the estimated change of the load of each candidate, by index, since the reports of
	// other daemons. It is negative where an engine has worked off more than was sent. See UnseenWork.
	Unseen [MaxCandidates]time.Duration
	// Tried marks, by index, the candidates of earlier attempts.
	Tried Set
	// Budget is the time left to the first token; zero means unlimited.
	Budget time.Duration
	// Patience is the backlog up to which the request has no need of an emptier server.
	Patience time.Duration
	// Urgent requests precede others in a server's queue.
	Urgent bool
}

// Transfer is a possible transfer of KV cache to a candidate.
type Transfer struct {
	// Lender is the index of the candidate to fetch from.
	Lender int
	// Tokens is the number of prompt tokens to fetch; zero if there is no transfer.
	// ExpectedTokens is the part of them that is expected to arrive.
	Tokens, ExpectedTokens int
	// Duration is the time that the transfer occupies the links of both engines, Delay the
	// expected time until it has ended.
	Duration, Delay time.Duration
}

// Transfer returns the transfer to a candidate; zero if there is none.
func (r *Request) Transfer(index int) Transfer {
	if index < 0 || index >= len(r.Transfers) {
		return Transfer{}
	}
	return r.Transfers[index]
}

// Decision is the result of Pick.
type Decision struct {
	// Index is the chosen candidate, or -1.
	Index int
	// Expected is the expected time to first token at the chosen candidate, or at the best
	// one over budget.
	Expected time.Duration
	// Refusal is the reason why none was chosen.
	Refusal Refusal
}

// Refusal is a reason not to dispatch.
type Refusal uint8

const (
	// NotRefused means that a candidate was chosen.
	NotRefused Refusal = iota
	// NoCandidate means that every candidate was filtered out.
	NoCandidate
	// BudgetExceeded means that no candidate can respond within the budget.
	BudgetExceeded
)
