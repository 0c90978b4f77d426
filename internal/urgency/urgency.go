package urgency

import "time"

// Request is what decides the urgency of a send.
type Request struct {
	Rank int
	// Target is the time from the arrival to the first event in which the answer has its full
	// value, and Timeout the time to the deadline of the whole answer; zero if there is none.
	Target, Timeout time.Duration
	// Elapsed is the time since the arrival.
	Elapsed time.Duration
	// Expected is the time from now to the first event, with the work of the request itself.
	Expected time.Duration
	// Resent is set if time was lost to an earlier server or a smaller model.
	Resent bool
	// Streaming is set if the caller has a part of the answer.
	Streaming bool
	// OverShare is set if the request's workspace uses more than its share while others wait.
	OverShare bool
}

// Reason is why a request has its place within its rank.
type Reason string

const (
	// InTime requests have time left.
	InTime Reason = "in_time"
	// Resumed requests go first: their caller waits for the next event.
	Resumed Reason = "resumed"
	// LostTime requests go first: they can be in time, but have lost time to an earlier send.
	LostTime Reason = "lost_time"
	// Aged requests go first: they have waited for a large part of their timeout.
	Aged Reason = "aged"
	// Tight requests follow: they can be in time, with little slack.
	Tight Reason = "tight"
	// Late requests can't be in time any more. They yield to those that go first or are tight, and
	// share a place with those in time: behind them, they would not be answered at all while
	// others keep arriving.
	Late Reason = "late"
	// OverShare requests yield to those of workspaces within their share.
	OverShare Reason = "over_share"
)

// Raised reports whether requests with the reason go before those with time left.
func (r Reason) Raised() bool { return r.place() < middlePlace }

// Yielded reports whether requests with the reason are not raised although time is short, or go
// after those with time left.
func (r Reason) Yielded() bool { return r == Late || r == OverShare }

// Places within a rank, from 0, which is first, to 1. A rank has as many priorities as the ranks of
// the configuration leave it, so places may share one.
const (
	firstPlace     = 0
	tightPlace     = 0.2
	middlePlace    = 0.45
	overSharePlace = 0.95
)

func (r Reason) place() float64 {
	switch r {
	case Resumed, LostTime, Aged:
		return firstPlace
	case Tight:
		return tightPlace
	case OverShare:
		return overSharePlace
	}
	return middlePlace
}

// Decision is the urgency of a send.
type Decision struct {
	// Priority is the priority for the engine, 0 to 9, 0 first.
	Priority int
	// Slack is the time to the target that is left at the expected first event, or to the timeout
	// if there is no target. It is negative if the first event is expected to be late.
	Slack  time.Duration
	Reason Reason
}

// agedFraction is the fraction of the timeout after which a request goes first within its rank,
// so that the rest suffices to answer it.
const agedFraction = 0.5

// tightFraction is the fraction of the target below which the slack doesn't cover the error of the
// expected time.
const tightFraction = 0.25

// Decide returns the urgency of a send.
func Decide(ranks Ranks, r Request) Decision {
	d := Decision{Slack: r.slack(), Reason: r.reason()}
	first, width := ranks.band(r.Rank)
	d.Priority = first + min(int(d.Reason.place()*float64(width)), width-1)
	return d
}

// limit returns the time within which the first event is wanted.
func (r Request) limit() time.Duration {
	if r.Target > 0 {
		return r.Target
	}
	return r.Timeout
}

func (r Request) slack() time.Duration { return r.limit() - r.Elapsed - r.Expected }

// late reports whether the first event is expected after the target.
func (r Request) late() bool { return r.limit() > 0 && r.slack() < 0 }

func (r Request) reason() Reason {
	aged := r.Timeout > 0 && float64(r.Elapsed) >= agedFraction*float64(r.Timeout)
	switch {
	case r.Streaming:
		return Resumed
	case aged:
		return Aged
	case r.OverShare:
		return OverShare
	case r.late():
		return Late
	case r.Resent:
		return LostTime
	case r.limit() > 0 && float64(r.slack()) < tightFraction*float64(r.limit()):
		return Tight
	}
	return InTime
}

// spareFraction is the fraction of its slack that a request may spend to leave an emptier engine
// to others. The rest covers errors of the expected time and a run of a larger model.
const spareFraction = 0.1

// Patience returns the backlog up to which a request has no need of an emptier engine, given the
// mean backlog of the engines it can use. Requests of the first of several ranks have none, so that
// they lose nothing to others.
func Patience(ranks Ranks, r Request, meanBacklog time.Duration) time.Duration {
	if ranks.precedesOthers(r.Rank) {
		return 0
	}
	r.Expected += meanBacklog
	spare := time.Duration(spareFraction * float64(r.slack()))
	return min(max(spare, 0), meanBacklog)
}
