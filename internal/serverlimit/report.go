package serverlimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// reannounceInterval is the time after which an unchanged rate is reported again.
	reannounceInterval = 15 * time.Second
	// sendsPerReport is the number of messages in which a daemon passes on a report. Each daemon
	// that receives it does so, which makes it unlikely that one in a large fleet is missed.
	sendsPerReport = 32
	// sendsPerStaleReport is the number of messages in which a daemon reports a limit without
	// recent reports of others. A daemon that has a later observation responds with it.
	sendsPerStaleReport = 2
	// minAdvance is the least time by which a report of the same rate without a sequence, or one
	// of an earlier order, must be newer to count. Network delay makes each repetition of a report
	// look newer, and could make a statement look later than the end that followed it.
	minAdvance = 2 * time.Second
	// maxUpdates is the maximum number of reports in a message, maxInitialUpdates that in a
	// message to a daemon that just joined.
	maxUpdates        = 16
	maxInitialUpdates = 1024
	// maxAge is the largest age in a report.
	maxAge = 30 * 24 * time.Hour
)

// Update reports the rate of a server to other daemons.
type Update struct {
	// Server is the server's Key.
	Server uint64 `cbor:"1,keyasint"`
	// PerSecond is the rate that the server accepts from all daemons together, or zero for a
	// server that states no rate any more.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time since the rate was stated, or since the successive responses without
	// one began.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
	// Sequence orders the reports of a server, see order; zero in those of a daemon that knows
	// none.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
}

func (u Update) valid() bool {
	return u.Sequence <= maxSequence && u.AgeMs >= 0 && u.AgeMs <= maxAge.Milliseconds() && u.PerSecond >= 0 && u.PerSecond <= maxRate
}

// announcement is the state of reporting an entry to other daemons.
type announcement struct {
	// announcedAt is when the entry was last to be reported, and sendsLeft in how many messages
	// it still is.
	announcedAt time.Duration
	sendsLeft   int
}

// asOf is the time of a statement, or of an end the start of the responses that showed it.
func (e *entry) asOf() time.Duration {
	if e.ended {
		return e.endedSince
	}
	return e.statedAt
}

// reportedRate returns the rate to report, or zero for a limit that has ended.
func (e *entry) reportedRate() float64 {
	if e.ended {
		return 0
	}
	return e.perSecond
}

// Reported returns the rate that this daemon reports for a server; zero if it has none.
func (t *Table) Reported(server uint64) float64 {
	if e := t.entries[server]; e != nil {
		return e.reportedRate()
	}
	return 0
}

// announce makes an entry be reported to other daemons.
func (t *Table) announce(server uint64, e *entry, now time.Duration) {
	e.announcedAt, e.sendsLeft = now, sendsPerReport
	t.pending[server] = true
}

// announceUrgent is announce for reports that should be broadcast.
func (t *Table) announceUrgent(server uint64, e *entry, now time.Duration) {
	t.announce(server, e, now)
	t.urgent = true
}

// TakeUrgent reports whether there are reports to broadcast since the last call.
func (t *Table) TakeUrgent() bool {
	urgent := t.urgent
	t.urgent = false
	return urgent
}

// announceStale makes an entry without recent reports be reported in few messages.
func (t *Table) announceStale(server uint64, e *entry, now time.Duration) {
	e.announcedAt, e.sendsLeft = now, max(e.sendsLeft, sendsPerStaleReport)
	t.pending[server] = true
}

// Change is a limit that another daemon reported. PerSecond is zero for one that has ended.
type Change struct {
	Server    uint64
	PerSecond float64
}

// Merge applies the reports of another daemon and returns those that changed a limit.
func (t *Table) Merge(updates []Update, now time.Duration) (changes []Change) {
	for _, u := range updates {
		if u.valid() && t.merge(u, now) {
			changes = append(changes, Change{u.Server, u.PerSecond})
		}
	}
	return changes
}

func (t *Table) merge(u Update, now time.Duration) (changed bool) {
	asOf := now - time.Duration(u.AgeMs)*time.Millisecond
	e := t.entries[u.Server]
	switch {
	case e == nil && u.PerSecond == 0:
		return false
	case e == nil:
		e = newEntry(now)
		t.entries[u.Server] = e
	case !u.supersedes(e, asOf):
		if outdated := (u.PerSecond == 0) != e.ended; outdated && e.sendsLeft == 0 {
			t.announceUrgent(u.Server, e, now)
		}
		return false
	case e.contradicts(u, asOf):
		e.repeatAfter(u)
		t.announceUrgent(u.Server, e, now)
		return false
	}
	changed = u.PerSecond != e.reportedRate()
	if (u.PerSecond == 0) != (e.reportedRate() == 0) {
		t.announceUrgent(u.Server, e, now)
	} else {
		t.announce(u.Server, e, now)
	}
	e.sequence = e.sequenceOf(u)
	if changed {
		e.evidence = evidence{observedAt: never}
	} else {
		asOf = max(asOf, e.asOf())
	}
	if u.PerSecond == 0 {
		e.end(asOf, now, false)
	} else {
		e.statedToOthers(u.PerSecond, asOf, now)
	}
	return changed
}

// Updates returns the reports for a message to another daemon, those sent least first, or all
// rates for a daemon that just joined.
func (t *Table) Updates(recentlyJoined bool, now time.Duration) []Update {
	if recentlyJoined {
		return t.updates(t.initialReports(), now)
	}
	due := slices.Collect(maps.Keys(t.pending))
	slices.SortFunc(due, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(t.entries[b].sendsLeft, t.entries[a].sendsLeft), cmp.Compare(a, b))
	})
	due = due[:min(len(due), maxUpdates)]
	for _, server := range due {
		e := t.entries[server]
		if e.sendsLeft--; e.sendsLeft == 0 {
			delete(t.pending, server)
		}
	}
	return t.updates(due, now)
}

// initialReports returns the limited servers for a daemon that just joined.
func (t *Table) initialReports() (servers []uint64) {
	for server, e := range t.entries {
		if !e.ended && len(servers) < maxInitialUpdates {
			servers = append(servers, server)
		}
	}
	return servers
}

func (t *Table) updates(servers []uint64, now time.Duration) []Update {
	out := make([]Update, len(servers))
	for i, server := range servers {
		e := t.entries[server]
		out[i] = Update{Server: server, PerSecond: e.reportedRate(), AgeMs: min(now-e.asOf(), maxAge).Milliseconds(), Sequence: e.sequence}
	}
	return out
}
