package quarantine

import (
	"maps"
	"slices"
	"time"
)

// updateHolds brings the holds to the ends that are known, and returns what has changed.
func (l *Tracker) updateHolds(now time.Duration) (held, released []Fingerprint) {
	culprits := l.attributeCrashes(now)
	for _, f := range culprits {
		if h := l.holds[f]; h != nil {
			h.until = max(h.until, l.lastCrash(f)+HoldTTL)
			continue
		}
		l.addHold(f, &hold{since: l.lastCrash(f), until: l.lastCrash(f) + HoldTTL, learnedAt: now})
		held = append(held, f)
	}
	for f := range l.holds {
		// Its ends have been laid to another request since. A hold whose ends were
		// forgotten stays.
		if len(l.crashesBy[f]) >= crashThreshold && !slices.Contains(culprits, f) {
			delete(l.holds, f)
			released = append(released, f)
		}
	}
	slices.Sort(released)
	return held, released
}

func (l *Tracker) lastCrash(f Fingerprint) (at time.Duration) {
	for _, id := range l.crashesBy[f] {
		at = max(at, l.crashes[id].at)
	}
	return at
}

// attributeCrashes returns the requests that servers end by. Each end has one request to blame, so
// that those which were at the most ends come first, and what they explain counts against
// no other: a request that was beside a deadly one three times would be held for it else.
// Of two that were at the same three ends neither is held for a while, unless one is already:
// the next end tells, or the answer that one of them gets.
func (l *Tracker) attributeCrashes(now time.Duration) (out []Fingerprint) {
	explained := map[crashID]bool{}
	ambiguous := map[Fingerprint]bool{}
	candidates := map[Fingerprint]bool{}
	for f, crashes := range l.crashesBy {
		if len(crashes) >= crashThreshold {
			candidates[f] = true
		}
	}
	for len(candidates) > 0 {
		most, top := l.mostUnexplained(candidates, explained)
		if most < crashThreshold {
			break
		}
		for _, f := range top {
			delete(candidates, f)
			if most == crashThreshold && l.holds[f] == nil && l.tied(f, top, explained) {
				ambiguous[f] = true
				continue
			}
			out = append(out, f)
		}
		for _, f := range out {
			for _, id := range l.crashesBy[f] {
				explained[id] = true
			}
		}
	}
	maps.Copy(ambiguous, candidates)
	return append(out, l.expiredAmbiguous(ambiguous, explained, now)...)
}

// expiredAmbiguous returns those of some doubtful requests that were not answered in full for a
// while and whose ends are not all explained. Of two deadly requests that ended servers
// together, the second has too few ends of its own.
func (l *Tracker) expiredAmbiguous(ambiguous map[Fingerprint]bool, explained map[crashID]bool, now time.Duration) (out []Fingerprint) {
	for _, f := range slices.Sorted(maps.Keys(ambiguous)) {
		if now-l.lastCrash(f) >= ambiguityTimeout && len(l.unexplained(f, explained)) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// mostUnexplained returns the largest number of unexplained ends of one request, and which have it, in
// order.
func (l *Tracker) mostUnexplained(candidates map[Fingerprint]bool, explained map[crashID]bool) (most int, top []Fingerprint) {
	for _, f := range slices.Sorted(maps.Keys(candidates)) {
		n := len(l.unexplained(f, explained))
		switch {
		case n > most:
			most, top = n, []Fingerprint{f}
		case n == most:
			top = append(top, f)
		}
	}
	return most, top
}

func (l *Tracker) unexplained(f Fingerprint, explained map[crashID]bool) (out []crashID) {
	for _, id := range l.crashesBy[f] {
		if !explained[id] {
			out = append(out, id)
		}
	}
	return out
}

// tied reports whether another request was at the same unexplained ends.
func (l *Tracker) tied(f Fingerprint, others []Fingerprint, explained map[crashID]bool) bool {
	own := l.unexplained(f, explained)
	slices.Sort(own)
	return slices.ContainsFunc(others, func(o Fingerprint) bool {
		theirs := l.unexplained(o, explained)
		slices.Sort(theirs)
		return o != f && slices.Equal(own, theirs)
	})
}
