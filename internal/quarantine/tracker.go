package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashThreshold is how many servers must have ended under a request for it to be held.
	// Servers that end take everything that runs there with them, up to a hundred
	// requests, and one that was there twice is not rare.
	crashThreshold = 3
	// ambiguityTimeout is how long it is waited for another end, or an answer, where others may be
	// to blame as well.
	ambiguityTimeout = 1500 * time.Millisecond
	// crashRetention is how long the end of a server is remembered, and HoldFor how long a
	// request is held from its last end on: it ends servers again when it comes later.
	crashRetention = time.Hour
	HoldTTL        = time.Hour
	// CrashDedupWindow is the time within which ends of a run are one, as daemons notice it: where
	// servers keep their name over a start, a later one is another.
	CrashDedupWindow = 2 * time.Second
	// maxCrashes, mostSuspects and mostHolds bound what is remembered: ends, requests for
	// each, and requests held. Together they take some MB at most.
	maxCrashes  = 256
	maxSuspects = 256
	maxHolds    = 1024
	// recentSuccessWindow is how recent the success of a request must be for it not to be
	// suspected: many callers ask the same of a service at the same time, so that
	// servers which end together have the same request.
	recentSuccessWindow = time.Second
	// broadcastTTL is how long what was learned is broadcast, and holdBroadcastTTL how long
	// that a request is held. Word goes round some hundred daemons within a second.
	broadcastTTL     = 1500 * time.Millisecond
	holdBroadcastTTL = 10 * time.Second
	// holdBroadcastDelay is the age from which a hold is broadcast: until then updates on the same
	// ends may be on their way that blame another request.
	holdBroadcastDelay = time.Second
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

func (c Change) merge(o Change) Change {
	return Change{
		Broadcast: c.Broadcast || o.Broadcast, Held: append(c.Held, o.Held...), Released: append(c.Released, o.Released...),
	}
}

// Tracker keeps which servers ended, what ran there, and which requests are held for it.
// Every daemon's ledger comes to the same verdict from the same ends. It is guarded by its
// owner's lock; times are readings of a steady clock.
type Tracker struct {
	crashes map[crashID]*crash
	// latestCrash is the newest end of each run, and lastID the number given last.
	latestCrash map[IncarnationKey]crashID
	lastID      crashID
	// crashesBy lists the ends of each suspected request.
	crashesBy map[Fingerprint][]crashID
	holds     map[Fingerprint]*hold
	// clearedAt is when each request was cleared, and succeeded when one last succeeded
	// that is not suspected.
	clearedAt   map[Fingerprint]time.Duration
	succeededAt map[Fingerprint]time.Duration
	// pending are the suspects and clearances that are still broadcast, the oldest first.
	pending   []pendingBroadcast
	lastSweep time.Duration
}

// crashID numbers ends in the order in which this daemon learned of them.
type crashID uint64

type crash struct {
	incarnation IncarnationKey
	at          time.Duration
	suspects    map[Fingerprint]bool
}

// pendingBroadcast is a suspect of an end, or a clearance.
type pendingBroadcast struct {
	crash       crashID
	fingerprint Fingerprint
	cleared     bool
	learnedAt   time.Duration
}

