package quarantine

import (
	"maps"
	"slices"
	"time"
)

// judge brings the holds to the ends that are known, and returns what has changed.
func (l *Tracker) judge(now time.Duration) (held, released []Fingerprint) {
	guilty := l.guilty(now)
	for _, f := range guilty {
		if h := l.holds[f]; h != nil {
			h.until = max(h.until, l.lastEnd(f)+HoldTTL)
			continue
		}
		l.hold(f, &hold{since: l.lastEnd(f), until: l.lastEnd(f) + HoldTTL, learned: now})
		held = append(held, f)
	}
	for f := range l.holds {
		// Its ends have been laid to another request since. A hold whose ends were
		// forgotten stays.
		if len(l.of[f]) >= endsToHold && !slices.Contains(guilty, f) {
			delete(l.holds, f)
			released = append(released, f)
		}
	}
	slices.Sort(released)
	return held, released
}

func (l *Tracker) lastEnd(f Fingerprint) (at time.Duration) {
	for _, id := range l.of[f] {
		at = max(at, l.ends[id].at)
	}
	return at
}

// guilty returns the requests that servers end by. Each end has one request to blame, so
// that those which were at the most ends come first, and what they explain counts against
// no other: a request that was beside a deadly one three times would be held for it else.
// Of two that were at the same three ends neither is held for a while, unless one is already:
// the next end tells, or the answer that one of them gets.
func (l *Tracker) guilty(now time.Duration) (out []Fingerprint) {
	explained := map[endID]bool{}
	doubtful := map[Fingerprint]bool{}
	left := map[Fingerprint]bool{}
	for f, runs := range l.of {
		if len(runs) >= endsToHold {
			left[f] = true
		}
	}
	for len(left) > 0 {
		most, first := l.most(left, explained)
		if most < endsToHold {
			break
		}
		for _, f := range first {
			delete(left, f)
			if most == endsToHold && l.holds[f] == nil && l.rival(f, first, explained) {
				doubtful[f] = true
				continue
			}
			out = append(out, f)
		}
		for _, f := range out {
			for _, id := range l.of[f] {
				explained[id] = true
			}
		}
	}
	maps.Copy(doubtful, left)
	return append(out, l.unanswered(doubtful, explained, now)...)
}

// unanswered returns those of some doubtful requests that were not answered in full for a
// while and whose ends are not all explained. Of two deadly requests that ended servers
// together, the second has too few ends of its own.
func (l *Tracker) unanswered(doubtful map[Fingerprint]bool, explained map[endID]bool, now time.Duration) (out []Fingerprint) {
	for _, f := range slices.Sorted(maps.Keys(doubtful)) {
		if now-l.lastEnd(f) >= doubtFor && len(l.unexplained(f, explained)) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// most returns the largest number of unexplained ends of one request, and which have it, in
// order.
func (l *Tracker) most(left map[Fingerprint]bool, explained map[endID]bool) (most int, first []Fingerprint) {
	for _, f := range slices.Sorted(maps.Keys(left)) {
		n := len(l.unexplained(f, explained))
		switch {
		case n > most:
			most, first = n, []Fingerprint{f}
		case n == most:
			first = append(first, f)
		}
	}
	return most, first
}

func (l *Tracker) unexplained(f Fingerprint, explained map[endID]bool) (out []endID) {
	for _, id := range l.of[f] {
		if !explained[id] {
			out = append(out, id)
		}
	}
	return out
}

// rival reports whether another request was at the same unexplained ends.
func (l *Tracker) rival(f Fingerprint, others []Fingerprint, explained map[endID]bool) bool {
	own := l.unexplained(f, explained)
	slices.Sort(own)
	return slices.ContainsFunc(others, func(o Fingerprint) bool {
		theirs := l.unexplained(o, explained)
		slices.Sort(theirs)
		return o != f && slices.Equal(own, theirs)
	})
}
