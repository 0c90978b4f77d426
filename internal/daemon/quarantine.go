package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

const (
	// minBroadcastInterval is the least time between two rounds in which this daemon calls others
	// to broadcast what it has learned of requests that end servers, and broadcastFanOut how many it
	// calls in each.
	minBroadcastInterval = 100 * time.Millisecond
	broadcastFanOut      = 4
)

// newGuard returns what keeps requests from servers that end when they run them.
func newGuard(d *Daemon) *containment.Guard {
	started := time.Now()
	return containment.New(containment.Options{
		BootTime: func() time.Duration { return time.Since(started) }, Logger: d.log,
		RefusesConnections: func(ctx context.Context, s containment.Server) bool {
			return d.engine.ConnectionRefused(ctx, s.Address)
		},
		Leaving:      func(s containment.Server) bool { return d.pools.isLeaving(s.ID) },
		OnTerminated: d.pools.lost, ServersTerminated: d.metrics.serversEnded, RequestsHeld: d.metrics.requestsHeld,
	})
}

// broadcastHolds broadcasts what was learned of requests that end servers, until the context ends.
func (d *Daemon) broadcastHolds(ctx context.Context) {
	d.guard.Broadcast(ctx, minBroadcastInterval, func(ctx context.Context) { d.members.exchangeWithSome(ctx, broadcastFanOut) })
}

// exchangeWithSome exchanges heartbeats with some daemons that live.
func (m *members) exchangeWithSome(ctx context.Context, n int) {
	rows := m.current().Members()
	m.mu.Unlock()
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	for _, r := range rows {
		if n > 0 && r.ID != m.d.settings.ID && r.State == membership.Alive {
			n--
			go func() { _ = m.exchange(ctx, r.PeerAddress) }() // a daemon that does not answer hears it from another
		}
	}
}

// held returns the refusal of a request that is kept from servers, or nil. One that ran
// before is refused as failed, since the other refusal promises that it did not.
func (d *Daemon) held(f quarantine.Fingerprint, life *request.RetryState) *fault.Error {
	s := d.guard.Check(f)
	if !s.Held {
		return nil
	}
	d.log.Info("held", "fingerprint", f, "left_ms", s.Remaining.Milliseconds(), "attempts", life.Attempts())
	return truthful(fault.New(fault.Quarantined, "servers ended that ran this request").WithRetryAfter(containment.RetryAfter(s)), life)
}

// truthful returns a refusal that says of the run what is so: a kind that promises that the
// request has not run is replaced once it may have.
func truthful(e *fault.Error, life *request.RetryState) *fault.Error {
	if life.ExecutionState() != fault.NotRun && fault.Lookup(e.Kind).Execution == fault.NotRun {
		e = fault.New(fault.EngineFailed, "%s", e.Detail).WithRetryAfter(e.RetryAfter)
	}
	return e.WithExecution(life.ExecutionState())
}

// guarded names a server to the guard. Servers keep their name over a start.
func guarded(c routing.Candidate) containment.Server {
	return containment.Server{ID: c.ID, Address: c.Address}
}

// fateOf tells what became of an attempt from its last event; started says that the server
// had begun to answer.
func fateOf(e request.AttemptEvent, complete, started bool) containment.Outcome {
	switch {
	case complete, e == request.AttemptRefused, e == request.RunFailed:
		return containment.Completed
	case e == request.CallerDisconnected:
		return containment.Canceled
	case e == request.ConnectFailed && !started:
		return containment.Completed
	}
	return containment.ConnectionLost
}

// isLeaving reports whether the platform says that a server leaves.
func (p *pools) isLeaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving[id]
}

// lost books a server that has ended, under the key that daemons use between them.
func (p *pools) lost(run quarantine.IncarnationKey) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, st := range p.byName {
		for _, c := range st.picture.Snapshot(nil, now) {
			if c.ID != "" && containment.IncarnationKey(c.ID) == run {
				st.picture.RecordUnreachable(c.ID, now)
				p.gate.ServerTerminated(c.ID, p.boot())
			}
		}
	}
}

// Holds lists the requests that are kept from servers.
func (d *Daemon) Holds() []quarantine.Hold { return d.guard.Holds() }

// Hold keeps a request from servers by hand, at all daemons.
func (d *Daemon) Hold(f quarantine.Fingerprint) { d.guard.ApplyHold(f, quarantine.HoldTTL) }

// Release ends a hold by hand, at all daemons.
func (d *Daemon) Release(f quarantine.Fingerprint) { d.guard.Release(f) }
