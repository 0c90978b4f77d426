package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// endsToHold is how many servers must have ended under a request for it to be held.
	// Servers that end take everything that runs there with them, up to a hundred
	// requests, and one that was there twice is not rare.
	endsToHold = 3
	// doubtFor is how long it is waited for another end, or an answer, where others may be
	// to blame as well.
	doubtFor = 1500 * time.Millisecond
	// endKept is how long the end of a server is remembered, and HoldFor how long a
	// request is held from its last end on: it ends servers again when it comes later.
	endKept = time.Hour
	HoldTTL = time.Hour
	// CrashDedupWindow is the time within which ends of a run are one, as daemons notice it: where
	// servers keep their name over a start, a later one is another.
	CrashDedupWindow = 2 * time.Second
	// mostEnds, mostSuspects and mostHolds bound what is remembered: ends, requests for
	// each, and requests held. Together they take some MB at most.
	mostEnds    = 256
	maxSuspects = 256
	mostHolds   = 1024
	// justSucceeded is how recent the success of a request must be for it not to be
	// suspected: many callers ask the same of a service at the same time, so that
	// servers which end together have the same request.
	justSucceeded = time.Second
	// broadcastTTL is how long what was learned is broadcast, and holdBroadcastTTL how long
	// that a request is held. Word goes round some hundred daemons within a second.
	broadcastTTL     = 1500 * time.Millisecond
	holdBroadcastTTL = 10 * time.Second
	// settled is the age from which a hold is broadcast: until then updates on the same
	// ends may be on their way that blame another request.
	settled = time.Second
)

// IncarnationKey names a run of a backend server among daemons.
type IncarnationKey uint32

// Status is what is known of one request.
type Status struct {
	// Crashes is how many servers ended that ran it.
	Crashes int
	// Held says that it is kept from servers, For since when, and Left for how long yet.
	Held               bool
	HeldFor, Remaining time.Duration
}

// Change is what something learned has changed.
type Change struct {
	// Broadcast says that other daemons are to be sent it.
	Broadcast bool
	// Held and Released are the requests that are held, or no longer held, by it.
	Held, Released []Fingerprint
}

func (c Change) with(o Change) Change {
	return Change{
		Broadcast: c.Broadcast || o.Broadcast, Held: append(c.Held, o.Held...), Released: append(c.Released, o.Released...),
	}
}

// Tracker keeps which servers ended, what ran there, and which requests are held for it.
// Every daemon's ledger comes to the same verdict from the same ends. It is guarded by its
// owner's lock; times are readings of a steady clock.
type Tracker struct {
	ends map[endID]*end
	// newest is the newest end of each run, and lastID the number given last.
	newest map[IncarnationKey]endID
	lastID endID
	// of lists the ends of each suspected request.
	of    map[Fingerprint][]endID
	holds map[Fingerprint]*hold
	// cleared is when each request was cleared, and succeeded when one last succeeded
	// that is not suspected.
	cleared   map[Fingerprint]time.Duration
	succeeded map[Fingerprint]time.Duration
	// pending are the suspects and clearances that are still broadcast, the oldest first.
	pending []pendingBroadcast
	swept   time.Duration
}

// endID numbers ends in the order in which this daemon learned of them.
type endID uint64

type end struct {
	run      IncarnationKey
	at       time.Duration
	suspects map[Fingerprint]bool
}

// pendingBroadcast is a suspect of an end, or a clearance.
type pendingBroadcast struct {
	end         endID
	fingerprint Fingerprint
	cleared     bool
	learned     time.Duration
}

