package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

const (
	// checkInterval is how often silent servers are looked for.
	checkInterval = 100 * time.Millisecond
	// silenceTimeout is how long a server that has work of ours may be silent
	// before it is asked for a sign of life. A dark VM resets nothing, so
	// without asking every request there would wait for its deadline. Engines
	// that live send events every few tens of milliseconds under load.
	silenceTimeout = 500 * time.Millisecond
	// probeTimeout bounds the wait for the sign: round trips are milliseconds.
	probeTimeout = 300 * time.Millisecond
	// minOvertaken is how many requests that a server got later it must have begun
	// to answer before an unanswered one is taken for lost.
	minOvertaken = 1
	// minHeaderWait bounds from below how long an answer is waited for before.
	minHeaderWait = 250 * time.Millisecond
	// engineWaitFactor and plainPatience are that time as multiples of the expected
	// one. Engines answer in about the order of arrival; plain services take up to
	// five times as long for one request in a hundred.
	engineWaitFactor = 2
	plainWaitFactor  = 6
	// maxWaitFactor is how many times longer still a head is waited for if nothing
	// overtakes, and headPart the part of the route's latency target that is waited
	// for at least: a daemon may send a server little, so that nothing can overtake.
	maxWaitFactor   = 2
	minWaitFraction = 0.6
	// stallFraction is the part of a route's longest pause after which a stream is
	// continued elsewhere although its server lives: its connection may have
	// gone silent for good while new ones work.
	stallFraction = 0.9
	// defaultStallTimeout is the longest pause where the route states none.
	defaultStallTimeout = 2 * time.Second
)

// livenessMonitor looks for servers and connections that have gone silent.
type livenessMonitor struct {
	state   *State
	backend Backend
	log     *log.Logger
	metrics *Metrics

	mu           sync.Mutex
	servers      map[string]*monitoredServer
	lastActivity map[string]time.Time
}

// monitoredServer is one server with unfinished work.
type monitoredServer struct {
	attempts map[*attempt]bool
	// lastProbe is the last sign of life that was asked for.
	lastProbe time.Time
	probing   bool
}

// attempt is one send that is waiting for its server.
type attempt struct {
	target *target
	engine bool
	sentAt time.Time
	// reroute ends the send if the request may go on elsewhere. Lost says that the
	// server shows no sign of life.
	reroute      func(lost bool) bool
	stallTimeout time.Duration
	// priority is the rank the server was given; the first goes first.
	priority int
	// overtakenTimeout is how long the head is waited for if others overtake, and limit
	// how long if none do.
	overtakenTimeout, headerTimeout time.Duration
	// overtaken counts later sends to the server that were answered first.
	overtaken int
	// progressNanos is when the last bytes of the body came; 0 before the head.
	progressNanos atomic.Int64
	rerouted      bool
}

func (a *attempt) recordProgress() { a.progressNanos.Store(time.Since(a.sentAt).Nanoseconds() + 1) }

// lastProgress returns when the attempt last made progress, and whether it is answered.
func (a *attempt) lastProgress() (time.Time, bool) {
	n := a.progressNanos.Load()
	return a.sentAt.Add(time.Duration(n)), n > 0
}

func newLivenessMonitor(s *State, b Backend, l *log.Logger, m *Metrics) *livenessMonitor {
	return &livenessMonitor{state: s, backend: b, log: l, metrics: m, servers: map[string]*monitoredServer{}, lastActivity: map[string]time.Time{}}
}

func (w *livenessMonitor) recordActivity(address string) {
	w.mu.Lock()
	w.lastActivity[address] = time.Now()
	w.mu.Unlock()
}

// recordHeader records the head of an answer. Unanswered requests that the server got
// before, and that it would not put behind this one, have been overtaken: their
// answers may be lost on a connection that stays open.
func (w *livenessMonitor) recordHeader(a *attempt) {
	a.recordProgress()
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.servers[a.target.server.ID]
	if v == nil {
		return
	}
	for other := range v.attempts {
		if _, done := other.lastProgress(); !done && other.sentAt.Before(a.sentAt) && other.priority <= a.priority {
			other.overtaken++
		}
	}
}

