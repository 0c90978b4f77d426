// Package serverlimit keeps the request rates that backend servers state in their responses,
// and divides a rate among the daemons of a fleet. It does no I/O and does not read the clock.
package serverlimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

const (
	// retention is how long a rate is kept that no daemon has observed again.
	retention = 30 * time.Second
	// reannounceInterval is the time after which an unchanged rate is reported again.
	reannounceInterval = retention / 2
	// sendsPerReport is the number of messages in which a daemon passes on a report. Each daemon
	// that receives it does so, which makes it unlikely that one in a large fleet is missed.
	sendsPerReport = 32
	// minAdvance is the least time by which a report of the same rate must be newer to be
	// passed on again. Network delay makes each repetition of a report look newer.
	minAdvance = 2 * time.Second
	// maxUpdates is the maximum number of reports in a message, maxInitialUpdates that in a
	// message to a daemon that just joined.
	maxUpdates        = 16
	maxInitialUpdates = 1024
	// minRate and maxRate bound the rates accepted from servers, in requests per second.
	minRate = 0.01
	maxRate = 1e6
)

// Update reports the rate of a server to other daemons.
type Update struct {
	// Server is the hash of the server's ID.
	Server uint64 `cbor:"1,keyasint"`
	// PerSecond is the rate that the server accepts from all daemons together, or zero for a
	// server that states no rate any more.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time since a response of the server was observed.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

type entry struct {
	perSecond  float64
	observedAt time.Duration
	// announcedAt is when the entry was last to be reported, and sendsLeft in how many messages
	// it still is.
	announcedAt time.Duration
	sendsLeft   int
}

// Table holds the stated rates of servers by the hash of their ID. Times are readings of a
// clock that advances while the VM is suspended. A Table is not safe for concurrent use.
type Table struct {
	entries map[uint64]*entry
	// pending holds the servers with sendsLeft.
	pending map[uint64]bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[uint64]*entry{}, pending: map[uint64]bool{}} }

// Rate returns the stated rate of a server, or zero.
func (t *Table) Rate(server uint64) float64 {
	if e := t.entries[server]; e != nil {
		return e.perSecond
	}
	return 0
}

// Limited counts the servers with a stated rate.
func (t *Table) Limited() (n int) {
	for _, e := range t.entries {
		if e.perSecond > 0 {
			n++
		}
	}
	return n
}

// Observe applies a response of a server and reports whether its rate has changed. PerSecond is
// the stated rate, or zero if the response states none. Such a response ends a rate only if its
// request was sent after the rate was last observed: others may be older than the rate.
func (t *Table) Observe(server uint64, perSecond float64, sentAt, now time.Duration) bool {
	if perSecond > 0 {
		perSecond = min(max(perSecond, minRate), maxRate)
	}
	e := t.entries[server]
	if perSecond <= 0 && (e == nil || e.perSecond == 0 || sentAt <= e.observedAt) {
		return false
	}
	if e == nil {
		e = &entry{}
		t.entries[server] = e
	}
	changed := e.perSecond != perSecond
	e.perSecond, e.observedAt = perSecond, now
	if changed || now-e.announcedAt >= reannounceInterval {
		t.announce(server, e, now)
	}
	return changed
}

// announce makes an entry be reported to other daemons.
func (t *Table) announce(server uint64, e *entry, now time.Duration) {
	e.announcedAt, e.sendsLeft = now, sendsPerReport
	t.pending[server] = true
}

// Merge applies the reports of another daemon and returns the servers whose rate has changed.
func (t *Table) Merge(updates []Update, now time.Duration) (changed []uint64) {
	for _, u := range updates {
		observedAt := now - time.Duration(u.AgeMs)*time.Millisecond
		if u.AgeMs < 0 || u.PerSecond < 0 || u.PerSecond > maxRate || now-observedAt > retention {
			continue
		}
		e := t.entries[u.Server]
		switch {
		case e == nil:
			e = &entry{perSecond: u.PerSecond, observedAt: observedAt}
			t.entries[u.Server] = e
			t.announce(u.Server, e, now)
			if u.PerSecond > 0 {
				changed = append(changed, u.Server)
			}
		case observedAt <= e.observedAt:
		case u.PerSecond != e.perSecond:
			e.perSecond, e.observedAt = u.PerSecond, observedAt
			t.announce(u.Server, e, now)
			changed = append(changed, u.Server)
		default:
			if observedAt-e.observedAt >= minAdvance {
				t.announce(u.Server, e, now)
			}
			e.observedAt = observedAt
		}
	}
	return changed
}

// Updates returns the reports for a message to another daemon, those sent least first, or all
// rates for a daemon that just joined.
func (t *Table) Updates(recentlyJoined bool, now time.Duration) []Update {
	if recentlyJoined {
		all := slices.Collect(maps.Keys(t.entries))
		return t.updates(all[:min(len(all), maxInitialUpdates)], now)
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

func (t *Table) updates(servers []uint64, now time.Duration) []Update {
	out := make([]Update, len(servers))
	for i, server := range servers {
		e := t.entries[server]
		out[i] = Update{Server: server, PerSecond: e.perSecond, AgeMs: (now - e.observedAt).Milliseconds()}
	}
	return out
}

// Expire removes the rates that no daemon has observed for a while.
func (t *Table) Expire(now time.Duration) {
	for server, e := range t.entries {
		if now-e.observedAt > retention {
			delete(t.entries, server)
			delete(t.pending, server)
		}
	}
}

const (
	// burstAllowance is the number of senders beyond one per request and second. All senders
	// may send at the same moment, so each adds one request to what the rate allows in a window.
	burstAllowance = 2
	// jitterFactor widens the send interval to allow for varying network delay.
	jitterFactor = 1.05
)

// ShareOf divides a rate among the senders of a fleet of daemons. Few daemons send to a server
// with a low rate, so that those who do not know all others exceed it by little.
func ShareOf(perSecond float64, daemons int) slowstart.Share {
	senders := min(max(1, daemons), int(perSecond)+burstAllowance)
	interval := jitterFactor * float64(senders) / max(perSecond, minRate)
	return slowstart.Share{Senders: senders, Interval: time.Duration(interval * float64(time.Second))}
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals before it is spread.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns when a refused caller should return, given the time until a server has
// capacity for a request. Random, in [0, 1), spreads the callers, who would return together.
func RetryAfter(remaining time.Duration, random float64) time.Duration {
	remaining = min(max(remaining, minRetryAfter), maxRetryAfter)
	return remaining + time.Duration(random*float64(remaining))
}
