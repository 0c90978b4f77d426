package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashThreshold is the number of crashes after which a request is held. A crash also
	// affects all other requests on the server, so a harmless request can see two.
	crashThreshold = 3
	// ambiguityTimeout is how long an ambiguous request may wait for another crash or a
	// success before it is held.
	ambiguityTimeout = 1500 * time.Millisecond
	// crashRetention is how long a crash is remembered. HoldTTL is how long a request is held
	// after its last crash.
	crashRetention = time.Hour
	HoldTTL        = time.Hour
	// CrashDedupWindow is the time within which crash reports for one incarnation key count
	// as one crash. Servers that keep their name across restarts can crash again later.
	CrashDedupWindow = 2 * time.Second
	// trialPeriod is how long parts of prompts with the same crashes are held, up to maxTrials times,
	// and the time between the ends of their trials. Sound requests should succeed within it.
	trialPeriod = 1500 * time.Millisecond
	maxTrials   = 2
	// maxCrashes, maxSuspects, maxHolds and maxSuccesses bound memory: crashes, suspects of each
	// crash, held requests, and times of success.
	maxCrashes   = 256
	maxSuspects  = 256
	maxHolds     = 1024
	maxSuccesses = 1 << 15
	// recentSuccessWindow is how long a request that succeeded is not suspected. Identical
	// requests of many callers run on many servers at once.
	recentSuccessWindow = time.Second
	// partSuccessWindow is the same for parts of prompts, which run on many servers at any time. It
	// covers a crash of all servers, during which no request succeeds.
	partSuccessWindow = 30 * time.Second
	// exonerationMargin covers the differences between the times that daemons record for one crash.
	exonerationMargin = 100 * time.Millisecond
	// broadcastTTL is how long suspects and clearances are broadcast, and holdBroadcastTTL
	// how long holds are.
	broadcastTTL     = 1500 * time.Millisecond
	holdBroadcastTTL = 10 * time.Second
	// holdBroadcastDelay is the age at which a hold is first broadcast. Updates still in
	// flight may attribute its crashes to another request.
	holdBroadcastDelay = time.Second
)

// IncarnationKey identifies an incarnation of a backend server in messages between daemons.
type IncarnationKey uint32

// Status is the quarantine state of one request.
type Status struct {
	// Suspect is the fingerprint with the most recorded crashes, of the request or of a part of its
	// prompt, or the one that is held. Crashes is the number of crashes of servers that ran it.
	Suspect Fingerprint
	Crashes int
	// Held reports whether the request is held, HeldFor for how long it has been, and
	// Remaining the time until the hold expires.
	Held               bool
	HeldFor, Remaining time.Duration
	// InTurn reports whether the request is held until its turn among the suspects of the same crashes.
	InTurn bool
}

// Change describes the effect of an operation on a Tracker.
type Change struct {
	// Broadcast reports whether other daemons need an update.
	Broadcast bool
	// Held and Released are the requests whose hold began or ended.
	Held, Released []Fingerprint
}

// Merge returns the effect of both changes.
func (c Change) Merge(o Change) Change {
	return Change{
		Broadcast: c.Broadcast || o.Broadcast, Held: append(c.Held, o.Held...), Released: append(c.Released, o.Released...),
	}
}

// Tracker records crashes of servers, their suspects, and the requests that are held.
// Trackers with the same crashes attribute them in the same way. Times are readings of a
// monotonic clock. A Tracker is not safe for concurrent use.
type Tracker struct {
	crashes map[crashID]*crash
	// latestCrash is the latest crash of each incarnation, and lastID the last crash ID issued.
	latestCrash map[IncarnationKey]crashID
	lastID      crashID
	// crashesBy lists the crashes of which each request is a suspect.
	crashesBy map[Fingerprint][]crashID
	holds     map[Fingerprint]*hold
	// clearedAt is when each request was last cleared, and succeededAt when it last
	// succeeded.
	clearedAt   map[Fingerprint]time.Duration
	succeededAt map[Fingerprint]time.Duration
	// trials are the trial holds of parts of prompts.
	trials map[Fingerprint]*trial
	// groups are the groups of requests with the same crashes, by member.
	groups map[Fingerprint]*group
	// pending are the suspects and clearances still to be broadcast, oldest first.
	pending   []pendingBroadcast
	lastSweep time.Duration
}

