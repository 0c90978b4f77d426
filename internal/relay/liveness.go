package relay

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/backend"
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
	// silentRetention is how long a silent server is remembered, to record that it has gone on.
	silentRetention = time.Minute
)

// livenessMonitor detects servers and connections that have gone silent.
type livenessMonitor struct {
	state   *State
	backend Backend
	log     *log.Logger
	metrics *Metrics
	// onReached and onUnreached are called with the result of a probe. They are set before use.
	onReached   func(t *target)
	onUnreached func(t *target, err error)
	// confirmsEnd reports whether a server that refused a probe has terminated. It is set before use.
	confirmsEnd func(t *target) bool

	mu           sync.Mutex
	servers      map[string]*monitoredServer
	lastActivity map[string]time.Time
	// silent holds the servers that did not respond to a probe, by address, until they send
	// something.
	silent map[string]silentServer
}

// silentServer is a server that did not respond to a probe.
type silentServer struct {
	id    string
	since time.Time
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
	// reroute tries to continue the request elsewhere, and reports whether it leaves its server or is
	// offered to others. Ended is set if the server will not respond. The monitor's lock is held.
	reroute      func(ended bool) bool
	stallTimeout time.Duration
	// priority is the priority sent to the server; 0 is the highest.
	priority int
	// overtakenTimeout is how long to wait for the response header once overtaken,
	// headerTimeout how long otherwise.
	overtakenTimeout, headerTimeout time.Duration
	// overtaken counts later sends to the server that were responded to first.
	overtaken atomic.Int64
	// progressNanos is when the last bytes arrived, in ns after sentAt; 0 before the header.
	progressNanos atomic.Int64
	// forwarding is set while the client has no room for what has arrived.
	forwarding atomic.Bool
	// stuckAfterNanos is the time in ns after sentAt before which the attempt does not count as stuck.
	stuckAfterNanos atomic.Int64
}

// postpone makes the attempt count as stuck after a pause at the earliest.
func (a *attempt) postpone(pause time.Duration) {
	a.stuckAfterNanos.Store((time.Since(a.sentAt) + pause).Nanoseconds())
}

func (a *attempt) recordProgress() { a.progressNanos.Store(time.Since(a.sentAt).Nanoseconds() + 1) }

// lastProgress returns when the attempt last made progress, and whether the header has arrived.
func (a *attempt) lastProgress() (time.Time, bool) {
	n := a.progressNanos.Load()
	return a.sentAt.Add(time.Duration(n)), n > 0
}

func newLivenessMonitor(s *State, b Backend, l *log.Logger, m *Metrics) *livenessMonitor {
	return &livenessMonitor{state: s, backend: b, log: l, metrics: m, onReached: func(*target) {}, onUnreached: func(*target, error) {}, confirmsEnd: func(*target) bool { return false }, servers: map[string]*monitoredServer{}, lastActivity: map[string]time.Time{}, silent: map[string]silentServer{}}
}

func (m *livenessMonitor) recordActivity(address string) {
	m.mu.Lock()
	now := time.Now()
	m.lastActivity[address] = now
	server, wasSilent := m.silent[address]
	delete(m.silent, address)
	m.mu.Unlock()
	if !wasSilent {
		return
	}
	m.metrics.SilentServersResumed.Inc(1)
	m.log.Warn("silent server went on", "server", server.id, "address", address, "after_ms", now.Sub(server.since).Milliseconds())
}

// recordSilent remembers a server that did not respond to a probe. Callers hold mu.
func (m *livenessMonitor) recordSilent(server backend.Server, now time.Time) {
	if m.silent[server.Address].id != server.ID {
		m.silent[server.Address] = silentServer{server.ID, now}
	}
}

// dropSilent forgets the servers that have been silent for long. Callers hold mu.
func (m *livenessMonitor) dropSilent(now time.Time) {
	maps.DeleteFunc(m.silent, func(_ string, s silentServer) bool { return now.Sub(s.since) > silentRetention })
}

