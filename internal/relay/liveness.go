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
	// checkInterval is the interval between checks for silent servers.
	checkInterval = 100 * time.Millisecond
	// silenceTimeout is how long a server with requests in flight may be silent before
	// it is probed. A VM that has crashed resets no connections, so without a probe
	// its requests would wait for their deadlines.
	silenceTimeout = 500 * time.Millisecond
	// probeTimeout limits the wait for the response to a probe.
	probeTimeout = 300 * time.Millisecond
	// minOvertaken is the number of later requests a server must have responded to
	// before an earlier one without response is considered lost.
	minOvertaken = 1
	// minHeaderWait is the least overtakenTimeout.
	minHeaderWait = 250 * time.Millisecond
	// engineWaitFactor and plainWaitFactor are the overtakenTimeout as a multiple of
	// the expected latency. Engines respond roughly in order of arrival; the latency
	// of plain services varies more.
	engineWaitFactor = 2
	plainWaitFactor  = 6
	// maxWaitFactor is the headerTimeout as a multiple of the overtakenTimeout, and
	// minWaitFraction its least value as a fraction of the route's latency target. It
	// applies if the daemon sends the server too little for requests to be overtaken.
	maxWaitFactor   = 2
	minWaitFraction = 0.6
	// stallFraction is the fraction of a route's gap target after which a stalled
	// stream is resumed elsewhere although its server is alive: its connection may
	// be dead while new ones work.
	stallFraction = 0.9
	// defaultStallTimeout applies to routes without a gap target.
	defaultStallTimeout = 2 * time.Second
)

// livenessMonitor detects servers and connections that have gone silent.
type livenessMonitor struct {
	state   *State
	backend Backend
	log     *log.Logger
	metrics *Metrics

	mu           sync.Mutex
	servers      map[string]*monitoredServer
	lastActivity map[string]time.Time
}

// monitoredServer is a server with requests in flight.
type monitoredServer struct {
	attempts map[*attempt]bool
	// lastProbe is when the last probe ended.
	lastProbe time.Time
	probing   bool
}

// attempt is one send in flight.
type attempt struct {
	target *target
	engine bool
	sentAt time.Time
	// reroute cancels the send if the request may continue elsewhere, and reports
	// whether it did. Lost is set if the server has not responded to a probe.
	reroute      func(lost bool) bool
	stallTimeout time.Duration
	// priority is the priority sent to the server; 0 is the highest.
	priority int
	// overtakenTimeout is how long to wait for the head once overtaken, headerTimeout
	// how long otherwise.
	overtakenTimeout, headerTimeout time.Duration
	// overtaken counts later sends to the server that were responded to first.
	overtaken int
	// progressNanos is when the last bytes arrived, from sentAt; 0 before the head.
	progressNanos atomic.Int64
	rerouted      bool
}

func (a *attempt) recordProgress() { a.progressNanos.Store(time.Since(a.sentAt).Nanoseconds() + 1) }

// lastProgress returns when the attempt last made progress, and whether the head has arrived.
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

// recordHeader records the head of a response. Earlier requests of the same or a higher
// priority without a response have been overtaken: their responses may be lost on a
// connection that stays open.
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

// rerouteWaiting reroutes the requests that wait for a run that has ended, since the
// restarted server will not respond to them. A stream that still makes progress stays.
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

// check probes silent servers and reroutes stuck requests.
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

// stuck reports whether to continue an attempt elsewhere although its server is alive:
// its stream has stalled while others progress, or its response is lost. If all
// streams of a server stall, the server is busy and rerouting would only add load.
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

// progressing reports whether any stream of the server has made progress recently.
func (v *monitoredServer) progressing(now time.Time) bool {
	for a := range v.attempts {
		if at, answered := a.lastProgress(); answered && now.Sub(at) < recentProgress {
			return true
		}
	}
	return false
}

// recentProgress is the maximum age of recent progress.
const recentProgress = 300 * time.Millisecond

// silentAttempt returns the oldest attempt on a server that has been silent too long,
// or nil. Callers hold mu.
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

// probe checks a server; if it does not respond, all its requests are rerouted.
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
