// Package containment protects backend servers from requests that crash them. It tracks the
// requests that a daemon has sent to each server, detects terminated servers, reports the
// suspects to package quarantine, and exchanges crashes and holds with other daemons.
package containment

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// ErrHeld is the cancellation cause of sends of a held request.
var ErrHeld = errors.New("request is held: servers crashed while running it")

const (
	// probeTimeout bounds the check whether a server refuses connections, and probeWait how
	// long a send that lost its connection waits for the result.
	probeTimeout = 400 * time.Millisecond
	probeWait    = 50 * time.Millisecond
	// provisionalPeriod is how long a hold may still be released in favor of another request.
	provisionalPeriod = 2 * time.Second
)

// Server is one incarnation of a backend server.
type Server struct{ ID, Address string }

// Options are the dependencies of a Guard.
type Options struct {
	// BootTime reads a clock that advances while the VM is suspended.
	BootTime func() time.Duration
	// HasTerminated reports whether a server's process has ended. A lost link of this daemon to the
	// server must not be taken for it.
	HasTerminated func(ctx context.Context, s Server) bool
	// Leaving reports whether a server has announced that it leaves, or its entry is gone. Its
	// termination is then not a crash.
	Leaving func(s Server) bool
	// OnTerminated is called when a server has terminated.
	OnTerminated func(key quarantine.IncarnationKey)
	Logger       *log.Logger
	// ServersTerminated counts servers that terminated with requests of this daemon, and
	// RequestsHeld is the number of held requests.
	ServersTerminated tally.Counter
	RequestsHeld      tally.Gauge
}

// Guard tracks sends and holds for one daemon. It is safe for concurrent use.
type Guard struct {
	opts     Options
	attempts *attemptRegistry
	// pending signals that an update is to be broadcast.
	pending loop.Signal

	mu      sync.Mutex
	tracker *quarantine.Tracker
}

// New returns a guard without recorded crashes or holds.
func New(opts Options) *Guard {
	return &Guard{opts: opts, attempts: newAttemptRegistry(), pending: loop.NewSignal(), tracker: quarantine.NewTracker()}
}

// IncarnationKey returns the key of a server ID in messages between daemons.
func IncarnationKey(id string) quarantine.IncarnationKey {
	return quarantine.IncarnationKey(xxhash.Sum64String(id))
}

// Broadcast calls send whenever an update is pending, with a pause after each round, until
// the context is done. Daemons rebroadcast what is new to them.
func (g *Guard) Broadcast(ctx context.Context, pause time.Duration, send func(ctx context.Context)) {
	g.pending.Run(ctx, pause, send)
}

// apply runs update on the tracker and carries out the change: it cancels sends of newly held
// requests, logs, updates metrics and schedules a broadcast.
func (g *Guard) apply(update func(t *quarantine.Tracker, now time.Duration) quarantine.Change) {
	now := g.opts.BootTime()
	g.mu.Lock()
	c := update(g.tracker, now)
	g.mu.Unlock()
	for _, f := range c.Held {
		canceled := g.attempts.cancel(f)
		g.opts.Logger.Warn("request held", "fingerprint", f, "part", f.IsPart(), "ends", g.status(f).Crashes, "in_turn", g.status(f).InTurn, "left_ms", g.status(f).Remaining.Milliseconds(), "sends_ended", canceled)
	}
	for _, f := range c.Released {
		g.opts.Logger.Warn("request hold released", "fingerprint", f, "part", f.IsPart())
	}
	if len(c.Held)+len(c.Released) > 0 {
		g.opts.RequestsHeld.Update(float64(len(g.Holds())))
	}
	if c.Broadcast {
		g.pending.Request()
	}
}

func (g *Guard) status(f quarantine.Fingerprint) quarantine.Status {
	now := g.opts.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Status(f, now)
}

// Check returns the status of a request that is about to be sent. If the request is a
// suspect but not held, it re-evaluates the attribution of crashes first.
func (g *Guard) Check(id quarantine.Identity) quarantine.Status {
	s := g.identityStatus(id)
	if s.Crashes == 0 || s.Held {
		return s
	}
	g.apply(func(t *quarantine.Tracker, now time.Duration) quarantine.Change { return t.Reevaluate(s.Suspect, now) })
	return g.identityStatus(id)
}

func (g *Guard) identityStatus(id quarantine.Identity) quarantine.Status {
	now := g.opts.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.IdentityStatus(id, now)
}

// RetryAfter returns when the caller of a held request should retry. Until its turn, that is when the
// turn begins.
func RetryAfter(s quarantine.Status) time.Duration {
	if s.HeldFor < provisionalPeriod && !s.InTurn {
		return provisionalPeriod
	}
	return s.Remaining
}

// Begin records the start of a send. cancel must abort it.
func (g *Guard) Begin(s Server, id quarantine.Identity, cancel context.CancelCauseFunc) *Attempt {
	return g.attempts.begin(s.ID, id, cancel)
}