// recordHeader records the arrival of a response header. Earlier requests of the same or
// a higher priority without a response have been overtaken: their responses may be lost
// on a connection that stays open.
func (m *livenessMonitor) recordHeader(a *attempt) {
	a.recordProgress()
	m.mu.Lock()
	defer m.mu.Unlock()
	srv := m.servers[a.target.server.ID]
	if srv == nil {
		return
	}
	for other := range srv.attempts {
		if _, done := other.lastProgress(); !done && other.sentAt.Before(a.sentAt) && other.priority <= a.priority {
			other.overtaken.Add(1)
		}
	}
}

func (m *livenessMonitor) track(t *target, engine bool, rt *route.Route, priority int, reroute func(ended bool) bool) *attempt {
	a := &attempt{target: t, engine: engine, sentAt: time.Now(), reroute: reroute, stallTimeout: defaultStallTimeout, priority: priority}
	first, _ := m.state.typicalLatency(t, engine)
	a.overtakenTimeout = time.Duration(plainWaitFactor * first * float64(time.Second))
	if engine {
		a.overtakenTimeout = engineWaitFactor * max(t.expectedLatency, time.Duration(first*float64(time.Second)))
	}
	a.overtakenTimeout = max(a.overtakenTimeout, minHeaderWait)
	a.headerTimeout = max(maxWaitFactor*a.overtakenTimeout, time.Duration(minWaitFraction*float64(rt.LatencyTarget)))
	if rt.EventIntervalTarget > 0 {
		a.stallTimeout = time.Duration(stallFraction * float64(rt.EventIntervalTarget))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	srv := m.servers[t.server.ID]
	if srv == nil {
		srv = &monitoredServer{attempts: map[*attempt]bool{}}
		m.servers[t.server.ID] = srv
	}
	srv.attempts[a] = true
	return a
}

func (m *livenessMonitor) untrack(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := a.target.server.ID
	srv := m.servers[id]
	if srv == nil {
		return
	}
	delete(srv.attempts, a)
	if len(srv.attempts) == 0 && !srv.probing {
		delete(m.servers, id)
		delete(m.lastActivity, a.target.server.Address)
	}
}

// reroute reroutes an attempt that has not ended, and reports whether it did. The lock keeps the
// attempt's call from going on to its next send meanwhile.
func (m *livenessMonitor) reroute(a *attempt, ended bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	srv := m.servers[a.target.server.ID]
	return srv != nil && srv.attempts[a] && a.reroute(ended)
}

// rerouteWaiting reroutes the requests that wait for a server that has been replaced. It will not
// respond to them if its run has ended. A stream that still makes progress is not rerouted.
func (m *livenessMonitor) rerouteWaiting(id string, ended bool, now time.Time) (rerouted int) {
	m.mu.Lock()
	var waiting []*attempt
	if srv := m.servers[id]; srv != nil {
		for a := range srv.attempts {
			if at, answered := a.lastProgress(); !answered || now.Sub(at) >= recentProgress {
				waiting = append(waiting, a)
			}
		}
	}
	m.mu.Unlock()
	for _, a := range waiting {
		if m.reroute(a, ended) {
			rerouted++
		}
	}
	return rerouted
}

func (m *livenessMonitor) run(ctx context.Context) { loop.Every(ctx, checkInterval, m.check) }

// check probes silent servers and reroutes stuck requests.
func (m *livenessMonitor) check(ctx context.Context, now time.Time) {
	var probes, stuck []*attempt
	m.mu.Lock()
	m.dropSilent(now)
	for _, srv := range m.servers {
		if a := m.silentAttempt(srv, now); a != nil {
			srv.probing = true
			probes = append(probes, a)
		}
		for a := range srv.attempts {
			if a.stuck(now, srv.progressing(now)) {
				stuck = append(stuck, a)
			}
		}
	}
	m.mu.Unlock()
	for _, a := range probes {
		go m.probe(ctx, a)
	}
	for _, a := range stuck {
		if m.reroute(a, false) {
			m.log.Warn("request stuck, offered to others", "server", a.target.server.ID, "model", a.target.model, "overtaken", a.overtaken.Load(), "waited_ms", now.Sub(a.sentAt).Milliseconds(), "expected_ms", a.target.expectedLatency.Milliseconds())
		}
	}
}

// stuck reports whether to reroute an attempt although its server is alive: its response
// is overdue, or its stream has stalled while others progress. If all streams of a server
// stall, the server is busy and rerouting would only add load.
func (a *attempt) stuck(now time.Time, othersProgress bool) bool {
	progressAt, responded := a.lastProgress()
	switch {
	case a.forwarding.Load() || now.Sub(a.sentAt) < time.Duration(a.stuckAfterNanos.Load()):
		return false
	case responded:
		return a.engine && othersProgress && now.Sub(progressAt) > a.stallTimeout
	}
	waited := now.Sub(a.sentAt)
	return waited > a.headerTimeout || a.overtaken.Load() >= minOvertaken && waited > a.overtakenTimeout
}

// progressing reports whether any stream of the server has made progress recently.
func (srv *monitoredServer) progressing(now time.Time) bool {
	for a := range srv.attempts {
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
func (m *livenessMonitor) silentAttempt(srv *monitoredServer, now time.Time) *attempt {
	if srv.probing || now.Sub(srv.lastProbe) < 2*silenceTimeout {
		return nil
	}
	var oldest *attempt
	for a := range srv.attempts {
		if oldest == nil || a.sentAt.Before(oldest.sentAt) {
			oldest = a
		}
	}
	if oldest == nil || now.Sub(oldest.sentAt) < silenceTimeout {
		return nil
	}
	if now.Sub(m.lastActivity[oldest.target.server.Address]) < silenceTimeout {
		return nil
	}
	return oldest
}

// probe checks a server; if it does not respond, all its requests are offered to others.
func (m *livenessMonitor) probe(ctx context.Context, a *attempt) {
	m.metrics.Probes.Inc(1)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	// A paused server wants no requests, so it is only connected to.
	err := m.backend.Probe(probeCtx, a.target.server, a.engine && !m.state.isPaused(a.target))
	cancel()
	id := a.target.server.ID
	var waiting []*attempt
	m.mu.Lock()
	if srv := m.servers[id]; srv != nil {
		srv.probing, srv.lastProbe = false, time.Now()
		if err != nil {
			m.recordSilent(a.target.server, srv.lastProbe)
			for other := range srv.attempts {
				waiting = append(waiting, other)
			}
		}
		if len(srv.attempts) == 0 {
			delete(m.servers, id)
		}
	}
	m.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		m.onReached(a.target)
		return
	}
	probed := time.Now()
	m.onUnreached(a.target, err)
	ended := m.hasEnded(a.target, err)
	if !ended && m.activeSince(a.target.server.Address, probed) {
		return // the server went on while other daemons were asked, which recordActivity has logged
	}
	m.state.recordUnreachable(a.target)
	m.log.Warn("server silent", "server", id, "requests", len(waiting), "ended", ended, "err", err)
	for _, other := range waiting {
		m.reroute(other, ended)
	}
}

// activeSince reports whether anything has arrived from an address after a time.
func (m *livenessMonitor) activeSince(address string, at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastActivity[address].After(at)
}

// hasEnded reports whether a server has ended, by the error of a probe. A refused connection shows it
// only if it is confirmed, since a link may refuse connections as well.
func (m *livenessMonitor) hasEnded(t *target, err error) bool {
	return errors.Is(err, ErrRestarted) || errors.Is(err, syscall.ECONNREFUSED) && m.confirmsEnd(t)
}