// crashID numbers crashes in the order in which they were recorded.
type crashID uint64

type crash struct {
	incarnation IncarnationKey
	at          time.Duration
	suspects    map[Fingerprint]bool
}

// pendingBroadcast is a suspect of a crash, or a clearance.
type pendingBroadcast struct {
	crash       crashID
	fingerprint Fingerprint
	cleared     bool
	learnedAt   time.Duration
}

type hold struct {
	since, until time.Duration
	// learnedAt is when this daemon recorded the hold.
	learnedAt time.Duration
	// remote reports whether the hold came from another daemon or the store.
	remote bool
	// turns is set while others have the same crashes.
	turns *turns
}

// remaining returns the time until the request may be sent.
func (h *hold) remaining(now time.Duration) time.Duration {
	if h.turns != nil && now < h.until {
		return h.turns.wait(now)
	}
	return h.until - now
}

// trial is the last trial hold of a part of a prompt: the number of them, the part's last crash and the
// end of the hold.
type trial struct {
	count            int
	lastCrash, until time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		crashes: map[crashID]*crash{}, latestCrash: map[IncarnationKey]crashID{}, crashesBy: map[Fingerprint][]crashID{}, holds: map[Fingerprint]*hold{},
		trials: map[Fingerprint]*trial{}, groups: map[Fingerprint]*group{}, clearedAt: map[Fingerprint]time.Duration{}, succeededAt: map[Fingerprint]time.Duration{},
	}
}

// Status returns the status of a request.
func (t *Tracker) Status(f Fingerprint, now time.Duration) Status {
	out := Status{Suspect: f, Crashes: len(t.crashesBy[f])}
	if h := t.holds[f]; h != nil && h.remaining(now) > 0 {
		out.Held, out.HeldFor, out.Remaining, out.InTurn = true, now-h.since, h.remaining(now), h.turns != nil
	}
	return out
}

// IdentityStatus returns the status of a request with the parts of its prompt: the longest hold of
// any of them, or else the most crashes.
func (t *Tracker) IdentityStatus(id Identity, now time.Duration) Status {
	out := t.Status(id.Request, now)
	for _, f := range id.Parts {
		s := t.Status(f, now)
		if s.Remaining > out.Remaining || out.Remaining == 0 && s.Crashes > out.Crashes {
			out = s
		}
	}
	return out
}

