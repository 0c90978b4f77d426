// Package containment keeps requests from backend servers that end when they run them: it
// watches what a daemon has at which server, finds out whether one has ended, and joins the
// decisions of package quarantine to the daemon's sends and to the updates of other daemons.
package containment

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// ErrHeld ends sends of a request that is kept from servers.
var ErrHeld = errors.New("the request is kept from servers")

const (
	// probeTimeout bounds the question whether a server's VM refuses connections, and
	// endWait how long a lost request waits for the answer. Round trips are milliseconds.
	probeTimeout = 400 * time.Millisecond
	probeWait    = 50 * time.Millisecond
	// provisionalPeriod is how long a hold may still turn out to be due to another request. A
	// caller that comes back after it is answered if so.
	provisionalPeriod = 2 * time.Second
)

// Server is a run of a backend server.
type Server struct{ ID, Address string }

// Options are a guard's connections to its daemon.
type Options struct {
	// BootTime reads a clock that counts while the VM is suspended.
	BootTime func() time.Duration
	// RefusesConnections reports whether a server's VM refuses connections: the server has ended.
	RefusesConnections func(ctx context.Context, s Server) bool
	// Leaving reports whether a server has said that it leaves, or its entry has gone:
	// it ends as it said, and nothing is to blame.
	Leaving func(s Server) bool
	// OnTerminated is called when a server has ended.
	OnTerminated func(run quarantine.IncarnationKey)
	Logger       *log.Logger
	// ServersTerminated counts servers that ended with requests of this daemon, and Held shows how
	// many requests are held.
	ServersTerminated tally.Counter
	RequestsHeld      tally.Gauge
}

// Guard is one daemon's part.
type Guard struct {
	opts     Options
	attempts *attempts
	// pending says that there is something to tell.
	pending chan struct{}

	mu      sync.Mutex
	tracker *quarantine.Tracker
}

// New returns a guard that knows of no end.
func New(p Options) *Guard {
	return &Guard{opts: p, attempts: newAttempts(), pending: make(chan struct{}, 1), tracker: quarantine.NewTracker()}
}

// IncarnationKey names a run of a server among daemons.
func IncarnationKey(id string) quarantine.IncarnationKey {
	return quarantine.IncarnationKey(xxhash.Sum64String(id))
}

// Broadcast calls send whenever an update is pending, with a pause after each round, until the
// context ends. Each daemon that receives something new broadcasts it in turn, so that all of
// some hundred know within a few rounds.
func (g *Guard) Broadcast(ctx context.Context, pause time.Duration, send func(ctx context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.pending:
			send(ctx)
		}
		loop.Pause(ctx, pause)
	}
}

// requestBroadcast starts the next round, and does not wait.
func (g *Guard) requestBroadcast() {
	select {
	case g.pending <- struct{}{}:
	default: // a round is due already, and sends all there is
	}
}

// apply runs f on the ledger, and carries out what it has changed.
func (g *Guard) apply(f func(l *quarantine.Tracker, now time.Duration) quarantine.Change) {
	now := g.opts.BootTime()
	g.mu.Lock()
	c := f(g.tracker, now)
	g.mu.Unlock()
	for _, f := range c.Held {
		ended := g.attempts.cancel(f)
		g.opts.Logger.Warn("request held", "fingerprint", f, "ends", g.status(f).Crashes, "sends_ended", ended)
	}
	for _, f := range c.Released {
		g.opts.Logger.Warn("request no longer held", "fingerprint", f)
	}
	if len(c.Held)+len(c.Released) > 0 {
		g.opts.RequestsHeld.Update(float64(len(g.Holds())))
	}
	if c.Broadcast {
		g.requestBroadcast()
	}
}

// status returns what is known of a request.
func (g *Guard) status(f quarantine.Fingerprint) quarantine.Status {
	now := g.opts.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Status(f, now)
}

// Check returns what is known of a request that is about to be sent.
func (g *Guard) Check(f quarantine.Fingerprint) quarantine.Status {
	s := g.status(f)
	if s.Crashes == 0 || s.Held {
		return s
	}
	g.apply(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.Reevaluate(f, now) })
	return g.status(f)
}

// RetryAfter is when the caller of a held request should come back.
func RetryAfter(s quarantine.Status) time.Duration {
	if s.HeldFor < provisionalPeriod {
		return provisionalPeriod
	}
	return s.Remaining
}