type hold struct {
	since, until time.Duration
	// learned is when this daemon learned of it.
	learned time.Duration
	// confirmed says that it was taken from another daemon or the store, not from ends.
	confirmed bool
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker {
	return &Tracker{
		ends: map[endID]*end{}, newest: map[IncarnationKey]endID{}, of: map[Fingerprint][]endID{}, holds: map[Fingerprint]*hold{},
		cleared: map[Fingerprint]time.Duration{}, succeeded: map[Fingerprint]time.Duration{},
	}
}

// Status returns what is known of a request.
func (l *Tracker) Status(f Fingerprint, now time.Duration) Status {
	out := Status{Crashes: len(l.of[f])}
	if h := l.holds[f]; h != nil && now < h.until {
		out.Held, out.HeldFor, out.Remaining = true, now-h.since, h.until-now
	}
	return out
}

// Holds lists the requests that are held, in order.
func (l *Tracker) Holds(now time.Duration) (out []Hold) {
	for f, h := range l.holds {
		if now < h.until {
			out = append(out, h.word(f, now))
		}
	}
	slices.SortFunc(out, func(a, b Hold) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (h *hold) word(f Fingerprint, now time.Duration) Hold {
	return Hold{Fingerprint: f, AgeMs: (now - h.since).Milliseconds(), RemainingMs: (h.until - now).Milliseconds()}
}

// RecordCrash takes it that a run of a server ended at a time, and which requests were there.
func (l *Tracker) RecordCrash(run IncarnationKey, at time.Duration, suspects []Fingerprint, now time.Duration) Change {
	l.sweep(now)
	id := l.endOf(run, at)
	e := l.ends[id]
	var out Change
	judge := false
	for _, f := range slices.SortedFunc(slices.Values(suspects), l.moreEndsFirst) {
		if !l.suspected(e, f) {
			continue
		}
		e.suspects[f] = true
		l.pending = append(l.pending, pendingBroadcast{end: id, fingerprint: f, learned: now})
		l.of[f] = append(l.of[f], id)
		out.Broadcast = true
		judge = judge || len(l.of[f]) >= endsToHold
	}
	if judge {
		out.Held, out.Released = l.judge(now)
	}
	return out
}

// endOf returns the end of a run at about a time.
func (l *Tracker) endOf(run IncarnationKey, at time.Duration) endID {
	if id, known := l.newest[run]; known && (at-l.ends[id].at).Abs() <= CrashDedupWindow {
		return id
	}
	l.makeRoom()
	l.lastID++
	l.ends[l.lastID] = &end{run: run, at: at, suspects: map[Fingerprint]bool{}}
	l.newest[run] = l.lastID
	return l.lastID
}

// suspected reports whether a request that was at a server is to be remembered for its end.
func (l *Tracker) suspected(e *end, f Fingerprint) bool {
	if e.suspects[f] || len(e.suspects) >= maxSuspects {
		return false
	}
	if at, any := l.cleared[f]; any && at >= e.at {
		return false
	}
	at, any := l.succeeded[f]
	return !any || e.at-at > justSucceeded
}

// makeRoom forgets the oldest end if there are too many.
func (l *Tracker) makeRoom() {
	if len(l.ends) < mostEnds {
		return
	}
	l.forget(slices.MinFunc(slices.Collect(maps.Keys(l.ends)), func(a, b endID) int {
		return cmp.Or(cmp.Compare(l.ends[a].at, l.ends[b].at), cmp.Compare(a, b))
	}))
}

func (l *Tracker) forget(id endID) {
	e := l.ends[id]
	for f := range e.suspects {
		l.unlink(f, id)
	}
	if l.newest[e.run] == id {
		delete(l.newest, e.run)
	}
	delete(l.ends, id)
}

func (l *Tracker) unlink(f Fingerprint, id endID) {
	list := slices.DeleteFunc(l.of[f], func(o endID) bool { return o == id })
	if len(list) == 0 {
		delete(l.of, f)
		return
	}
	l.of[f] = list
}

// RecordSuccess takes it that a request was answered in full. A request that ends its servers
// never is, so that no end before counts against it. It is broadcast if it was at more than
// one end: of each server that ends there are dozens that were at one.
func (l *Tracker) RecordSuccess(f Fingerprint, now time.Duration) Change {
	l.sweep(now)
	l.succeeded[f] = now
	if len(l.of[f]) == 0 && l.holds[f] == nil {
		return Change{}
	}
	return l.clear(f, now, now, len(l.of[f]) > 1 || l.holds[f] != nil)
}

// ApplyClearance takes it that a request is not to blame for servers that ended before a time.
func (l *Tracker) ApplyClearance(f Fingerprint, at, now time.Duration) Change {
	return l.clear(f, at, now, true)
}

// clear takes a clearance, and broadcasts it unless others know: one that is received again is
// a little younger each time, by the time that it was on its way.
func (l *Tracker) clear(f Fingerprint, at, now time.Duration, tell bool) (out Change) {
	before, any := l.cleared[f]
	if any && before >= at {
		return out
	}
	l.cleared[f] = at
	for _, id := range slices.Clone(l.of[f]) {
		if l.ends[id].at <= at {
			delete(l.ends[id].suspects, f)
			l.unlink(f, id)
		}
	}
	if h := l.holds[f]; h != nil && h.since <= at {
		delete(l.holds, f)
		out.Broadcast, out.Released = true, []Fingerprint{f}
	}
	if tell && (!any || at-before > CrashDedupWindow || out.Broadcast) {
		l.pending = append(l.pending, pendingBroadcast{fingerprint: f, cleared: true, learned: now})
	}
	return out
}

// ApplyHold takes it from another daemon or the store that a request is held since a time and
// until another. One that was cleared since is not.
func (l *Tracker) ApplyHold(f Fingerprint, since, until, now time.Duration) (out Change) {
	if at, any := l.cleared[f]; any && at >= since || until <= now {
		return out
	}
	if l.holds[f] == nil && len(l.of[f]) >= endsToHold && !slices.Contains(l.guilty(now), f) {
		return out // the ends that are known here are laid to another request
	}
	until = min(until, now+HoldTTL)
	if h := l.holds[f]; h != nil {
		h.until = max(h.until, until)
		return out
	}
	l.hold(f, &hold{since: since, until: until, learned: now, confirmed: true})
	return Change{Broadcast: true, Held: []Fingerprint{f}}
}

// hold holds a request, in place of the one that is held for the shortest time if there are
// too many.
func (l *Tracker) hold(f Fingerprint, h *hold) {
	if len(l.holds) >= mostHolds {
		next := slices.MinFunc(slices.Collect(maps.Keys(l.holds)), func(a, b Fingerprint) int {
			return cmp.Or(cmp.Compare(l.holds[a].until, l.holds[b].until), cmp.Compare(a, b))
		})
		delete(l.holds, next)
	}
	l.holds[f] = h
}

// sweep forgets what is too old, once a second.
func (l *Tracker) sweep(now time.Duration) {
	if now-l.swept < time.Second {
		return
	}
	l.swept = now
	for id, e := range l.ends {
		if now-e.at > endKept {
			l.forget(id)
		}
	}
	maps.DeleteFunc(l.holds, func(_ Fingerprint, h *hold) bool { return now >= h.until })
	maps.DeleteFunc(l.cleared, func(_ Fingerprint, at time.Duration) bool { return now-at > endKept })
	maps.DeleteFunc(l.succeeded, func(_ Fingerprint, at time.Duration) bool { return now-at > 2*justSucceeded })
}

// Reevaluate judges a request that was at enough ends again: its rivals may have been at no
// further one for long enough.
func (l *Tracker) Reevaluate(f Fingerprint, now time.Duration) (out Change) {
	if len(l.of[f]) >= endsToHold && l.holds[f] == nil {
		out.Held, out.Released = l.judge(now)
	}
	return out
}

// moreEndsFirst orders requests by how many servers ended with them.
func (l *Tracker) moreEndsFirst(a, b Fingerprint) int {
	return cmp.Or(cmp.Compare(len(l.of[b]), len(l.of[a])), cmp.Compare(a, b))
}
