// Package routing picks a backend server for one attempt: filter, score, pick,
// over a snapshot of the servers that hold the wanted version.
//
// All decisions are pure: the snapshot, the time and the random numbers are
// arguments. Picture, which keeps the load estimates behind a snapshot, takes
// the time with every event.
package routing

import "time"

// MaxCandidates bounds the servers of one snapshot: prefix knowledge is a bit per server,
// and a choice looks at each. During a roll-out a service has twice its servers. Of more, a
// daemon works on a part: see Shard.
const MaxCandidates = 256

// Candidate is what is known of one backend server at one moment.
type Candidate struct {
	ID            string
	Address       string
	FailureDomain string
	// Hash places the server in orders that all daemons agree on.
	Hash uint64
	// Slots is how many requests the server runs at once.
	Slots int
	// InFlight is the work this daemon has there, and Urgent the part of it that
	// goes before other work.
	InFlight int
	Urgent   int
	// OthersInFlight estimates the mean work of other daemons there, from the
	// server's lagged reports.
	OthersInFlight float64
	// PendingPrefill and OthersPending are the prompt tokens, own and of other
	// daemons, sent to the server and not yet read, scaled by their model.
	PendingPrefill float64
	OthersPending  float64
	// Wait is the recent delay of own first tokens beyond network and prefill,
	// aged: the freshest sign of a queue.
	Wait time.Duration
	// ServiceTime is the recent mean time a request holds a slot.
	ServiceTime time.Duration
	// PrefillPerToken is the recent prefill time per uncached prompt token.
	PrefillPerToken time.Duration
	// Network is the recent round trip to the server.
	Network time.Duration
	// ErrorRate is the recent fraction of failed attempts, 0 to 1.
	ErrorRate float64
	// Leaving servers finish their work and get none.
	Leaving bool
	// Suspect servers have gone silent and get none until a probe answers.
	Suspect bool
}

// Request is what the pipeline knows of one attempt.
type Request struct {
	PromptTokens int
	// Blocks are the chained hashes of the prompt's prefix blocks.
	Blocks []uint64
	// BlockTokens is how many tokens one block spans.
	BlockTokens int
	// BlockEnds gives, for blocks of unlike length, the prompt tokens up to the
	// end of each; BlockTokens is then not used.
	BlockEnds []int
	// CachedBlocks gives, per candidate index, the leading blocks believed cached.
	CachedBlocks [MaxCandidates]uint8
	// PrefillScale is how much longer the model takes over a prompt token than
	// the one that PrefillPerToken is measured by; zero is 1.
	PrefillScale float64
	// HomeRank orders, per candidate index, where a prompt nobody has cached should
	// go: 0 first. Daemons agree on it without a word.
	HomeRank [MaxCandidates]uint8
	// SharedPrefixTokens is the length of the beginning that other prompts share.
	SharedPrefixTokens int
	// FailureDomain is where the daemon runs, and BodyBytes what the request carries to a
	// server.
	FailureDomain string
	BodyBytes     int
	// LocalCandidates is the number of candidates in that failure domain.
	LocalCandidates int
	// OutsidePartition marks, by candidate index, the engines in another model's lane.
	OutsidePartition Set
	// Tried marks, by candidate index, the servers of earlier attempts.
	Tried Set
	// Budget is the time left to the first token; zero is unbounded.
	Budget time.Duration
	// Urgent requests go before others in a server's queue.
	Urgent bool
}

// Decision is the outcome of one pick.
type Decision struct {
	// Index is the chosen candidate, or -1.
	Index int
	// Expected is the expected time to the first token at the chosen server.
	Expected time.Duration
	// Refusal says why nothing was chosen.
	Refusal Refusal
}

// Refusal is a reason not to dispatch.
type Refusal uint8

const (
	// None means a server was chosen.
	None Refusal = iota
	// NoCandidate means every server was filtered out.
	NoCandidate
	// BudgetExceeded means no server can start within the budget.
	BudgetExceeded
)
