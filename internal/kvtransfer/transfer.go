// Package kvtransfer decides whether an engine fetches the KV cache of a prompt's leading parts
// from another engine instead of prefilling them again. It answers the load of a prompt whose
// home is busy while other engines have room, where the choice would otherwise be between a long
// wait and a repeated prefill.
//
// Decisions are pure. Every transfer delays those queued behind it on two links, so that one is
// made only if it saves clearly more engine time than link time.
package kvtransfer

import "time"

const (
	// MinTokens is the least length of a transfer. Below it, the fixed cost of a transfer exceeds
	// the prefill.
	MinTokens = 256
	// fixedCost is the delay of a transfer of any length.
	fixedCost = 5 * time.Millisecond
	// minGain is the least time by which a transfer must shorten the request. It is below what a
	// caller notices and above the error of the estimates.
	minGain = 20 * time.Millisecond
	// minSpeedup is the least ratio of the prefill time saved to the time on a link. It bounds the
	// link time of all engines by a fraction of the engine time that they would spend otherwise, also
	// if estimates of the prefill time include some queueing.
	minSpeedup = 3
	// remoteFactor is the ratio of the transfer times between and within failure domains.
	remoteFactor = 2
	// maxDuration bounds the computed duration of a transfer, so that sums do not overflow.
	maxDuration = time.Hour
	// minSuccess is the least probability of success of a transfer.
	minSuccess = 0.3
)

// Rate is the speed of transfers between the engines of a service. The zero value disables them.
type Rate struct {
	// TokenBytes is the size of one token's KV cache, LinkMbps the rate of an engine's link in
	// Mbit/s.
	TokenBytes, LinkMbps float64
}

// Enabled reports whether engines can fetch from each other.
func (r Rate) Enabled() bool { return r.TokenBytes > 0 && r.LinkMbps > 0 }

// Duration returns the time that a number of tokens occupies both links.
func (r Rate) Duration(tokens int, remote bool) time.Duration {
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(tokens) * r.TokenBytes * bitsPerByte / (r.LinkMbps * bitsPerMbit)
	if remote {
		seconds *= remoteFactor
	}
	return time.Duration(min(seconds, maxDuration.Seconds()) * float64(time.Second))
}

// Engine is the state of an engine with respect to one prompt.
type Engine struct {
	// Index identifies the engine to the caller.
	Index int
	// HeldTokens is the number of leading prompt tokens expected in its KV cache.
	HeldTokens    int
	FailureDomain string
	// Version is the version of its weights. Engines of different or unknown versions do not
	// fetch from each other.
	Version string
	// LinkWait is the expected wait for its link, Share what this daemon may use of it to fetch from
	// the engine.
	LinkWait time.Duration
	Share    Share
}

// Target is an engine that may run the request.
type Target struct {
	Engine
	// PrefillPerToken is the time in which it prefills one token of the request's model.
	PrefillPerToken time.Duration
}

// Reason is the reason why an engine fetches nothing.
type Reason string

// Reasons why an engine fetches nothing.
const (
	// Planned means that the engine fetches.
	Planned Reason = ""
	// NoLender means that no other engine holds enough more of the prompt.
	NoLender Reason = "no_lender"
	// SlowLink means that the transfer takes too long compared with the prefill.
	SlowLink Reason = "slow_link"
	// BusyLink means that the wait for the links exceeds the gain.
	BusyLink Reason = "busy_link"
	// Unreliable means that too few of the recent transfers have saved time.
	Unreliable Reason = "unreliable"
	// Resent means that an earlier send of the request has failed.
	Resent Reason = "resent"
	// Suspect means that the request is suspected of crashing servers.
	Suspect Reason = "suspect"
)

// Plan is a possible transfer to a target.
type Plan struct {
	// Lender is the index of the engine to fetch from.
	Lender int
	// Tokens is the number of prompt tokens to fetch, ExpectedTokens that number times the
	// probability of success.
	Tokens, ExpectedTokens int
	// Duration is the time that the transfer occupies the links, Delay the expected time until it
	// has ended.
	Duration, Delay time.Duration
	Reason          Reason
	gain            time.Duration
}

// Policy decides on the transfers of one service.
type Policy struct {
	Rate Rate
	// Success is the probability that a transfer saves the expected time.
	Success float64
	// Utilization is the estimated utilization of a link by all daemons.
	Utilization float64
}

// othersWait returns the expected wait for the transfers of other daemons, if transfers of equal
// length arrive at random.
func (p Policy) othersWait(d time.Duration) time.Duration {
	return time.Duration(p.Utilization / (2 * (1 - p.Utilization)) * float64(d))
}

// Choose returns the transfer to a target with the largest gain, or the reason for none.
func (p Policy) Choose(t Target, lenders []Engine) Plan {
	best := Plan{Reason: NoLender}
	switch {
	case p.Success < minSuccess:
		return Plan{Reason: Unreliable}
	case p.Utilization >= maxUtilization:
		return Plan{Reason: BusyLink}
	}
	for _, lender := range lenders {
		plan := p.evaluate(t, lender)
		if best.Reason == Planned && (plan.Reason != Planned || plan.gain <= best.gain) {
			continue
		}
		if plan.Reason != NoLender {
			best = plan
		}
	}
	return best
}

// evaluate returns the transfer from one lender, or the reason for none.
func (p Policy) evaluate(t Target, lender Engine) Plan {
	tokens := lender.HeldTokens - t.HeldTokens
	if lender.Index == t.Index || lender.Version != t.Version || t.Version == "" || tokens < MinTokens {
		return Plan{Reason: NoLender}
	}
	expected := int(p.Success * float64(tokens))
	saved := time.Duration(min(float64(expected)*float64(t.PrefillPerToken), float64(maxDuration)))
	plan := Plan{Lender: lender.Index, Tokens: tokens, ExpectedTokens: expected, Duration: p.Rate.Duration(tokens, lender.FailureDomain != t.FailureDomain)}
	if saved < minSpeedup*plan.Duration || saved < plan.Duration+fixedCost+minGain {
		return Plan{Reason: SlowLink}
	}
	plan.Delay = max(lender.LinkWait, t.LinkWait) + p.othersWait(plan.Duration) + plan.Duration + fixedCost
	plan.gain = saved - plan.Delay
	if plan.gain < minGain || !lender.Share.Allows(plan.Duration) {
		return Plan{Reason: BusyLink}
	}
	return plan
}
