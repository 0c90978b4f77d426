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
		RefusesConnections: func(ctx context.Context, s containment.Server) bool { return d.engine.Refuses(ctx, s.Address) },
		Leaving:            func(s containment.Server) bool { return d.balancer.isLeaving(s.ID) },
		OnTerminated:       d.balancer.recordTerminated, ServersTerminated: d.metrics.serversEnded, RequestsHeld: d.metrics.requestsHeld,
	})
}

// broadcastHolds broadcasts what was learned of requests that end servers, until the context ends.
func (d *Daemon) broadcastHolds(ctx context.Context) {
	d.guard.Broadcast(ctx, minBroadcastInterval, func(ctx context.Context) { d.members.exchangeWithRandom(ctx, broadcastFanOut) })
}

// exchangeWithRandom exchanges heartbeats with some daemons that live.
func (m *memberlist) exchangeWithRandom(ctx context.Context, n int) {
	members := m.lockTable().Members()
	m.mu.Unlock()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members {
		if n > 0 && member.ID != m.d.settings.ID && member.State == membership.Alive {
			n--
			go func() { _ = m.exchangeHeartbeats(ctx, member.PeerAddress) }() // a daemon that does not answer hears it from another
		}
	}
}

// checkHold returns the refusal of a request that is kept from servers, or nil. One that ran
// before is refused as failed, since the other refusal promises that it did not.
func (d *Daemon) checkHold(f quarantine.Fingerprint, state *request.RetryState) *fault.Error {
	status := d.guard.Check(f)
	if !status.Held {
		return nil
	}
	d.log.Info("held", "fingerprint", f, "left_ms", status.Remaining.Milliseconds(), "attempts", state.Attempts())
	return withExecutionState(fault.New(fault.Quarantined, "servers ended that ran this request").WithRetryAfter(containment.RetryAfter(status)), state)
}

// withExecutionState returns a refusal that says of the run what is so: a kind that promises that the
// request has not run is replaced once it may have.
func withExecutionState(err *fault.Error, state *request.RetryState) *fault.Error {
	if state.ExecutionState() != fault.NotRun && fault.Lookup(err.Kind).Execution == fault.NotRun {
		err = fault.New(fault.EngineFailed, "%s", err.Detail).WithRetryAfter(err.RetryAfter)
	}
	return err.WithExecution(state.ExecutionState())
}

// containmentServer names a server to the guard. Servers keep their name over a start.
func containmentServer(cand routing.Candidate) containment.Server {
	return containment.Server{ID: cand.ID, Address: cand.Address}
}

// containmentOutcome tells what became of an attempt from its last event; started says that the server
// had begun to answer.
func containmentOutcome(event request.AttemptEvent, complete, started bool) containment.Outcome {
	switch {
	case complete, event == request.AttemptRefused, event == request.RunFailed:
		return containment.Completed
	case event == request.CallerDisconnected:
		return containment.Canceled
	case event == request.ConnectFailed && !started:
		return containment.Completed
	}
	return containment.ConnectionLost
}

// isLeaving reports whether the platform says that a server leaves.
func (b *balancer) isLeaving(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving[id]
}

// recordTerminated books a server that has ended, under the key that daemons use between them.
func (b *balancer) recordTerminated(key quarantine.IncarnationKey) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		for _, cand := range p.load.Snapshot(nil, now) {
			if cand.ID != "" && containment.IncarnationKey(cand.ID) == key {
				p.load.RecordUnreachable(cand.ID, now)
				b.gate.ServerTerminated(cand.ID, b.uptime())
			}
		}
	}
}

// Holds lists the requests that are kept from servers.
func (d *Daemon) Holds() []quarantine.Hold { return d.guard.Holds() }

// AddHold keeps a request from servers by hand, at all daemons.
func (d *Daemon) AddHold(f quarantine.Fingerprint) { d.guard.ApplyHold(f, quarantine.HoldTTL) }

// ReleaseHold ends a hold by hand, at all daemons.
func (d *Daemon) ReleaseHold(f quarantine.Fingerprint) { d.guard.Release(f) }
