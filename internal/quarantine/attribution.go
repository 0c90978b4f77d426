package quarantine

import (
	"maps"
	"slices"
	"time"
)

// updateHolds re-attributes the recorded crashes, adds and removes holds accordingly, and
// returns what changed.
func (t *Tracker) updateHolds(now time.Duration) (held, released []Fingerprint) {
	culprits := t.attributeCrashes(now)
	places, convicted := t.updateGroups(culprits, now)
	culprits = append(culprits, convicted...)
	for _, f := range slices.Sorted(maps.Keys(places)) {
		if t.holdInTurn(f, places[f], now) {
			held = append(held, f)
		}
	}
	for _, f := range culprits {
		if _, inTurn := places[f]; inTurn {
			continue
		}
		until, justified := t.holdUntil(f, now)
		if !justified {
			continue
		}
		if h := t.holds[f]; h != nil && h.turns == nil {
			h.extend(until)
			continue
		}
		t.addHold(f, &hold{since: t.lastCrash(f), until: until, learnedAt: now})
		held = append(held, f)
	}
	for f, h := range t.holds {
		// Its crashes are now attributed to another request. A hold whose crash records
		// have expired stays, but no place in a group.
		_, inTurn := places[f]
		if !inTurn && (h.turns != nil || len(t.crashesBy[f]) >= crashThreshold) && !slices.Contains(culprits, f) {
			delete(t.holds, f)
			released = append(released, f)
		}
	}
	slices.Sort(released)
	return held, released
}

// holdInTurn holds a request while it is not its turn, and reports whether it was not held before. A
// hold of another daemon stays.
func (t *Tracker) holdInTurn(f Fingerprint, place turns, now time.Duration) (isNew bool) {
	h, last := t.holds[f], t.lastCrash(f)
	if h == nil {
		t.addHold(f, &hold{since: last, until: last + HoldTTL, learnedAt: now, turns: &place})
		return true
	}
	if !h.remote {
		h.since, h.until, h.turns = last, last+HoldTTL, &place
	}
	return false
}

// extend applies a new end to the hold. A hold found here may end sooner than before, by a trial.
func (h *hold) extend(until time.Duration) {
	if h.remote {
		until = max(h.until, until)
	}
	h.until = until
}

// rivals returns the other parts of prompts that are suspects of all, or all but one, of the crashes
// of a part.
func (t *Tracker) rivals(part Fingerprint) (out []Fingerprint) {
	own := t.crashesBy[part]
	for o, theirs := range t.crashesBy {
		if o == part || !o.IsPart() || len(theirs) < crashThreshold {
			continue
		}
		common := 0
		for _, id := range theirs {
			if slices.Contains(own, id) {
				common++
			}
		}
		if common >= len(own)-1 {
			out = append(out, o)
		}
	}
	return out
}

// trialEnd returns the end of a part's trial. The trials of rivals end one after the other, in an
// order that is the same at all daemons. After each, requests with the released part either succeed
// or cause a crash of which the rivals that are still held are no suspects.
func trialEnd(part Fingerprint, rivals []Fingerprint, now time.Duration) time.Duration {
	end := now + trialPeriod
	for _, o := range rivals {
		if o < part {
			end += trialPeriod
		}
	}
	return end
}

// holdUntil returns the time until which a culprit is held, and whether it is held at all. A part of
// a prompt that has rivals is held for a trial first, since any of them may be the cause. Parts
// that always come together never differ and are held for long after maxTrials.
func (t *Tracker) holdUntil(f Fingerprint, now time.Duration) (until time.Duration, justified bool) {
	last := t.lastCrash(f)
	if !f.IsPart() {
		return last + HoldTTL, true
	}
	rivals := t.rivals(f)
	if len(rivals) == 0 {
		return last + HoldTTL, true
	}
	tr := t.trials[f]
	if tr == nil {
		tr = &trial{}
		t.trials[f] = tr
	}
	switch {
	case tr.lastCrash == last:
		return tr.until, now < tr.until
	case now < tr.until:
		// Reports of crashes before the trial may still arrive.
		tr.lastCrash, tr.until = last, trialEnd(f, rivals, now)
		return tr.until, true
	case tr.count >= maxTrials:
		return last + HoldTTL, true
	}
	*tr = trial{count: tr.count + 1, lastCrash: last, until: trialEnd(f, rivals, now)}
	return tr.until, true
}

