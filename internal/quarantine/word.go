package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// End is the end of a run of a server, as daemons tell each other.
type End struct {
	_   struct{} `cbor:",toarray"`
	Run RunKey
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
	AgeMs, LeftMs int64
}

// Clearance says that a request is not to blame for servers that ended before: it has
// succeeded, or was released by hand.
type Clearance struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	AgeMs       int64
}

// Word is what a daemon tells others.
type Word struct {
	Ends       []End       `cbor:"1,keyasint,omitempty"`
	Holds      []Hold      `cbor:"2,keyasint,omitempty"`
	Clearances []Clearance `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether a word says nothing.
func (w Word) Empty() bool { return len(w.Ends)+len(w.Holds)+len(w.Clearances) == 0 }

// Word returns what others are to be told, with all holds for one that was just met.
func (l *Ledger) Word(now time.Duration, justMet bool) (out Word) {
	l.news = slices.DeleteFunc(l.news, func(n newsItem) bool { return now-n.learned > newsFor })
	out.Ends, out.Clearances = l.freshEnds(now), l.freshClearances(now)
	for f, h := range l.holds {
		age := now - h.learned
		if now < h.until && (justMet || age <= holdNewsFor && (h.told || age >= settled)) && len(out.Holds) < mostTold {
			out.Holds = append(out.Holds, h.word(f, now))
		}
	}
	return out
}

// freshEnds returns the ends of which something is news, the youngest first.
func (l *Ledger) freshEnds(now time.Duration) (out []End) {
	suspects := map[endID][]Fingerprint{}
	for _, n := range l.news {
		if e := l.ends[n.end]; !n.cleared && e != nil && e.suspects[n.fingerprint] {
			suspects[n.end] = append(suspects[n.end], n.fingerprint)
		}
	}
	for id, list := range suspects {
		slices.SortFunc(list, l.moreEndsFirst)
		e := l.ends[id]
		out = append(out, End{Run: e.run, AgeMs: (now - e.at).Milliseconds(), Suspects: list[:min(mostTold, len(list))]})
	}
	slices.SortFunc(out, func(a, b End) int { return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Run, b.Run)) })
	return out[:min(mostEndsTold, len(out))]
}

func (l *Ledger) freshClearances(now time.Duration) (out []Clearance) {
	for _, n := range l.news {
		if at, any := l.cleared[n.fingerprint]; n.cleared && any && len(out) < mostTold {
			out = append(out, Clearance{Fingerprint: n.fingerprint, AgeMs: (now - at).Milliseconds()})
		}
	}
	return out
}

// mostTold bounds the requests that one word names for each end, and the holds and
// clearances; mostEndsTold bounds the ends. A full word has 4 KB.
const (
	mostTold     = 32
	mostEndsTold = 12
)

// Hear takes a word of another daemon.
func (l *Ledger) Hear(w Word, now time.Duration) (out Change) {
	for _, e := range w.Ends {
		out = out.with(l.Ended(e.Run, now-ms(e.AgeMs), e.Suspects, now))
	}
	for _, c := range w.Clearances {
		out = out.with(l.Cleared(c.Fingerprint, now-ms(c.AgeMs), now))
	}
	for _, h := range w.Holds {
		out = out.with(l.Told(h.Fingerprint, now-ms(h.AgeMs), now+ms(h.LeftMs), now))
	}
	return out
}

func ms(n int64) time.Duration { return time.Duration(max(0, n)) * time.Millisecond }
