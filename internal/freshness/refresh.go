package freshness

import (
	"maps"
	"time"
)

// RefreshPolicy determines when a daemon polls the store for a subject in addition to its
// watch. An idle watch confirms nothing, since its connection may be broken.
//
// Daemons poll in the order of their ranks and share the results, so that usually one poll
// serves all.
type RefreshPolicy struct {
	// MaxAge is the greatest age of the subject that its users accept.
	MaxAge time.Duration
	// FirstFraction is the fraction of MaxAge at which the daemon of rank 0 polls. Each further
	// rank waits RankDelay longer, to receive the results of the ranks before it.
	FirstFraction float64
	RankDelay     time.Duration
	// LastFraction is the fraction of MaxAge at which every daemon polls. The rest is left for
	// reading changes.
	LastFraction float64
}

// RefreshAge returns the age at which the daemon of a rank polls.
func (p RefreshPolicy) RefreshAge(rank int) time.Duration {
	first, last := scale(p.FirstFraction, p.MaxAge), scale(p.LastFraction, p.MaxAge)
	return min(first+time.Duration(rank)*p.RankDelay, last)
}

// WithPropagation returns the policy for a fleet in which a confirmation takes a time to reach all
// daemons: the first ranks poll early enough that the others receive it before they poll.
func (p RefreshPolicy) WithPropagation(delay time.Duration) RefreshPolicy {
	if delay == 0 {
		return p
	}
	last := scale(p.LastFraction, p.MaxAge)
	p.FirstFraction = min(p.FirstFraction, max(minFirstFraction, float64(last-delay)/float64(p.MaxAge)))
	p.RankDelay = max(p.RankDelay, delay/propagationRanks)
	return p
}

const (
	// minFirstFraction bounds the rate of polls.
	minFirstFraction = 0.1
	// propagationRanks is the number of ranks that poll while a confirmation propagates, if the
	// ranks before them do not.
	propagationRanks = 3
)

// outageFraction is the fraction of MaxAge from which a gap between confirmations counts as
// an outage of the store. It exceeds the age at which every daemon polls by the response
// time, and is less than the time after which entries lapse.
const outageFraction = 0.75

// IsOutage reports whether a gap between confirmations means that the store was down.
func (p RefreshPolicy) IsOutage(gap time.Duration) bool {
	return gap >= scale(outageFraction, p.MaxAge)
}

func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// Plan holds the refresh policies of the subjects that are polled.
type Plan map[Subject]RefreshPolicy

// WithPropagation applies RefreshPolicy.WithPropagation to all subjects.
func (p Plan) WithPropagation(delay time.Duration) Plan {
	if delay == 0 {
		return p
	}
	out := make(Plan, len(p))
	for subject, policy := range p {
		out[subject] = policy.WithPropagation(delay)
	}
	return out
}

// Without returns the plan without some subjects.
func (p Plan) Without(subjects []Subject) Plan {
	if len(subjects) == 0 {
		return p
	}
	out := maps.Clone(p)
	for _, s := range subjects {
		delete(out, s)
	}
	return out
}

// Next returns the subject to poll next and the time until the poll is due; zero or negative
// means now. storeDue is the time until a response from the store itself is required; if
// that is earlier, the subject due next at rank 0 is polled in place of that daemon. any is
// false while no subject has been confirmed.
func (p Plan) Next(t *Tracker, now time.Duration, rank int, storeDue time.Duration) (subject Subject, due time.Duration, any bool) {
	subject, due, any = p.earliest(t, now, rank)
	if any && storeDue < due {
		subject, _, _ = p.earliest(t, now, 0)
		due = storeDue
	}
	return subject, due, any
}

// earliest returns the subject that the daemon of a rank has to poll first, and the time until
// then.
func (p Plan) earliest(t *Tracker, now time.Duration, rank int) (subject Subject, due time.Duration, any bool) {
	for s := range Subjects {
		policy, planned := p[s]
		age, known := t.Age(s, now)
		if !planned || !known {
			continue
		}
		if left := policy.RefreshAge(rank) - age; !any || left < due {
			subject, due, any = s, left, true
		}
	}
	return subject, due, any
}
