package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// maxSlots bounds the slots of a group. With more suspects, those of one slot go together, each to a
	// server of its own if there are enough.
	maxSlots = 8
	// turnDelay is the time from the last common crash to the first turn. Earlier sends of the suspects
	// have ended by then, so that the next crash has one suspect.
	turnDelay = time.Second
	// turnPeriod is the time in which a suspect may be sent in its turn.
	turnPeriod = time.Second
)

// group is a set of requests with the same crashes. They are sent in turn until each has succeeded or
// has crashed a server without the others.
type group struct {
	members []Fingerprint
	// since is the time of the last crash that the members have in common.
	since time.Duration
	// slots is the number of slots, and start when the turn of the first one begins.
	slots int
	start time.Duration
}

// turns is the place of a request in its group.
type turns struct {
	slot, slots int
	start       time.Duration
}

// turnNumber returns the number of turns since start, -1 before.
func turnNumber(start, now time.Duration) int {
	if now < start {
		return -1
	}
	return int((now - start) / turnPeriod)
}

// wait returns the time until the request may be sent, zero in its turn.
func (s turns) wait(now time.Duration) time.Duration {
	n := turnNumber(s.start, now)
	if n < 0 {
		return s.start + time.Duration(s.slot)*turnPeriod - now
	}
	ahead := (s.slot - n%s.slots + s.slots) % s.slots
	if ahead == 0 {
		return 0
	}
	return s.start + time.Duration(n+ahead)*turnPeriod - now
}

// updateGroups groups the culprits that have the same crashes. It returns the places of the members
// that are still suspected, and the convicted ones.
func (t *Tracker) updateGroups(culprits []Fingerprint, now time.Duration) (places map[Fingerprint]turns, convicted []Fingerprint) {
	for _, same := range t.withSameCrashes(culprits) {
		t.join(same)
	}
	suspected := map[*group][]Fingerprint{}
	for _, f := range slices.Sorted(maps.Keys(t.groups)) {
		g := t.groups[f]
		switch {
		case len(t.crashesBy[f]) < crashThreshold: // their records were evicted
			delete(t.groups, f)
		case t.isConvicted(f, g):
			convicted = append(convicted, f)
		default:
			suspected[g] = append(suspected[g], f)
		}
	}
	places = map[Fingerprint]turns{}
	for g, members := range suspected {
		g.setSlots(min(len(members), maxSlots), now)
		for i, f := range members {
			places[f] = turns{slot: i % g.slots, slots: g.slots, start: g.start}
		}
	}
	return places, convicted
}

// setSlots sets the number of slots. If some members have been cleared or convicted, the next ones have
// their turn at once.
func (g *group) setSlots(slots int, now time.Duration) {
	if n := turnNumber(g.start, now); g.slots != slots && g.slots > 0 && n >= 0 {
		g.start = now - time.Duration(n%g.slots)*turnPeriod
	}
	g.slots = slots
}

// join puts requests with the same crashes into one group.
func (t *Tracker) join(same []Fingerprint) {
	g, last := t.groups[same[0]], t.lastCrash(same[0])
	if g != nil && g.since == last && slices.Equal(g.members, same) {
		return
	}
	g = &group{members: same, since: last, start: last + turnDelay}
	for _, f := range same {
		t.groups[f] = g
	}
}

// leave removes a request from its group, and reports whether it was in one.
func (t *Tracker) leave(f Fingerprint) bool {
	g := t.groups[f]
	if g == nil {
		return false
	}
	g.members = slices.DeleteFunc(slices.Clone(g.members), func(o Fingerprint) bool { return o == f })
	delete(t.groups, f)
	return true
}

// isConvicted reports whether all others of a group have been cleared, or a request is the only one of
// them that may have caused a crash after the last common one.
func (t *Tracker) isConvicted(f Fingerprint, g *group) bool {
	if len(g.members) == 1 {
		return true
	}
	return slices.ContainsFunc(t.crashesBy[f], func(id crashID) bool {
		c := t.crashes[id]
		return c.at > g.since && !slices.ContainsFunc(g.members, func(o Fingerprint) bool { return o != f && c.suspects[o] })
	})
}

// withSameCrashes returns the sets of two or more requests among the culprits that have the same
// crashes, each sorted.
func (t *Tracker) withSameCrashes(culprits []Fingerprint) (out [][]Fingerprint) {
	byCrashes := map[string][]Fingerprint{}
	for _, f := range culprits {
		if !f.IsPart() {
			key := fmt.Sprint(slices.Sorted(slices.Values(t.crashesBy[f])))
			byCrashes[key] = append(byCrashes[key], f)
		}
	}
	for _, same := range byCrashes {
		if slices.Sort(same); len(same) > 1 {
			out = append(out, same)
		}
	}
	return out
}
