package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the wire form of a crash.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Incarnation IncarnationKey
	// AgeMs is the time since the crash.
	AgeMs int64
	// Suspects are requests that ran on the server.
	Suspects []Fingerprint
}

// Hold is the wire form of a hold.
type Hold struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// AgeMs is the time since the request was held, and RemainingMs the time until the hold
	// expires.
	AgeMs, RemainingMs int64
}

// Clearance clears a request of earlier crashes: it has succeeded, or an operator released
// it.
type Clearance struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	AgeMs       int64
}

// Update is the gossip payload of one daemon. Its size is bounded.
type Update struct {
	Crashes    []Crash     `cbor:"1,keyasint,omitempty"`
	Holds      []Hold      `cbor:"2,keyasint,omitempty"`
	Clearances []Clearance `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether an update has no entries.
func (u Update) Empty() bool { return len(u.Crashes)+len(u.Holds)+len(u.Clearances) == 0 }

// Update returns what is to be broadcast, and all holds for a new peer.
func (t *Tracker) Update(now time.Duration, newPeer bool) (out Update) {
	t.pending = slices.DeleteFunc(t.pending, func(p pendingBroadcast) bool { return now-p.learnedAt > broadcastTTL })
	out.Crashes, out.Clearances = t.pendingCrashes(now), t.pendingClearances(now)
	for f, h := range t.holds {
		age := now - h.learnedAt
		if now < h.until && h.turns == nil && (newPeer || age <= holdBroadcastTTL && (h.remote || age >= holdBroadcastDelay)) && len(out.Holds) < maxEntriesPerUpdate {
			out.Holds = append(out.Holds, h.snapshot(f, now))
		}
	}
	return out
}

// pendingCrashes returns the crashes with pending suspects, latest first.
func (t *Tracker) pendingCrashes(now time.Duration) (out []Crash) {
	suspects := map[crashID][]Fingerprint{}
	for _, p := range t.pending {
		if c := t.crashes[p.crash]; !p.cleared && c != nil && c.suspects[p.fingerprint] {
			suspects[p.crash] = append(suspects[p.crash], p.fingerprint)
		}
	}
	for id, list := range suspects {
		slices.SortFunc(list, t.compareByCrashes)
		c := t.crashes[id]
		out = append(out, Crash{Incarnation: c.incarnation, AgeMs: (now - c.at).Milliseconds(), Suspects: list[:min(maxEntriesPerUpdate, len(list))]})
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out[:min(maxCrashesPerUpdate, len(out))]
}

func (t *Tracker) pendingClearances(now time.Duration) (out []Clearance) {
	for _, p := range t.pending {
		if at, any := t.clearedAt[p.fingerprint]; p.cleared && any && len(out) < maxEntriesPerUpdate {
			out = append(out, Clearance{Fingerprint: p.fingerprint, AgeMs: (now - at).Milliseconds()})
		}
	}
	return out
}

// maxEntriesPerUpdate bounds the suspects of each crash, the holds and the clearances of an
// update; maxCrashesPerUpdate bounds its crashes.
const (
	maxEntriesPerUpdate = 32
	maxCrashesPerUpdate = 12
)

// Merge applies an update of another daemon.
func (t *Tracker) Merge(u Update, now time.Duration) (out Change) {
	for _, c := range u.Crashes {
		out = out.Merge(t.exonerate(now-ms(c.AgeMs), c.Suspects, now))
		out = out.Merge(t.RecordCrash(c.Incarnation, now-ms(c.AgeMs), c.Suspects, now))
	}
	for _, c := range u.Clearances {
		out = out.Merge(t.ApplyClearance(c.Fingerprint, now-ms(c.AgeMs), now))
	}
	for _, h := range u.Holds {
		out = out.Merge(t.ApplyHold(h.Fingerprint, now-ms(h.AgeMs), now+ms(h.RemainingMs), now))
	}
	return out
}

func ms(n int64) time.Duration { return time.Duration(max(0, n)) * time.Millisecond }