// Begin records that a request is sent to a server. Cancel gives the send up.
func (g *Guard) Begin(s Server, f quarantine.Fingerprint, cancel context.CancelCauseFunc) *Attempt {
	return g.attempts.begin(s.ID, f, cancel)
}

// MarkForwarded records that something of a send's answer was passed on.
func (g *Guard) MarkForwarded(a *Attempt) { g.attempts.markForwarded(a) }

// End records what became of a send. For one whose connection broke it finds out whether
// the server has ended, and waits a little for that, so that the next send knows.
func (g *Guard) End(ctx context.Context, a *Attempt, s Server, o Outcome) {
	g.attempts.end(a, o)
	if o == ConnectionLost {
		g.awaitProbe(ctx, s)
	}
}

// RecordSuccess takes it that a request was answered in full.
func (g *Guard) RecordSuccess(f quarantine.Fingerprint) {
	g.apply(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.RecordSuccess(f, now) })
}

// awaitProbe asks, for a request whose connection broke, whether its server has ended: its VM
// then refuses connections. A connection that broke alone, an answer that was lost and a way
// that is cut look the same until then.
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
	refused := g.opts.RefusesConnections(ctx, s)
	if g.attempts.setTerminated(s.ID, refused) {
		g.serverTerminated(s)
	}
}

// serverTerminated takes it that a server has ended, with what this daemon had there.
func (g *Guard) serverTerminated(s Server) {
	list, leaving := g.attempts.suspects(s.ID, 0), g.opts.Leaving(s)
	how := "refuses connections"
	if leaving {
		how = "had said that it leaves"
	}
	g.reportTermination(s, how, list)
	g.opts.OnTerminated(IncarnationKey(s.ID))
	if !leaving {
		g.recordCrash(IncarnationKey(s.ID), 0, list)
	}
}

// reportTermination counts and logs the end of a server with requests of this daemon.
func (g *Guard) reportTermination(s Server, how string, list []*Attempt) {
	g.opts.ServersTerminated.Inc(1)
	g.opts.Logger.Warn("server ended", "server", s.ID, "address", s.Address, "how", how, "requests", len(list), "fingerprints", fingerprints(list))
}

// ServerRestarted takes it that a server has started again, so that its earlier run has ended. One
// that is back at once refuses no connection.
func (g *Guard) ServerRestarted(s Server) {
	if list, isNew := g.attempts.restarted(s.ID); isNew {
		g.reportTermination(s, "started again", list)
		g.recordCrash(IncarnationKey(s.ID), 0, list)
	}
}

// recordCrash takes it that a run of a server ended some time ago with requests of this daemon.
func (g *Guard) recordCrash(key quarantine.IncarnationKey, age time.Duration, list []*Attempt) {
	if len(list) == 0 {
		return
	}
	suspects := make([]quarantine.Fingerprint, 0, len(list))
	for _, a := range list {
		suspects = append(suspects, a.fingerprint)
	}
	g.apply(func(l *quarantine.Tracker, now time.Duration) quarantine.Change {
		return l.RecordCrash(key, now-age, suspects, now)
	})
}

// Update returns what is pending for another daemon, with all holds for one just met.
func (g *Guard) Update(newPeer bool) quarantine.Update {
	now := g.opts.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Update(now, newPeer)
}

// Merge applies another daemon's update. To the ends in it, this daemon adds what it
// had there itself.
func (g *Guard) Merge(u quarantine.Update) {
	if u.Empty() {
		return
	}
	g.apply(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.Merge(u, now) })
	for _, e := range u.Crashes {
		age := time.Duration(e.AgeMs) * time.Millisecond
		if list, isNew := g.attempts.peerReported(e.Incarnation, age); isNew {
			g.opts.OnTerminated(e.Incarnation)
			g.recordCrash(e.Incarnation, age, list)
		}
	}
}

// Holds lists the requests that are held.
func (g *Guard) Holds() []quarantine.Hold {
	now := g.opts.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Holds(now)
}

// ApplyHold takes it that a request is held for some time yet.
func (g *Guard) ApplyHold(f quarantine.Fingerprint, left time.Duration) {
	g.apply(func(l *quarantine.Tracker, now time.Duration) quarantine.Change {
		return l.ApplyHold(f, now, now+left, now)
	})
}

// Release ends the hold of a request by hand.
func (g *Guard) Release(f quarantine.Fingerprint) {
	g.apply(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.ApplyClearance(f, now, now) })
}
