package serverstatus

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// departureRetention is how long a departure is kept after its server was last known. An
	// older copy of the store may contain the server again.
	departureRetention = 2 * time.Minute
	// sendsPerDeparture is the number of messages in which a daemon passes on a departure. Each
	// daemon that receives it does so, which makes it unlikely that one in a large fleet is missed.
	sendsPerDeparture = 32
	// maxDepartures is the maximum number of departures in a message, maxInitialDepartures that
	// in a message to a daemon that just joined.
	maxDepartures        = 16
	maxInitialDepartures = 1024
	// minStaying is the number of successive later reports that end a departure. Fewer may be
	// older than the statement.
	minStaying = 3
	// reportSkew is how much newer a report may look than its statement: its age does not
	// include the time in the network.
	reportSkew = 2 * time.Second
)

// departure is a server's statement that it leaves.
type departure struct {
	// statedAt is when it was last stated, and endedAt when it was found to have ended.
	statedAt, endedAt time.Duration
	// staying counts the successive later reports that the server does not leave.
	staying int
	// knownAt is when the server was last known to this daemon.
	knownAt time.Duration
	// sendsLeft is in how many further messages it is passed on.
	sendsLeft int
}

// never is a time before any observation.
const never = time.Duration(-1 << 62)

func (d *departure) leaving() bool { return d.statedAt > d.endedAt }

// Departures holds the server incarnations that have stated that they leave, by the hash of their
// ID. A departure holds for the incarnation: responses without the statement and entries in the
// store do not end it. Times are readings of a clock that advances while the VM is suspended.
// Departures are not safe for concurrent use.
type Departures struct {
	entries map[uint64]*departure
	// pending are the servers that are to be passed on.
	pending map[uint64]bool
}

// NewDepartures returns an empty set.
func NewDepartures() *Departures {
	return &Departures{entries: map[uint64]*departure{}, pending: map[uint64]bool{}}
}

// Leaving reports whether a server has stated that it leaves.
func (ds *Departures) Leaving(server uint64) bool {
	if len(ds.entries) == 0 {
		return false
	}
	d := ds.entries[server]
	return d != nil && d.leaving()
}

// Count returns the number of servers that leave.
func (ds *Departures) Count() (n int) {
	for _, d := range ds.entries {
		if d.leaving() {
			n++
		}
	}
	return n
}

// Observe applies a statement that a server leaves and reports whether it is new.
func (ds *Departures) Observe(server uint64, now time.Duration) (isNew bool) {
	return ds.apply(server, now, now)
}

func (ds *Departures) apply(server uint64, at, now time.Duration) (isNew bool) {
	d := ds.entries[server]
	if d == nil {
		d = &departure{statedAt: never, endedAt: never, knownAt: now}
		ds.entries[server] = d
	}
	wasLeaving := d.leaving()
	d.statedAt = max(d.statedAt, at)
	if wasLeaving || !d.leaving() {
		return false
	}
	d.staying, d.sendsLeft = 0, sendsPerDeparture
	ds.pending[server] = true
	return true
}

// ObserveStaying applies an explicit report that a server does not leave, requested at a time, and
// reports whether it ended a departure.
func (ds *Departures) ObserveStaying(server uint64, requestedAt, now time.Duration) (ended bool) {
	d := ds.entries[server]
	if d == nil || !d.leaving() || requestedAt <= d.statedAt {
		return false
	}
	if d.staying++; d.staying < minStaying {
		return false
	}
	return ds.End(server, now)
}

// End records that the process of a server has terminated whose next one has the same ID, and
// reports whether it was leaving.
func (ds *Departures) End(server uint64, now time.Duration) (wasLeaving bool) {
	d := ds.entries[server]
	if d == nil || !d.leaving() {
		return false
	}
	d.endedAt = now
	delete(ds.pending, server)
	return true
}

// MarkKnown records that this daemon knows a server.
func (ds *Departures) MarkKnown(server uint64, now time.Duration) {
	if d := ds.entries[server]; d != nil {
		d.knownAt = now
	}
}

// Sweep removes the servers that this daemon has not known for a while.
func (ds *Departures) Sweep(now time.Duration) {
	for server, d := range ds.entries {
		if now-d.knownAt > departureRetention {
			delete(ds.entries, server)
			delete(ds.pending, server)
		}
	}
}

// Len returns the number of servers that are leaving or were.
func (ds *Departures) Len() int { return len(ds.entries) }

// DepartureReport reports to other daemons that a server has stated that it leaves.
type DepartureReport struct {
	// Server is the hash of the server's ID.
	Server uint64 `cbor:"1,keyasint"`
	// AgeMs is the time since it was last stated.
	AgeMs int64 `cbor:"2,keyasint,omitempty"`
}

// Merge applies the reports of another daemon and returns the servers that are new.
func (ds *Departures) Merge(reports []DepartureReport, now time.Duration) (added []uint64) {
	for _, r := range reports {
		if r.AgeMs < 0 || r.AgeMs > maxPause.Milliseconds() {
			continue
		}
		at := now - time.Duration(r.AgeMs)*time.Millisecond
		if d := ds.entries[r.Server]; d != nil && at-max(d.statedAt, d.endedAt) < reportSkew {
			continue
		}
		if ds.apply(r.Server, at, now) {
			added = append(added, r.Server)
		}
	}
	return added
}

// Reports returns the reports for a message to another daemon, those sent least first, or all
// departures for a daemon that just joined.
func (ds *Departures) Reports(recentlyJoined bool, now time.Duration) []DepartureReport {
	if recentlyJoined {
		return ds.reports(ds.initial(), now)
	}
	if len(ds.pending) == 0 {
		return nil
	}
	due := slices.Collect(maps.Keys(ds.pending))
	slices.SortFunc(due, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(ds.entries[b].sendsLeft, ds.entries[a].sendsLeft), cmp.Compare(a, b))
	})
	due = due[:min(len(due), maxDepartures)]
	for _, server := range due {
		d := ds.entries[server]
		if d.sendsLeft--; d.sendsLeft == 0 {
			delete(ds.pending, server)
		}
	}
	return ds.reports(due, now)
}

func (ds *Departures) initial() (servers []uint64) {
	for server, d := range ds.entries {
		if d.leaving() && len(servers) < maxInitialDepartures {
			servers = append(servers, server)
		}
	}
	return servers
}

func (ds *Departures) reports(servers []uint64, now time.Duration) []DepartureReport {
	out := make([]DepartureReport, len(servers))
	for i, server := range servers {
		out[i] = DepartureReport{Server: server, AgeMs: (now - ds.entries[server].statedAt).Milliseconds()}
	}
	return out
}
