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
	// refusesLimit bounds the question whether a server's VM refuses connections, and
	// endWait how long a lost request waits for the answer. Round trips are milliseconds.
	refusesLimit = 400 * time.Millisecond
	endWait      = 50 * time.Millisecond
	// provisional is how long a hold may still turn out to be due to another request. A
	// caller that comes back after it is answered if so.
	provisional = 2 * time.Second
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
	ports Options
	runs  *runs
	// pending says that there is something to tell.
	pending chan struct{}

	mu     sync.Mutex
	ledger *quarantine.Tracker
}

// New returns a guard that knows of no end.
func New(p Options) *Guard {
	return &Guard{ports: p, runs: newRuns(), pending: make(chan struct{}, 1), ledger: quarantine.NewTracker()}
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

// with runs f on the ledger, and carries out what it has changed.
func (g *Guard) with(f func(l *quarantine.Tracker, now time.Duration) quarantine.Change) {
	now := g.ports.BootTime()
	g.mu.Lock()
	c := f(g.ledger, now)
	g.mu.Unlock()
	for _, f := range c.Held {
		ended := g.runs.cancel(f)
		g.ports.Logger.Warn("request held", "fingerprint", f, "ends", g.standing(f).Crashes, "sends_ended", ended)
	}
	for _, f := range c.Released {
		g.ports.Logger.Warn("request no longer held", "fingerprint", f)
	}
	if len(c.Held)+len(c.Released) > 0 {
		g.ports.RequestsHeld.Update(float64(len(g.Holds())))
	}
	if c.Broadcast {
		g.requestBroadcast()
	}
}

// standing returns what is known of a request.
func (g *Guard) standing(f quarantine.Fingerprint) quarantine.Status {
	now := g.ports.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Status(f, now)
}

// Check returns what is known of a request that is about to be sent.
func (g *Guard) Check(f quarantine.Fingerprint) quarantine.Status {
	s := g.standing(f)
	if s.Crashes == 0 || s.Held {
		return s
	}
	g.with(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.Reevaluate(f, now) })
	return g.standing(f)
}

// RetryAfter is when the caller of a held request should come back.
func RetryAfter(s quarantine.Status) time.Duration {
	if s.HeldFor < provisional {
		return provisional
	}
	return s.Remaining
}

// Begin records that a request is sent to a server. Cancel gives the send up.
func (g *Guard) Begin(s Server, f quarantine.Fingerprint, cancel context.CancelCauseFunc) *Attempt {
	return g.runs.enter(s.ID, f, cancel)
}

// MarkForwarded records that something of a send's answer was passed on.
func (g *Guard) MarkForwarded(u *Attempt) { g.runs.pass(u) }

// End records what became of a send. For one whose connection broke it finds out whether
// the server has ended, and waits a little for that, so that the next send knows.
func (g *Guard) End(ctx context.Context, u *Attempt, s Server, f Outcome) {
	g.runs.leave(u, f)
	if f == ConnectionLost {
		g.findOut(ctx, s)
	}
}

// RecordSuccess takes it that a request was answered in full.
func (g *Guard) RecordSuccess(f quarantine.Fingerprint) {
	g.with(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.RecordSuccess(f, now) })
}

// findOut asks, for a request whose connection broke, whether its server has ended: its VM
// then refuses connections. A connection that broke alone, an answer that was lost and a way
// that is cut look the same until then.
func (g *Guard) findOut(ctx context.Context, s Server) {
	known, first := g.runs.ask(s.ID)
	if first {
		go g.askRefuses(s)
	}
	limit := time.NewTimer(endWait)
	defer limit.Stop()
	select {
	case <-known:
	case <-limit.C:
	case <-ctx.Done():
	}
}

func (g *Guard) askRefuses(s Server) {
	ctx, cancel := context.WithTimeout(context.Background(), refusesLimit)
	defer cancel()
	ended := g.ports.RefusesConnections(ctx, s)
	if g.runs.answer(s.ID, ended) {
		g.serverEnded(s)
	}
}

// serverEnded takes it that a server has ended, with what this daemon had there.
func (g *Guard) serverEnded(s Server) {
	list, leaving := g.runs.suspects(s.ID, 0), g.ports.Leaving(s)
	how := "refuses connections"
	if leaving {
		how = "had said that it leaves"
	}
	g.noteEnd(s, how, list)
	g.ports.OnTerminated(IncarnationKey(s.ID))
	if !leaving {
		g.ended(IncarnationKey(s.ID), 0, list)
	}
}

// noteEnd counts and logs the end of a server with requests of this daemon.
func (g *Guard) noteEnd(s Server, how string, list []*Attempt) {
	g.ports.ServersTerminated.Inc(1)
	g.ports.Logger.Warn("server ended", "server", s.ID, "address", s.Address, "how", how, "requests", len(list), "fingerprints", fingerprints(list))
}

// ServerRestarted takes it that a server has started again, so that its earlier run has ended. One
// that is back at once refuses no connection.
func (g *Guard) ServerRestarted(s Server) {
	if list, news := g.runs.restarted(s.ID); news {
		g.noteEnd(s, "started again", list)
		g.ended(IncarnationKey(s.ID), 0, list)
	}
}

// ended takes it that a run of a server ended some time ago with requests of this daemon.
func (g *Guard) ended(run quarantine.IncarnationKey, age time.Duration, list []*Attempt) {
	if len(list) == 0 {
		return
	}
	suspects := make([]quarantine.Fingerprint, 0, len(list))
	for _, u := range list {
		suspects = append(suspects, u.fingerprint)
	}
	g.with(func(l *quarantine.Tracker, now time.Duration) quarantine.Change {
		return l.RecordCrash(run, now-age, suspects, now)
	})
}

// Update returns what is pending for another daemon, with all holds for one just met.
func (g *Guard) Update(justMet bool) quarantine.Update {
	now := g.ports.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Update(now, justMet)
}

// Merge applies another daemon's update. To the ends in it, this daemon adds what it
// had there itself.
func (g *Guard) Merge(w quarantine.Update) {
	if w.Empty() {
		return
	}
	g.with(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.Merge(w, now) })
	for _, e := range w.Crashes {
		age := time.Duration(e.AgeMs) * time.Millisecond
		if list, news := g.runs.reportedEnd(e.Incarnation, age); news {
			g.ports.OnTerminated(e.Incarnation)
			g.ended(e.Incarnation, age, list)
		}
	}
}

// Holds lists the requests that are held.
func (g *Guard) Holds() []quarantine.Hold {
	now := g.ports.BootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Holds(now)
}

// ApplyHold takes it that a request is held for some time yet.
func (g *Guard) ApplyHold(f quarantine.Fingerprint, left time.Duration) {
	g.with(func(l *quarantine.Tracker, now time.Duration) quarantine.Change {
		return l.ApplyHold(f, now, now+left, now)
	})
}

// Release ends the hold of a request by hand.
func (g *Guard) Release(f quarantine.Fingerprint) {
	g.with(func(l *quarantine.Tracker, now time.Duration) quarantine.Change { return l.ApplyClearance(f, now, now) })
}
