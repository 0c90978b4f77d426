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

// newGuard returns what keeps requests from servers that end when they run them.
func newGuard(r *Relay) *containment.Guard {
	return containment.New(containment.Options{
		BootTime: r.State.boot, Logger: r.log, ServersTerminated: r.Metrics.ServersEnded, RequestsHeld: r.Metrics.Held,
		RefusesConnections: func(ctx context.Context, s containment.Server) bool { return r.backend.Refuses(ctx, s.Address) },
		Leaving:            func(s containment.Server) bool { return r.State.leaving(s.ID) },
		OnTerminated:       r.State.lost,
	})
}

// guarded names a server to the guard.
func guarded(b backend.Server) containment.Server {
	return containment.Server{ID: b.ID, Address: b.Address}
}

// held returns the refusal of a request that is kept from servers, or nil. Every way to a
// server leads past it: first sends, repeats, larger models, and streams that go on.
func (x *exchange) held() *fault.Error {
	x.standing = x.relay.Guard.Check(x.fingerprint)
	if !x.standing.Held {
		return nil
	}
	x.note("held", nil, "fingerprint", x.fingerprint, "left_ms", x.standing.Remaining.Milliseconds(), "sends", x.journey.Sends())
	return x.journey.Fail(fault.Quarantined, "servers ended that ran this request").WithRetryAfter(containment.RetryAfter(x.standing))
}

// fateOf tells what became of a send from its outcome.
func fateOf(ctx context.Context, o request.SendOutcome, done bool) containment.Outcome {
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

// lost books a server that has ended, under the key by which daemons tell of it.
func (s *State) lost(run quarantine.IncarnationKey) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.services {
		if id, known := sv.ids[ServerKey(run)]; known {
			sv.picture.RecordUnreachable(id, now)
			s.gate.ServerTerminated(id, s.boot())
		}
	}
}

// leaving reports whether a server has said that it leaves, or its entry has gone.
func (s *State) leaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.services {
		if b, known := sv.servers[id]; known {
			return b.Leaving
		}
	}
	return true
}
