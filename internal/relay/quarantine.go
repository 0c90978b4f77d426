package relay

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
)

// newGuard returns the guard that quarantines requests suspected of crashing servers.
func newGuard(r *Relay) *containment.Guard {
	return containment.New(containment.Options{
		BootTime: r.State.bootTime, Logger: r.log, ServersTerminated: r.Metrics.ServersTerminated, RequestsHeld: r.Metrics.RequestsHeld,
		HasTerminated: r.hasTerminated,
		Leaving:       func(s containment.Server) bool { return r.State.isLeaving(s.ID) },
		OnTerminated: func(run quarantine.IncarnationKey) {
			r.State.recordIncarnationTerminated(run)
			r.recordBytesAtEnd(run)
			r.limitBroadcast.Request()
		},
	})
}

// containmentServer converts a server to the guard's type.
func containmentServer(b backend.Server) containment.Server {
	return containment.Server{ID: b.ID, Address: b.Address}
}

// checkHold returns the refusal of a quarantined request, or nil. It runs before
// every send: first sends, retries, escalations and resumed streams.
func (x *exchange) checkHold() *fault.Error {
	x.quarantineStatus = x.relay.Guard.Check(x.identity)
	if !x.quarantineStatus.Held {
		return nil
	}
	x.logEvent("held", nil, "fingerprint", x.identity.Request, "by", x.quarantineStatus.Suspect, "left_ms", x.quarantineStatus.Remaining.Milliseconds(), "sends", x.retryState.Sends())
	return x.retryState.Fail(fault.Quarantined, "servers ended that ran this request").WithRetryAfter(containment.RetryAfter(x.quarantineStatus))
}

// containmentOutcome maps the outcome of a send to the containment outcome of its run.
func containmentOutcome(ctx context.Context, o request.SendOutcome, done bool) containment.Outcome {
	switch {
	case done, o == request.NotStarted:
		return containment.Completed
	case o == request.LowConfidence, ctx.Err() != nil:
		return containment.Canceled
	case o == request.ResponseLost, o == request.Truncated:
		return containment.ConnectionLost
	}
	return containment.Completed
}

// recordIncarnationTerminated records the end of a server, identified by its key in reports of peers.
func (s *State) recordIncarnationTerminated(run quarantine.IncarnationKey) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.services {
		sv := s.serviceFor(name)
		if id, known := sv.idByKey[ServerKey(run)]; known {
			sv.tracker.RecordUnreachable(id, now)
			s.gate.ServerTerminated(id, s.bootTime())
		}
	}
}

// isLeaving reports whether a server has announced that it leaves or has no entry.
func (s *State) isLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, known := s.registry.ByID(id, s.bootTime()); known {
		return s.leaves(b)
	}
	return true
}