// MarkForwarded records that part of the response was forwarded to the caller.
func (g *Guard) MarkForwarded(a *Attempt) { g.attempts.markForwarded(a) }

// End records the outcome of a send. If its connection was lost, End waits up to probeWait
// for a check whether the server has terminated.
func (g *Guard) End(ctx context.Context, a *Attempt, s Server, o Outcome) {
	g.attempts.end(a, o)
	if o == ConnectionLost {
		g.awaitProbe(ctx, s)
	}
}

// RecordSuccess records that a request was answered in full, which clears it and the parts of its
// prompt.
func (g *Guard) RecordSuccess(id quarantine.Identity) {
	g.apply(func(t *quarantine.Tracker, now time.Duration) (out quarantine.Change) {
		for _, f := range id.All() {
			out = out.Merge(t.RecordSuccess(f, now))
		}
		return out
	})
}

// awaitProbe checks whether a server has terminated, which a lost connection alone does not
// show: its VM then refuses connections. Concurrent callers share one probe.
func (g *Guard) awaitProbe(ctx context.Context, s Server) {
	done, first := g.attempts.startProbe(s.ID)
	if first {
		go g.probe(s)
	}
	limit := time.NewTimer(probeWait)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	case <-ctx.Done():
	}
}

func (g *Guard) probe(s Server) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	terminated := g.opts.HasTerminated(ctx, s)
	isNew := g.attempts.setTerminated(s.ID, terminated)
	if isNew {
		g.serverTerminated(s)
	}
	g.attempts.finishProbe(s.ID, isNew)
}

// serverTerminated reports a termination, and records it as a crash unless the server has
// announced that it leaves.
func (g *Guard) serverTerminated(s Server) {
	list, leaving := g.attempts.suspects(s.ID, 0), g.opts.Leaving(s)
	how := "refuses connections"
	if leaving {
		how = "left as announced"
	}
	g.reportTermination(s, how, list)
	g.opts.OnTerminated(IncarnationKey(s.ID))
	if !leaving {
		g.recordCrash(IncarnationKey(s.ID), 0, list)
	}
}

// reportTermination counts and logs the termination of a server.
func (g *Guard) reportTermination(s Server, how string, list []*Attempt) {
	g.opts.ServersTerminated.Inc(1)
	g.opts.Logger.Warn("server ended", "server", s.ID, "address", s.Address, "how", how, "requests", len(list), "fingerprints", fingerprints(list), "parts", commonParts(list))
}

// ServerRestarted records that a server has restarted, so its previous incarnation has
// terminated. A fast restart is not noticed by probes.
func (g *Guard) ServerRestarted(s Server) {
	if list, isNew := g.attempts.restarted(s.ID); isNew {
		g.reportTermination(s, "restarted", list)
		g.recordCrash(IncarnationKey(s.ID), 0, list)
		g.attempts.finishProbe(s.ID, true)
	}
}

// recordCrash records a crash some time ago with the attempts that may have caused it.
func (g *Guard) recordCrash(key quarantine.IncarnationKey, age time.Duration, list []*Attempt) {
	if len(list) == 0 {
		return
	}
	suspects := make([]quarantine.Fingerprint, 0, len(list))
	for _, a := range list {
		suspects = append(suspects, a.identity.All()...)
	}
	slices.Sort(suspects)
	suspects = slices.Compact(suspects)
	g.apply(func(t *quarantine.Tracker, now time.Duration) quarantine.Change {
		return t.RecordCrash(key, now-age, suspects, now)
	})
}

// Update returns what is to be broadcast, and all holds for a new peer.
func (g *Guard) Update(newPeer bool) quarantine.Update {
	now := g.opts.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Update(now, newPeer)
}

// Merge applies an update of another daemon, and adds this daemon's own attempts to the
// suspects of the crashes in it.
func (g *Guard) Merge(u quarantine.Update) {
	if u.Empty() {
		return
	}
	g.apply(func(t *quarantine.Tracker, now time.Duration) quarantine.Change { return t.Merge(u, now) })
	for _, c := range u.Crashes {
		age := time.Duration(c.AgeMs) * time.Millisecond
		if list, isNew := g.attempts.peerReported(c.Incarnation, age); isNew {
			g.opts.OnTerminated(c.Incarnation)
			g.recordCrash(c.Incarnation, age, list)
			g.attempts.finishPeerReport(c.Incarnation)
		}
	}
}

// Holds lists the held requests.
func (g *Guard) Holds() []quarantine.Hold {
	now := g.opts.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Holds(now)
}

// ApplyHold holds a request for the given time, as recorded in the store.
func (g *Guard) ApplyHold(f quarantine.Fingerprint, remaining time.Duration) {
	g.apply(func(t *quarantine.Tracker, now time.Duration) quarantine.Change {
		return t.ApplyHold(f, now, now+remaining, now)
	})
}

// Release removes the hold of a request for an operator.
func (g *Guard) Release(f quarantine.Fingerprint) {
	g.apply(func(t *quarantine.Tracker, now time.Duration) quarantine.Change { return t.ApplyClearance(f, now, now) })
}
