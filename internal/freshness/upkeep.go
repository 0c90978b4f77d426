package freshness

import "time"

// Upkeep says when a daemon looks at the store itself, beside the read that waits for a
// change, because a subject was not confirmed for long. The read that waits tells of a
// change within milliseconds, but its silence proves nothing: its connection may have
// gone silent, or the store may never have taken it.
//
// One daemon looks and the others take its word with its age, so that a look of each is
// not paid for. If it cannot, the next one by rank does.
type Upkeep struct {
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

// Limit returns the age at which the daemon of a rank looks.
func (u Upkeep) Limit(rank int) time.Duration {
	first, most := part(u.FirstFraction, u.MaxAge), part(u.LastFraction, u.MaxAge)
	return min(first+time.Duration(rank)*u.RankDelay, most)
}

// awayPart is the part of what its use bears from which a subject that nobody confirmed
// shows that the store was away for all: beyond the age at which every daemon looks, by
// the time of an answer, and short of the three heartbeats after which entries lapse.
const awayPart = 0.75

// IsOutage reports whether a time without a confirmation by anybody means that the store was
// away.
func (u Upkeep) IsOutage(gap time.Duration) bool { return gap >= part(awayPart, u.MaxAge) }

func part(p float64, d time.Duration) time.Duration { return time.Duration(p * float64(d)) }

// Plan holds the upkeep of the subjects that are looked at.
type Plan map[Subject]Upkeep

// Next returns the subject to look at next and the time until that is due; zero or less
// is due now. Own is the time until this daemon must hear from the store itself, with
// whatever subject: it then takes the one that the first daemon would look at next, and
// spares it that look. Without a subject that was ever confirmed there is none: a reading
// that begins asks by itself.
func (p Plan) Next(l *Tracker, now time.Duration, rank int, own time.Duration) (about Subject, due time.Duration, any bool) {
	about, due, any = p.first(l, now, rank)
	if any && own < due {
		about, _, _ = p.first(l, now, 0)
		due = own
	}
	return about, due, any
}

// first returns the subject that the daemon of a rank has to look at first, and the time
// until then.
func (p Plan) first(l *Tracker, now time.Duration, rank int) (about Subject, due time.Duration, any bool) {
	for s := range Subjects {
		u, looked := p[s]
		age, known := l.Age(s, now)
		if !looked || !known {
			continue
		}
		if left := u.Limit(rank) - age; !any || left < due {
			about, due, any = s, left, true
		}
	}
	return about, due, any
}
