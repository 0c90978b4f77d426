package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the end of a run of a server, as daemons exchange it.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Incarnation IncarnationKey
	// AgeMs is how long ago it was.
	AgeMs int64
	// Suspects are requests that were there.
	Suspects []Fingerprint
}

// Hold is a request that is kept from servers.
type Hold struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// AgeMs is how long it has been held, and LeftMs for how long it still is.
	AgeMs, RemainingMs int64
}

// Clearance says that a request is not to blame for servers that ended before: it has
// succeeded, or was released by hand.
type Clearance struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	AgeMs       int64
}

// Update is the bounded gossip payload of one daemon.
type Update struct {
	Crashes    []Crash     `cbor:"1,keyasint,omitempty"`
	Holds      []Hold      `cbor:"2,keyasint,omitempty"`
	Clearances []Clearance `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether a word says nothing.
func (u Update) Empty() bool { return len(u.Crashes)+len(u.Holds)+len(u.Clearances) == 0 }

// Update returns what is pending for others, with all holds for a peer that was just met.
func (l *Tracker) Update(now time.Duration, newPeer bool) (out Update) {
	l.pending = slices.DeleteFunc(l.pending, func(p pendingBroadcast) bool { return now-p.learnedAt > broadcastTTL })
	out.Crashes, out.Clearances = l.pendingCrashes(now), l.pendingClearances(now)
	for f, h := range l.holds {
		age := now - h.learnedAt
		if now < h.until && (newPeer || age <= holdBroadcastTTL && (h.remote || age >= holdBroadcastDelay)) && len(out.Holds) < maxEntriesPerUpdate {
			out.Holds = append(out.Holds, h.snapshot(f, now))
		}
	}
	return out
}

// pendingCrashes returns the ends of which something is news, the youngest first.
func (l *Tracker) pendingCrashes(now time.Duration) (out []Crash) {
	suspects := map[crashID][]Fingerprint{}
	for _, p := range l.pending {
		if e := l.crashes[p.crash]; !p.cleared && e != nil && e.suspects[p.fingerprint] {
			suspects[p.crash] = append(suspects[p.crash], p.fingerprint)
		}
	}
	for id, list := range suspects {
		slices.SortFunc(list, l.compareByCrashes)
		e := l.crashes[id]
		out = append(out, Crash{Incarnation: e.incarnation, AgeMs: (now - e.at).Milliseconds(), Suspects: list[:min(maxEntriesPerUpdate, len(list))]})
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out[:min(maxCrashesPerUpdate, len(out))]
}

func (l *Tracker) pendingClearances(now time.Duration) (out []Clearance) {
	for _, p := range l.pending {
		if at, any := l.clearedAt[p.fingerprint]; p.cleared && any && len(out) < maxEntriesPerUpdate {
			out = append(out, Clearance{Fingerprint: p.fingerprint, AgeMs: (now - at).Milliseconds()})
		}
	}
	return out
}

// maxEntriesPerUpdate bounds the requests that one word names for each end, and the holds and
// clearances; maxEndsPerUpdate bounds the ends. A full word has 4 KB.
const (
	maxEntriesPerUpdate = 32
	maxCrashesPerUpdate = 12
)

// Merge applies another daemon's update.
func (l *Tracker) Merge(u Update, now time.Duration) (out Change) {
	for _, e := range u.Crashes {
		out = out.merge(l.RecordCrash(e.Incarnation, now-ms(e.AgeMs), e.Suspects, now))
	}
	for _, c := range u.Clearances {
		out = out.merge(l.ApplyClearance(c.Fingerprint, now-ms(c.AgeMs), now))
	}
	for _, h := range u.Holds {
		out = out.merge(l.ApplyHold(h.Fingerprint, now-ms(h.AgeMs), now+ms(h.RemainingMs), now))
	}
	return out
}

func ms(n int64) time.Duration { return time.Duration(max(0, n)) * time.Millisecond }
