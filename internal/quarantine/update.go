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
func (w Update) Empty() bool { return len(w.Crashes)+len(w.Holds)+len(w.Clearances) == 0 }

// Update returns what is pending for others, with all holds for a peer that was just met.
func (l *Tracker) Update(now time.Duration, justMet bool) (out Update) {
	l.pending = slices.DeleteFunc(l.pending, func(n pendingBroadcast) bool { return now-n.learned > broadcastTTL })
	out.Crashes, out.Clearances = l.pendingEnds(now), l.pendingClearances(now)
	for f, h := range l.holds {
		age := now - h.learned
		if now < h.until && (justMet || age <= holdBroadcastTTL && (h.confirmed || age >= settled)) && len(out.Holds) < maxEntriesPerUpdate {
			out.Holds = append(out.Holds, h.word(f, now))
		}
	}
	return out
}

// pendingEnds returns the ends of which something is news, the youngest first.
func (l *Tracker) pendingEnds(now time.Duration) (out []Crash) {
	suspects := map[endID][]Fingerprint{}
	for _, n := range l.pending {
		if e := l.ends[n.end]; !n.cleared && e != nil && e.suspects[n.fingerprint] {
			suspects[n.end] = append(suspects[n.end], n.fingerprint)
		}
	}
	for id, list := range suspects {
		slices.SortFunc(list, l.moreEndsFirst)
		e := l.ends[id]
		out = append(out, Crash{Incarnation: e.run, AgeMs: (now - e.at).Milliseconds(), Suspects: list[:min(maxEntriesPerUpdate, len(list))]})
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out[:min(maxEndsPerUpdate, len(out))]
}

func (l *Tracker) pendingClearances(now time.Duration) (out []Clearance) {
	for _, n := range l.pending {
		if at, any := l.cleared[n.fingerprint]; n.cleared && any && len(out) < maxEntriesPerUpdate {
			out = append(out, Clearance{Fingerprint: n.fingerprint, AgeMs: (now - at).Milliseconds()})
		}
	}
	return out
}

// maxEntriesPerUpdate bounds the requests that one word names for each end, and the holds and
// clearances; maxEndsPerUpdate bounds the ends. A full word has 4 KB.
const (
	maxEntriesPerUpdate = 32
	maxEndsPerUpdate    = 12
)

// Merge applies another daemon's update.
func (l *Tracker) Merge(w Update, now time.Duration) (out Change) {
	for _, e := range w.Crashes {
		out = out.with(l.RecordCrash(e.Incarnation, now-ms(e.AgeMs), e.Suspects, now))
	}
	for _, c := range w.Clearances {
		out = out.with(l.ApplyClearance(c.Fingerprint, now-ms(c.AgeMs), now))
	}
	for _, h := range w.Holds {
		out = out.with(l.ApplyHold(h.Fingerprint, now-ms(h.AgeMs), now+ms(h.RemainingMs), now))
	}
	return out
}

func ms(n int64) time.Duration { return time.Duration(max(0, n)) * time.Millisecond }