func (t *Tracker) lastCrash(f Fingerprint) (at time.Duration) {
	for _, id := range t.crashesBy[f] {
		at = max(at, t.crashes[id].at)
	}
	return at
}

// attributeCrashes returns the requests to which crashes are attributed, each crash to the
// request with the most crashes, so that a harmless request that ran beside it is not held.
// A tie at exactly crashThreshold between requests that are not held is ambiguous until a
// further crash, a success or ambiguityTimeout.
func (t *Tracker) attributeCrashes(now time.Duration) (out []Fingerprint) {
	explained := map[crashID]bool{}
	ambiguous := map[Fingerprint]bool{}
	candidates := map[Fingerprint]bool{}
	for f, crashes := range t.crashesBy {
		if len(crashes) >= crashThreshold {
			candidates[f] = true
		}
	}
	for len(candidates) > 0 {
		most, top := t.mostUnexplained(candidates, explained)
		if most < crashThreshold {
			break
		}
		for _, f := range top {
			delete(candidates, f)
			if f.IsPart() && t.tiedRequests(f, top, explained) == 1 {
				ambiguous[f] = true
				continue
			}
			if !f.IsPart() && most == crashThreshold && t.holds[f] == nil && t.tiedRequests(f, top, explained) > 0 {
				ambiguous[f] = true
				continue
			}
			out = append(out, f)
		}
		for _, f := range out {
			for _, id := range t.crashesBy[f] {
				explained[id] = true
			}
		}
	}
	maps.Copy(ambiguous, candidates)
	return append(out, t.expiredAmbiguous(ambiguous, explained, now)...)
}

// expiredAmbiguous returns the ambiguous requests that have not succeeded within
// ambiguityTimeout of their last crash and that have unexplained crashes. It covers two
// crashing requests that ran on the same servers. A part of a prompt stays ambiguous until
// the next crash, since other requests with it would be held as well.
func (t *Tracker) expiredAmbiguous(ambiguous map[Fingerprint]bool, explained map[crashID]bool, now time.Duration) (out []Fingerprint) {
	for _, f := range slices.Sorted(maps.Keys(ambiguous)) {
		if !f.IsPart() && now-t.lastCrash(f) >= ambiguityTimeout && len(t.unexplained(f, explained)) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// mostUnexplained returns the largest number of unexplained crashes of one candidate, and
// the candidates that have it, sorted.
func (t *Tracker) mostUnexplained(candidates map[Fingerprint]bool, explained map[crashID]bool) (most int, top []Fingerprint) {
	for _, f := range slices.Sorted(maps.Keys(candidates)) {
		n := len(t.unexplained(f, explained))
		switch {
		case n > most:
			most, top = n, []Fingerprint{f}
		case n == most:
			top = append(top, f)
		}
	}
	return most, top
}

func (t *Tracker) unexplained(f Fingerprint, explained map[crashID]bool) (out []crashID) {
	for _, id := range t.crashesBy[f] {
		if !explained[id] {
			out = append(out, id)
		}
	}
	return out
}

// tiedRequests counts the other requests that have the same unexplained crashes. A part of a prompt
// need not be held if a single request has them, as its retries caused them. If several have, the
// part is the likelier cause.
func (t *Tracker) tiedRequests(f Fingerprint, top []Fingerprint, explained map[crashID]bool) (n int) {
	own := t.unexplained(f, explained)
	slices.Sort(own)
	for _, o := range top {
		if o == f || o.IsPart() {
			continue
		}
		theirs := t.unexplained(o, explained)
		slices.Sort(theirs)
		if slices.Equal(own, theirs) {
			n++
		}
	}
	return n
}
