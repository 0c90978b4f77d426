package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

const (
	// minBroadcastInterval is the minimum interval between two broadcasts of
	// quarantine updates, and broadcastFanout the number of daemons called in each.
	// minLimitBroadcastInterval is the interval for servers' limits, which change at many
	// servers at a time when a service is overloaded.
	minBroadcastInterval      = 100 * time.Millisecond
	minLimitBroadcastInterval = 200 * time.Millisecond
	broadcastFanout           = 4
)

// newGuard returns the guard that holds requests whose execution terminates servers.
func newGuard(d *Daemon) *containment.Guard {
	started := time.Now()
	return containment.New(containment.Options{
		BootTime: func() time.Duration { return time.Since(started) }, Logger: d.log,
		HasTerminated: func(ctx context.Context, s containment.Server) bool {
			return d.engine.RefusesConnections(ctx, s.Address) && d.confirmTermination(ctx, s.ID)
		},
		Leaving:      func(s containment.Server) bool { return d.balancer.isLeaving(s.ID) },
		OnTerminated: d.balancer.recordServerTerminated, ServersTerminated: d.metrics.serversTerminated, RequestsHeld: d.metrics.requestsHeld,
	})
}

// broadcastHolds sends quarantine updates to other daemons until the context ends.
func (d *Daemon) broadcastHolds(ctx context.Context) {
	d.guard.Broadcast(ctx, minBroadcastInterval, func(ctx context.Context) { d.members.exchangeWithRandom(ctx, broadcastFanout) })
}

// broadcastLimits sends urgent reports of servers' limits to other daemons until the context ends.
func (d *Daemon) broadcastLimits(ctx context.Context) {
	d.balancer.limitBroadcast.Run(ctx, minLimitBroadcastInterval, func(ctx context.Context) { d.members.exchangeWithRandom(ctx, broadcastFanout) })
}

// exchangeWithRandom exchanges heartbeats with up to n random live daemons.
func (m *memberlist) exchangeWithRandom(ctx context.Context, n int) {
	members := m.lockTable().Members()
	m.mu.Unlock()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, member := range members {
		if n > 0 && member.ID != m.d.settings.ID && member.State == membership.Alive {
			n--
			go func() { _ = m.exchangeHeartbeats(ctx, member.PeerAddress) }() // errors are ignored, as updates also spread through other daemons
		}
	}
}

// promptParts returns the encoded messages of a chat request, which other requests may share. A body
// without a list of messages has none.
func promptParts(body map[string]json.RawMessage) (parts [][]byte) {
	var messages []json.RawMessage
	if json.Unmarshal(body["messages"], &messages) != nil {
		return nil // the API has validated the body; without parts only the whole request is tracked
	}
	for _, m := range messages {
		parts = append(parts, m)
	}
	return parts
}

// checkHold returns the refusal of a held request, or nil.
func (d *Daemon) checkHold(id quarantine.Identity, state *request.RetryState) *fault.Error {
	status := d.guard.Check(id)
	if !status.Held {
		return nil
	}
	d.log.Info("held", "fingerprint", id.Request, "by", status.Suspect, "left_ms", status.Remaining.Milliseconds(), "attempts", state.Attempts())
	return withExecutionState(fault.New(fault.Quarantined, "servers ended that ran this request").WithRetryAfter(containment.RetryAfter(status)), state)
}

// withExecutionState sets the execution state of a refusal. A kind that implies that
// the request has not run is replaced by engine_failed if it may have run.
func withExecutionState(err *fault.Error, state *request.RetryState) *fault.Error {
	if state.ExecutionState() != fault.NotRun && fault.Lookup(err.Kind).Execution == fault.NotRun {
		err = fault.New(fault.EngineFailed, "%s", err.Detail).WithRetryAfter(err.RetryAfter)
	}
	return err.WithExecution(state.ExecutionState())
}

// containmentServer converts a candidate to the guard's type. Server ids are stable
// across restarts.
func containmentServer(cand routing.Candidate) containment.Server {
	return containment.Server{ID: cand.ID, Address: cand.Address}
}

// mayHaveStarted reports whether a server may run a request after the result of sending it.
func mayHaveStarted(err error) bool {
	return !errors.Is(err, engine.ErrNotConnected) && !errors.Is(err, engine.ErrNotStarted)
}

// containmentOutcome derives the outcome of an attempt from its last event. started
// is set if the server may have started the run.
func containmentOutcome(event request.AttemptEvent, complete, started bool) containment.Outcome {
	switch {
	case complete, event == request.AttemptRefused, event == request.RunFailed:
		return containment.Completed
	case event == request.ClientDisconnected:
		return containment.Canceled
	case event == request.ConnectFailed && !started:
		return containment.Completed
	}
	return containment.ConnectionLost
}

// isLeaving reports whether a server leaves, by the VM list or by its own statement.
func (b *balancer) isLeaving(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaves(id)
}

// recordServerTerminated records that the server with an incarnation key has terminated.
func (b *balancer) recordServerTerminated(key quarantine.IncarnationKey) {
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

// Holds returns the held requests.
func (d *Daemon) Holds() []quarantine.Hold { return d.guard.Holds() }

// AddHold holds a request at all daemons, on behalf of an operator.
func (d *Daemon) AddHold(fingerprint quarantine.Fingerprint) {
	d.guard.ApplyHold(fingerprint, quarantine.HoldTTL)
}

// ReleaseHold ends a hold at all daemons, on behalf of an operator.
func (d *Daemon) ReleaseHold(fingerprint quarantine.Fingerprint) { d.guard.Release(fingerprint) }
