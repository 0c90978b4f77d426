package freshness

import "time"

// RefreshPolicy says when a daemon looks at the store itself, beside the read that waits for a
// change, because a subject was not confirmed for long. The read that waits tells of a
// change within milliseconds, but its silence proves nothing: its connection may have
// gone silent, or the store may never have taken it.
//
// One daemon looks and the others take its word with its age, so that a look of each is
// not paid for. If it cannot, the next one by rank does.
type RefreshPolicy struct {
	// MaxAge is the greatest age that the use of the subject bears.
	MaxAge time.Duration
	// FirstFraction is the part of it at which the first daemon looks. Each further one by rank
	// waits for Step longer, in which the word of those before it arrives.
	FirstFraction float64
	RankDelay     time.Duration
	// LastFraction is the part of it at which every daemon looks: the rest of the time is for
	// reading what has changed.
	LastFraction float64
}

// RefreshAge returns the age at which the daemon of a rank looks.
func (u RefreshPolicy) RefreshAge(rank int) time.Duration {
	first, last := scale(u.FirstFraction, u.MaxAge), scale(u.LastFraction, u.MaxAge)
	return min(first+time.Duration(rank)*u.RankDelay, last)
}

// outageFraction is the part of what its use bears from which a subject that nobody confirmed
// shows that the store was away for all: beyond the age at which every daemon looks, by
// the time of an answer, and short of the three heartbeats after which entries lapse.
const outageFraction = 0.75

// IsOutage reports whether a time without a confirmation by anybody means that the store was
// away.
func (u RefreshPolicy) IsOutage(gap time.Duration) bool {
	return gap >= scale(outageFraction, u.MaxAge)
}

func scale(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// Plan holds the upkeep of the subjects that are looked at.
type Plan map[Subject]RefreshPolicy

// Next returns the subject to look at next and the time until that is due; zero or less
// is due now. Own is the time until this daemon must hear from the store itself, with
// whatever subject: it then takes the one that the first daemon would look at next, and
// spares it that look. Without a subject that was ever confirmed there is none: a reading
// that begins asks by itself.
func (p Plan) Next(t *Tracker, now time.Duration, rank int, storeDue time.Duration) (subject Subject, due time.Duration, any bool) {
	subject, due, any = p.earliest(t, now, rank)
	if any && storeDue < due {
		subject, _, _ = p.earliest(t, now, 0)
		due = storeDue
	}
	return subject, due, any
}

// earliest returns the subject that the daemon of a rank has to look at first, and the time
// until then.
func (p Plan) earliest(t *Tracker, now time.Duration, rank int) (subject Subject, due time.Duration, any bool) {
	for s := range Subjects {
		u, planned := p[s]
		age, known := t.Age(s, now)
		if !planned || !known {
			continue
		}
		if left := u.RefreshAge(rank) - age; !any || left < due {
			subject, due, any = s, left, true
		}
	}
	return subject, due, any
}