func (w *livenessMonitor) track(t *target, engine bool, rt *route.Route, urgency int, move func(lost bool) bool) *attempt {
	a := &attempt{target: t, engine: engine, sentAt: time.Now(), reroute: move, stallTimeout: defaultStallTimeout, priority: urgency}
	first, _ := w.state.typicalLatency(t, engine)
	a.overtakenTimeout = time.Duration(plainWaitFactor * first * float64(time.Second))
	if engine {
		a.overtakenTimeout = engineWaitFactor * max(t.expectedLatency, time.Duration(first*float64(time.Second)))
	}
	a.overtakenTimeout = max(a.overtakenTimeout, minHeaderWait)
	a.headerTimeout = max(maxWaitFactor*a.overtakenTimeout, time.Duration(minWaitFraction*float64(rt.LatencyTarget)))
	if rt.GapTarget > 0 {
		a.stallTimeout = time.Duration(stallFraction * float64(rt.GapTarget))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.servers[t.server.ID]
	if v == nil {
		v = &monitoredServer{attempts: map[*attempt]bool{}}
		w.servers[t.server.ID] = v
	}
	v.attempts[a] = true
	return a
}

func (w *livenessMonitor) untrack(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := a.target.server.ID
	v := w.servers[id]
	if v == nil {
		return
	}
	delete(v.attempts, a)
	if len(v.attempts) == 0 && !v.probing {
		delete(w.servers, id)
		delete(w.lastActivity, a.target.server.Address)
	}
}

// rerouteWaiting moves what waits for a run of a server that has ended. The server that started
// again under its name knows nothing of it, so that no answer is coming: without this each
// request would wait for its sign of life, or its deadline. A stream whose events still
// come is served by some run, and stays.
func (w *livenessMonitor) rerouteWaiting(id string, now time.Time) (moved int) {
	w.mu.Lock()
	var waiting []*attempt
	if v := w.servers[id]; v != nil {
		for a := range v.attempts {
			if at, answered := a.lastProgress(); !answered || now.Sub(at) >= recentProgress {
				waiting = append(waiting, a)
			}
		}
	}
	w.mu.Unlock()
	for _, a := range waiting {
		if a.reroute(true) {
			moved++
		}
	}
	return moved
}

func (w *livenessMonitor) run(ctx context.Context) { loop.Every(ctx, checkInterval, w.check) }

// check asks silent servers for a sign of life and moves stalled streams.
func (w *livenessMonitor) check(ctx context.Context, now time.Time) {
	var probes, stalled []*attempt
	w.mu.Lock()
	for _, v := range w.servers {
		if a := w.silentAttempt(v, now); a != nil {
			v.probing = true
			probes = append(probes, a)
		}
		for a := range v.attempts {
			if a.stuck(now, v.progressing(now)) {
				stalled = append(stalled, a)
			}
		}
	}
	w.mu.Unlock()
	for _, a := range probes {
		go w.probe(ctx, a)
	}
	for _, a := range stalled {
		if a.reroute(false) {
			a.rerouted = true
			w.log.Warn("request stuck, moved", "server", a.target.server.ID, "model", a.target.model, "overtaken", a.overtaken, "waited_ms", now.Sub(a.sentAt).Milliseconds(), "expected_ms", a.target.expectedLatency.Milliseconds())
			w.metrics.SendsRerouted.Inc(1)
		}
	}
}

// stuck reports whether an attempt is to go on elsewhere although its server
// lives: its stream has paused for too long while others go on, or its answer is
// lost. A server on which all streams pause is only busy, and would be as busy with
// reading them again.
func (a *attempt) stuck(now time.Time, othersProgress bool) bool {
	at, answered := a.lastProgress()
	switch {
	case a.rerouted:
		return false
	case answered:
		return a.engine && othersProgress && now.Sub(at) > a.stallTimeout
	}
	waited := now.Sub(a.sentAt)
	return waited > a.headerTimeout || a.overtaken >= minOvertaken && waited > a.overtakenTimeout
}

// progressing reports whether any stream of the server has had an event just now.
func (v *monitoredServer) progressing(now time.Time) bool {
	for a := range v.attempts {
		if at, answered := a.lastProgress(); answered && now.Sub(at) < recentProgress {
			return true
		}
	}
	return false
}

// recentProgress is how recent progress must be: some steps of a busy engine.
const recentProgress = 300 * time.Millisecond

// silentAttempt returns an attempt on a server that has been silent too long, or nil.
// Callers hold mu.
func (w *livenessMonitor) silentAttempt(v *monitoredServer, now time.Time) *attempt {
	if v.probing || now.Sub(v.lastProbe) < 2*silenceTimeout {
		return nil
	}
	var oldest *attempt
	for a := range v.attempts {
		if oldest == nil || a.sentAt.Before(oldest.sentAt) {
			oldest = a
		}
	}
	if oldest == nil || now.Sub(oldest.sentAt) < silenceTimeout {
		return nil
	}
	if now.Sub(w.lastActivity[oldest.target.server.Address]) < silenceTimeout {
		return nil
	}
	return oldest
}

// probe wants a sign of life; without one, every request there goes on elsewhere.
func (w *livenessMonitor) probe(ctx context.Context, a *attempt) {
	w.metrics.Probes.Inc(1)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	err := w.backend.Probe(probeCtx, a.target.server, a.engine)
	cancel()
	id := a.target.server.ID
	var waiting []*attempt
	w.mu.Lock()
	if v := w.servers[id]; v != nil {
		v.probing, v.lastProbe = false, time.Now()
		if err != nil {
			for other := range v.attempts {
				waiting = append(waiting, other)
			}
		}
		if len(v.attempts) == 0 {
			delete(w.servers, id)
		}
	}
	w.mu.Unlock()
	if err == nil || ctx.Err() != nil {
		return
	}
	w.log.Warn("server silent", "server", id, "requests", len(waiting), "err", err)
	w.state.markUnreachable(a.target)
	for _, other := range waiting {
		other.reroute(true)
	}
}