type hold struct {
	since, until time.Duration
	// learnedAt is when this daemon learned of it.
	learnedAt time.Duration
	// remote says that it was taken from another daemon or the store, not from ends.
	remote bool
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker {
	return &Tracker{
		crashes: map[crashID]*crash{}, latestCrash: map[IncarnationKey]crashID{}, crashesBy: map[Fingerprint][]crashID{}, holds: map[Fingerprint]*hold{},
		clearedAt: map[Fingerprint]time.Duration{}, succeededAt: map[Fingerprint]time.Duration{},
	}
}

// Status returns what is known of a request.
func (l *Tracker) Status(f Fingerprint, now time.Duration) Status {
	out := Status{Crashes: len(l.crashesBy[f])}
	if h := l.holds[f]; h != nil && now < h.until {
		out.Held, out.HeldFor, out.Remaining = true, now-h.since, h.until-now
	}
	return out
}

// Holds lists the requests that are held, in order.
func (l *Tracker) Holds(now time.Duration) (out []Hold) {
	for f, h := range l.holds {
		if now < h.until {
			out = append(out, h.snapshot(f, now))
		}
	}
	slices.SortFunc(out, func(a, b Hold) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (h *hold) snapshot(f Fingerprint, now time.Duration) Hold {
	return Hold{Fingerprint: f, AgeMs: (now - h.since).Milliseconds(), RemainingMs: (h.until - now).Milliseconds()}
}

// RecordCrash takes it that a run of a server ended at a time, and which requests were there.
func (l *Tracker) RecordCrash(run IncarnationKey, at time.Duration, suspects []Fingerprint, now time.Duration) Change {
	l.sweep(now)
	id := l.crashOf(run, at)
	e := l.crashes[id]
	var out Change
	attribute := false
	for _, f := range slices.SortedFunc(slices.Values(suspects), l.compareByCrashes) {
		if !l.suspect(e, f) {
			continue
		}
		e.suspects[f] = true
		l.pending = append(l.pending, pendingBroadcast{crash: id, fingerprint: f, learnedAt: now})
		l.crashesBy[f] = append(l.crashesBy[f], id)
		out.Broadcast = true
		attribute = attribute || len(l.crashesBy[f]) >= crashThreshold
	}
	if attribute {
		out.Held, out.Released = l.updateHolds(now)
	}
	return out
}

// crashOf returns the end of a run at about a time.
func (l *Tracker) crashOf(run IncarnationKey, at time.Duration) crashID {
	if id, known := l.latestCrash[run]; known && (at-l.crashes[id].at).Abs() <= CrashDedupWindow {
		return id
	}
	l.evictOldestCrash()
	l.lastID++
	l.crashes[l.lastID] = &crash{incarnation: run, at: at, suspects: map[Fingerprint]bool{}}
	l.latestCrash[run] = l.lastID
	return l.lastID
}

// suspect reports whether a request that was at a server is to be remembered for its end.
func (l *Tracker) suspect(e *crash, f Fingerprint) bool {
	if e.suspects[f] || len(e.suspects) >= maxSuspects {
		return false
	}
	if at, any := l.clearedAt[f]; any && at >= e.at {
		return false
	}
	at, any := l.succeededAt[f]
	return !any || e.at-at > recentSuccessWindow
}

// evictOldestCrash forgets the oldest end if there are too many.
func (l *Tracker) evictOldestCrash() {
	if len(l.crashes) < maxCrashes {
		return
	}
	l.removeCrash(slices.MinFunc(slices.Collect(maps.Keys(l.crashes)), func(a, b crashID) int {
		return cmp.Or(cmp.Compare(l.crashes[a].at, l.crashes[b].at), cmp.Compare(a, b))
	}))
}

func (l *Tracker) removeCrash(id crashID) {
	e := l.crashes[id]
	for f := range e.suspects {
		l.unlink(f, id)
	}
	if l.latestCrash[e.incarnation] == id {
		delete(l.latestCrash, e.incarnation)
	}
	delete(l.crashes, id)
}

func (l *Tracker) unlink(f Fingerprint, id crashID) {
	list := slices.DeleteFunc(l.crashesBy[f], func(o crashID) bool { return o == id })
	if len(list) == 0 {
		delete(l.crashesBy, f)
		return
	}
	l.crashesBy[f] = list
}

// RecordSuccess takes it that a request was answered in full. A request that ends its servers
// never is, so that no end before counts against it. It is broadcast if it was at more than
// one end: of each server that ends there are dozens that were at one.
func (l *Tracker) RecordSuccess(f Fingerprint, now time.Duration) Change {
	l.sweep(now)
	l.succeededAt[f] = now
	if len(l.crashesBy[f]) == 0 && l.holds[f] == nil {
		return Change{}
	}
	return l.clear(f, now, now, len(l.crashesBy[f]) > 1 || l.holds[f] != nil)
}

// ApplyClearance takes it that a request is not to blame for servers that ended before a time.
func (l *Tracker) ApplyClearance(f Fingerprint, at, now time.Duration) Change {
	return l.clear(f, at, now, true)
}

// clear takes a clearance, and broadcasts it unless others know: one that is received again is
// a little younger each time, by the time that it was on its way.
func (l *Tracker) clear(f Fingerprint, at, now time.Duration, broadcast bool) (out Change) {
	previous, any := l.clearedAt[f]
	if any && previous >= at {
		return out
	}
	l.clearedAt[f] = at
	for _, id := range slices.Clone(l.crashesBy[f]) {
		if l.crashes[id].at <= at {
			delete(l.crashes[id].suspects, f)
			l.unlink(f, id)
		}
	}
	if h := l.holds[f]; h != nil && h.since <= at {
		delete(l.holds, f)
		out.Broadcast, out.Released = true, []Fingerprint{f}
	}
	if broadcast && (!any || at-previous > CrashDedupWindow || out.Broadcast) {
		l.pending = append(l.pending, pendingBroadcast{fingerprint: f, cleared: true, learnedAt: now})
	}
	return out
}

// ApplyHold takes it from another daemon or the store that a request is held since a time and
// until another. One that was cleared since is not.
func (l *Tracker) ApplyHold(f Fingerprint, since, until, now time.Duration) (out Change) {
	if at, any := l.clearedAt[f]; any && at >= since || until <= now {
		return out
	}
	if l.holds[f] == nil && len(l.crashesBy[f]) >= crashThreshold && !slices.Contains(l.attributeCrashes(now), f) {
		return out // the ends that are known here are laid to another request
	}
	until = min(until, now+HoldTTL)
	if h := l.holds[f]; h != nil {
		h.until = max(h.until, until)
		return out
	}
	l.addHold(f, &hold{since: since, until: until, learnedAt: now, remote: true})
	return Change{Broadcast: true, Held: []Fingerprint{f}}
}

// addHold holds a request, in place of the one that is held for the shortest time if there are
// too many.
func (l *Tracker) addHold(f Fingerprint, h *hold) {
	if len(l.holds) >= maxHolds {
		victim := slices.MinFunc(slices.Collect(maps.Keys(l.holds)), func(a, b Fingerprint) int {
			return cmp.Or(cmp.Compare(l.holds[a].until, l.holds[b].until), cmp.Compare(a, b))
		})
		delete(l.holds, victim)
	}
	l.holds[f] = h
}

// sweep forgets what is too old, once a second.
func (l *Tracker) sweep(now time.Duration) {
	if now-l.lastSweep < time.Second {
		return
	}
	l.lastSweep = now
	for id, e := range l.crashes {
		if now-e.at > crashRetention {
			l.removeCrash(id)
		}
	}
	maps.DeleteFunc(l.holds, func(_ Fingerprint, h *hold) bool { return now >= h.until })
	maps.DeleteFunc(l.clearedAt, func(_ Fingerprint, at time.Duration) bool { return now-at > crashRetention })
	maps.DeleteFunc(l.succeededAt, func(_ Fingerprint, at time.Duration) bool { return now-at > 2*recentSuccessWindow })
}

// Reevaluate judges a request that was at enough ends again: its rivals may have been at no
// further one for long enough.
func (l *Tracker) Reevaluate(f Fingerprint, now time.Duration) (out Change) {
	if len(l.crashesBy[f]) >= crashThreshold && l.holds[f] == nil {
		out.Held, out.Released = l.updateHolds(now)
	}
	return out
}

// compareByCrashes orders requests by how many servers ended with them.
func (l *Tracker) compareByCrashes(a, b Fingerprint) int {
	return cmp.Or(cmp.Compare(len(l.crashesBy[b]), len(l.crashesBy[a])), cmp.Compare(a, b))
}
