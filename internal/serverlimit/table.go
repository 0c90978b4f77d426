package serverlimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minUnstated is the number of successive responses without a limit that end one. Fewer may
	// come from errors, or from parts of a server that do not state its limit.
	minUnstated = 6
	// unstatedInterval is the least time between the requests of two responses that count.
	unstatedInterval = 150 * time.Millisecond
	// objectionPeriod is the time between the report that a limit has ended and its effect, in
	// which daemons that got a later statement object.
	objectionPeriod = time.Second
	// objectionBackoff is the time after an objection in which a daemon reports no further end:
	// the responses that it gets leave out a limit that others get.
	objectionBackoff = 30 * time.Second
	// retention is how long the limit of a server that this daemon does not know is kept.
	retention = 30 * time.Second
)

// entry is what is known of the limit of a server.
type entry struct {
	perSecond float64
	// statedAt is when the rate was last stated, to any daemon.
	statedAt time.Duration
	// ended reports whether the limit has ended, although this daemon may not yet apply it.
	ended bool
	// endedSince is when the successive responses began that ended a rate, and endsAt when this
	// daemon applies the end.
	endedSince, endsAt time.Duration
	// endedHere reports whether responses to this daemon showed the end.
	endedHere bool
	run       unstatedRun
	// noRunBefore is when this daemon may show the next end.
	noRunBefore time.Duration
	// knownAt is when the server was last known to this daemon.
	knownAt time.Duration
	// sequence is that of the last report that holds.
	sequence uint64
	evidence
	announcement
}

// never is a time before any observation.
const never = time.Duration(-1 << 62)

func newEntry(now time.Duration) *entry {
	return &entry{statedAt: never, endedSince: never, noRunBefore: never, knownAt: now, evidence: evidence{observedAt: never}}
}

// unstatedRun describes the successive responses to this daemon that state no limit.
type unstatedRun struct {
	responses int
	// since and lastSentAt are when the requests of the first and the last of them were sent.
	since, lastSentAt time.Duration
}

func (e *entry) limited(now time.Duration) bool { return !e.ended || now < e.endsAt }

// stated applies a statement.
func (e *entry) stated(perSecond float64, at time.Duration) {
	e.perSecond, e.statedAt, e.ended, e.endedHere = perSecond, at, false, false
	if at >= e.run.since {
		e.run = unstatedRun{}
	}
}

// end applies the end of the limit.
func (e *entry) end(since, now time.Duration, here bool) {
	if !e.ended {
		e.endsAt, e.endedHere = now+objectionPeriod, here
	}
	e.ended, e.endedSince = true, since
}

// statedToOthers applies a statement that another daemon reports.
func (e *entry) statedToOthers(perSecond float64, at, now time.Duration) {
	if e.endedHere && at-e.endsAt < objectionBackoff {
		e.noRunBefore = now + objectionBackoff
	}
	e.stated(perSecond, at)
}

// inDoubt reports whether the last responses to this daemon leave out the rate, but do not yet show
// its end.
func (e *entry) inDoubt() bool { return !e.ended && e.run.responses > 0 }

// Key returns the key of a server's limit. Name identifies the server across its incarnations.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// Table holds the stated rates of servers by their Key. Times are readings of a
// clock that advances while the VM is suspended. A Table is not safe for concurrent use.
type Table struct {
	entries map[uint64]*entry
	// pending holds the servers that are to be reported to other daemons.
	pending map[uint64]bool
	// urgent is set if there are reports to broadcast.
	urgent bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[uint64]*entry{}, pending: map[uint64]bool{}} }

// Limit is the limit of a server.
type Limit struct {
	// PerSecond is the stated rate, or zero if there is no limit.
	PerSecond float64
	// StatedAt is when the rate was last stated, as far as this daemon knows.
	StatedAt time.Duration
	// Unstated is the number of successive responses to this daemon that state no limit.
	Unstated int
}

// Interval returns the interval of sends that a share has when the limit may have ended. It is
// halved with each response that states none, down to what can show an end.
func (l Limit) Interval(share time.Duration) time.Duration {
	return max(share>>l.Unstated, min(share, unstatedInterval))
}

// Limit returns the limit of a server.
func (t *Table) Limit(server uint64, now time.Duration) Limit {
	if e := t.entries[server]; e != nil && e.limited(now) {
		return Limit{e.perSecond, e.statedAt, e.run.responses}
	}
	return Limit{}
}

// InDoubt reports whether the limit of a server may have ended.
func (t *Table) InDoubt(server uint64) bool {
	e := t.entries[server]
	return e != nil && e.inDoubt()
}

// AnyInDoubt reports whether the limit of any server may have ended.
func (t *Table) AnyInDoubt() bool {
	for _, e := range t.entries {
		if e.inDoubt() {
			return true
		}
	}
	return false
}

// Len returns the number of servers of which a limit is or was known.
func (t *Table) Len() int { return len(t.entries) }

// Limited counts the servers with a limit.
func (t *Table) Limited(now time.Duration) (n int) {
	for _, e := range t.entries {
		if e.limited(now) {
			n++
		}
	}
	return n
}

// Observe applies a response of a server and reports whether its limit has changed. A response
// without a statement is to be passed only if the server itself has handled the request.
func (t *Table) Observe(server uint64, s Statement, sentAt, now time.Duration) (changed bool) {
	switch s.Kind {
	case Rate:
		return t.observeRate(server, min(max(s.PerSecond, minRate), maxRate), now)
	case None:
		return t.observeUnstated(server, sentAt, now)
	}
	return false
}

func (t *Table) observeRate(server uint64, perSecond float64, now time.Duration) (changed bool) {
	e := t.entries[server]
	if e == nil {
		e = newEntry(now)
		t.entries[server] = e
	}
	isNew := e.reportedRate() == 0
	changed = e.perSecond != perSecond || isNew
	e.stated(perSecond, now)
	e.evidence = evidence{observedAt: now}
	if !changed && now-e.announcedAt < reannounceInterval {
		return false
	}
	e.sequence++
	if isNew {
		t.announceUrgent(server, e, now)
	} else {
		t.announce(server, e, now)
	}
	return changed
}

// observeUnstated ignores requests sent before the rate was last stated: their responses may be
// older than the statement.
func (t *Table) observeUnstated(server uint64, sentAt, now time.Duration) (changed bool) {
	e := t.entries[server]
	if e == nil || e.ended || sentAt <= e.statedAt || now < e.noRunBefore {
		return false
	}
	switch {
	case e.run.responses == 0:
		e.run = unstatedRun{1, sentAt, sentAt}
	case sentAt-e.run.lastSentAt >= unstatedInterval:
		e.run.responses++
		e.run.lastSentAt = sentAt
	}
	if e.run.responses < minUnstated {
		return false
	}
	e.end(e.run.since, now, true)
	e.evidence = evidence{observedAt: e.run.since}
	t.announceUrgent(server, e, now)
	return true
}

// MarkKnown records that this daemon knows a server.
func (t *Table) MarkKnown(server uint64, now time.Duration) {
	if e := t.entries[server]; e != nil {
		e.knownAt = now
	}
}

// Sweep removes the servers that this daemon has not known for a while, and reports limits
// without recent reports again. The limit of a server that gets no requests is kept, since only
// responses show its end.
func (t *Table) Sweep(now time.Duration) {
	for server, e := range t.entries {
		switch {
		case now-e.knownAt > retention:
			delete(t.entries, server)
			delete(t.pending, server)
		case !e.ended && now-e.statedAt > retention:
			t.announceStale(server, e, now)
		}
	}
}