// Holds lists the held requests, sorted by fingerprint, without those that are sent in turn.
func (t *Tracker) Holds(now time.Duration) (out []Hold) {
	for f, h := range t.holds {
		if now < h.until && h.turns == nil {
			out = append(out, h.snapshot(f, now))
		}
	}
	slices.SortFunc(out, func(a, b Hold) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (h *hold) snapshot(f Fingerprint, now time.Duration) Hold {
	return Hold{Fingerprint: f, AgeMs: (now - h.since).Milliseconds(), RemainingMs: (h.until - now).Milliseconds()}
}

// RecordCrash records a crash and the requests that ran on the server.
func (t *Tracker) RecordCrash(key IncarnationKey, at time.Duration, suspects []Fingerprint, now time.Duration) Change {
	t.sweep(now)
	id := t.findOrAddCrash(key, at)
	c := t.crashes[id]
	var out Change
	attribute := false
	for _, f := range slices.SortedFunc(slices.Values(suspects), t.compareByCrashes) {
		if !t.suspect(c, f) {
			continue
		}
		c.suspects[f] = true
		t.pending = append(t.pending, pendingBroadcast{crash: id, fingerprint: f, learnedAt: now})
		t.crashesBy[f] = append(t.crashesBy[f], id)
		out.Broadcast = true
		attribute = attribute || len(t.crashesBy[f]) >= crashThreshold
	}
	if attribute {
		out.Held, out.Released = t.updateHolds(now)
	}
	return out
}

// findOrAddCrash returns the crash of an incarnation at about a time, and records a new one if there
// is none.
func (t *Tracker) findOrAddCrash(key IncarnationKey, at time.Duration) crashID {
	if id, known := t.latestCrash[key]; known && (at-t.crashes[id].at).Abs() <= CrashDedupWindow {
		return id
	}
	t.evictOldestCrash()
	t.lastID++
	t.crashes[t.lastID] = &crash{incarnation: key, at: at, suspects: map[Fingerprint]bool{}}
	t.latestCrash[key] = t.lastID
	return t.lastID
}

// suspect reports whether a request is to be recorded as a suspect of a crash.
func (t *Tracker) suspect(c *crash, f Fingerprint) bool {
	if c.suspects[f] || len(c.suspects) >= maxSuspects {
		return false
	}
	if at, any := t.clearedAt[f]; any && at >= c.at {
		return false
	}
	return !t.recentlySucceeded(f, c.at)
}

// recentlySucceeded reports whether requests with a fingerprint succeeded so shortly before a crash,
// or after it, that they are not suspected.
func (t *Tracker) recentlySucceeded(f Fingerprint, crashAt time.Duration) bool {
	at, any := t.succeededAt[f]
	return any && crashAt-at <= successWindow(f)
}

func successWindow(f Fingerprint) time.Duration {
	if f.IsPart() {
		return partSuccessWindow
	}
	return recentSuccessWindow
}

// exonerate clears parts of prompts that another daemon suspects of a crash and with which requests
// recently succeeded here. A daemon that serves few of the requests with a part may not know.
func (t *Tracker) exonerate(crashAt time.Duration, suspects []Fingerprint, now time.Duration) (out Change) {
	for _, f := range suspects {
		if !f.IsPart() || !t.recentlySucceeded(f, crashAt) {
			continue
		}
		if at, any := t.clearedAt[f]; any && at >= crashAt {
			continue // done already, here or by another daemon
		}
		out = out.Merge(t.clear(f, crashAt+exonerationMargin, now, false))
		t.pending = append(t.pending, pendingBroadcast{fingerprint: f, cleared: true, learnedAt: now})
		out.Broadcast = true
	}
	return out
}

// evictOldestCrash removes the oldest crash if maxCrashes is reached.
func (t *Tracker) evictOldestCrash() {
	if len(t.crashes) < maxCrashes {
		return
	}
	t.removeCrash(slices.MinFunc(slices.Collect(maps.Keys(t.crashes)), func(a, b crashID) int {
		return cmp.Or(cmp.Compare(t.crashes[a].at, t.crashes[b].at), cmp.Compare(a, b))
	}))
}

func (t *Tracker) removeCrash(id crashID) {
	c := t.crashes[id]
	for f := range c.suspects {
		t.unlink(f, id)
	}
	if t.latestCrash[c.incarnation] == id {
		delete(t.latestCrash, c.incarnation)
	}
	delete(t.crashes, id)
}

func (t *Tracker) unlink(f Fingerprint, id crashID) {
	list := slices.DeleteFunc(t.crashesBy[f], func(o crashID) bool { return o == id })
	if len(list) == 0 {
		delete(t.crashesBy, f)
		return
	}
	t.crashesBy[f] = list
}

// RecordSuccess records that a request was answered in full, which clears it of all earlier
// crashes. The clearance is broadcast only for requests that are held or have more than one
// crash, because each crash has many suspects.
func (t *Tracker) RecordSuccess(f Fingerprint, now time.Duration) Change {
	t.sweep(now)
	if _, known := t.succeededAt[f]; known || len(t.succeededAt) < maxSuccesses {
		t.succeededAt[f] = now
	}
	if len(t.crashesBy[f]) == 0 && t.holds[f] == nil {
		return Change{}
	}
	return t.clear(f, now, now, len(t.crashesBy[f]) > 1 || t.holds[f] != nil)
}

// ApplyClearance clears a request of all crashes up to a time, as another daemon reports it. The time
// shifts by the network latency at each daemon that passes it on, so that one that is little later
// than the last is the same clearance, unless it releases a hold.
func (t *Tracker) ApplyClearance(f Fingerprint, at, now time.Duration) Change {
	previous, known := t.clearedAt[f]
	h := t.holds[f]
	releases := h != nil && h.since <= at
	if known && at-previous <= CrashDedupWindow && !releases {
		return Change{}
	}
	return t.clear(f, at, now, true)
}

// clear applies a clearance and queues it for broadcast if it is new. The time of a clearance
// that comes back from a peer shifts by the network latency, so that small differences do
// not count as new.
func (t *Tracker) clear(f Fingerprint, at, now time.Duration, broadcast bool) (out Change) {
	previous, any := t.clearedAt[f]
	if any && previous >= at {
		return out
	}
	t.clearedAt[f] = at
	delete(t.trials, f)
	leftGroup := t.leave(f)
	for _, id := range slices.Clone(t.crashesBy[f]) {
		if t.crashes[id].at <= at {
			delete(t.crashes[id].suspects, f)
			t.unlink(f, id)
		}
	}
	if h := t.holds[f]; h != nil && (h.since <= at || !h.remote && len(t.crashesBy[f]) < crashThreshold) {
		delete(t.holds, f)
		out.Broadcast, out.Released = true, []Fingerprint{f}
	}
	if leftGroup {
		held, released := t.updateHolds(now)
		out.Held, out.Released = held, append(out.Released, released...)
	}
	if broadcast && (!any || at-previous > CrashDedupWindow || out.Broadcast) {
		t.pending = append(t.pending, pendingBroadcast{fingerprint: f, cleared: true, learnedAt: now})
	}
	return out
}

// ApplyHold applies a hold received from another daemon or the store. It is ignored if the
// request was cleared after since.
func (t *Tracker) ApplyHold(f Fingerprint, since, until, now time.Duration) (out Change) {
	if at, any := t.clearedAt[f]; any && at >= since || until <= now {
		return out
	}
	if t.holds[f] == nil && len(t.crashesBy[f]) >= crashThreshold && !slices.Contains(t.attributeCrashes(now), f) {
		return out // the crashes recorded here are attributed to another request
	}
	until = min(until, now+HoldTTL)
	if h := t.holds[f]; h != nil {
		h.until = max(h.until, until)
		h.remote, h.turns = h.remote || h.turns != nil, nil // the other daemon could tell it from the others
		return out
	}
	t.addHold(f, &hold{since: since, until: until, learnedAt: now, remote: true})
	return Change{Broadcast: true, Held: []Fingerprint{f}}
}

// addHold adds a hold. At maxHolds it replaces the one that expires first.
func (t *Tracker) addHold(f Fingerprint, h *hold) {
	if len(t.holds) >= maxHolds {
		victim := slices.MinFunc(slices.Collect(maps.Keys(t.holds)), func(a, b Fingerprint) int {
			return cmp.Or(cmp.Compare(t.holds[a].until, t.holds[b].until), cmp.Compare(a, b))
		})
		delete(t.holds, victim)
	}
	t.holds[f] = h
}

// sweep removes expired records, at most once a second.
func (t *Tracker) sweep(now time.Duration) {
	if now-t.lastSweep < time.Second {
		return
	}
	t.lastSweep = now
	for id, c := range t.crashes {
		if now-c.at > crashRetention {
			t.removeCrash(id)
		}
	}
	maps.DeleteFunc(t.holds, func(_ Fingerprint, h *hold) bool { return now >= h.until })
	maps.DeleteFunc(t.groups, func(_ Fingerprint, g *group) bool { return now-g.since > crashRetention })
	maps.DeleteFunc(t.trials, func(_ Fingerprint, tr *trial) bool { return now-tr.until > crashRetention })
	maps.DeleteFunc(t.clearedAt, func(_ Fingerprint, at time.Duration) bool { return now-at > crashRetention })
	maps.DeleteFunc(t.succeededAt, func(f Fingerprint, at time.Duration) bool { return now-at > 2*successWindow(f) })
}

// Reevaluate attributes the crashes again if the request has enough of them and is not held:
// ambiguityTimeout may have passed.
func (t *Tracker) Reevaluate(f Fingerprint, now time.Duration) (out Change) {
	if h := t.holds[f]; len(t.crashesBy[f]) >= crashThreshold && (h == nil || now >= h.until) {
		delete(t.holds, f) // if it has expired
		out.Held, out.Released = t.updateHolds(now)
	}
	return out
}

// compareByCrashes orders suspects by descending number of crashes, and parts of prompts, of which
// there are fewer, before requests.
func (t *Tracker) compareByCrashes(a, b Fingerprint) int {
	return cmp.Or(cmp.Compare(len(t.crashesBy[b]), len(t.crashesBy[a])), compareParts(a, b), cmp.Compare(a, b))
}

func compareParts(a, b Fingerprint) int {
	switch {
	case a.IsPart() == b.IsPart():
		return 0
	case a.IsPart():
		return -1
	}
	return 1
}
