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
	// watchEvery is how often silent servers are looked for.
	watchEvery = 100 * time.Millisecond
	// silenceLimit is how long a server that has work of ours may be silent
	// before it is asked for a sign of life. A dark VM resets nothing, so
	// without asking every request there would wait for its deadline. Engines
	// that live send events every few tens of milliseconds under load.
	silenceLimit = 500 * time.Millisecond
	// aliveLimit bounds the wait for the sign: round trips are milliseconds.
	aliveLimit = 300 * time.Millisecond
	// overtakenBy is how many requests that a server got later it must have begun
	// to answer before an unanswered one is taken for lost.
	overtakenBy = 1
	// leastPatience bounds from below how long an answer is waited for before.
	leastPatience = 250 * time.Millisecond
	// enginePatience and plainPatience are that time as multiples of the expected
	// one. Engines answer in about the order of arrival; plain services take up to
	// five times as long for one request in a hundred.
	enginePatience = 2
	plainPatience  = 6
	// headLimit is how many times longer still a head is waited for if nothing
	// overtakes, and headPart the part of the route's latency target that is waited
	// for at least: a daemon may send a server little, so that nothing can overtake.
	headLimit = 2
	headPart  = 0.6
	// stallPart is the part of a route's longest pause after which a stream is
	// continued elsewhere although its server lives: its connection may have
	// gone silent for good while new ones work.
	stallPart = 0.9
	// stallDefault is the longest pause where the route states none.
	stallDefault = 2 * time.Second
)

// watch looks for servers and connections that have gone silent.
type watch struct {
	state   *State
	backend Backend
	log     *log.Logger
	metrics *Metrics

	mu      sync.Mutex
	servers map[string]*watched
	heardAt map[string]time.Time
}

// watched is one server with unfinished work.
type watched struct {
	attempts map[*attempt]bool
	// provenAt is the last sign of life that was asked for.
	provenAt time.Time
	asking   bool
}

// attempt is one send that is waiting for its server.
type attempt struct {
	target *target
	engine bool
	since  time.Time
	// move ends the send if the request may go on elsewhere. Lost says that the
	// server shows no sign of life.
	move  func(lost bool) bool
	stall time.Duration
	// urgency is the rank the server was given; the first goes first.
	urgency int
	// patience is how long the head is waited for if others overtake, and limit
	// how long if none do.
	patience, limit time.Duration
	// overtaken counts later sends to the server that were answered first.
	overtaken int
	// lastNanos is when the last bytes of the body came; 0 before the head.
	lastNanos atomic.Int64
	moved     bool
}

func (a *attempt) progress() { a.lastNanos.Store(time.Since(a.since).Nanoseconds() + 1) }

// last returns when the attempt last made progress, and whether it is answered.
func (a *attempt) last() (time.Time, bool) {
	n := a.lastNanos.Load()
	return a.since.Add(time.Duration(n)), n > 0
}

func newWatch(s *State, b Backend, l *log.Logger, m *Metrics) *watch {
	return &watch{state: s, backend: b, log: l, metrics: m, servers: map[string]*watched{}, heardAt: map[string]time.Time{}}
}

func (w *watch) heard(address string) {
	w.mu.Lock()
	w.heardAt[address] = time.Now()
	w.mu.Unlock()
}

// answered records the head of an answer. Unanswered requests that the server got
// before, and that it would not put behind this one, have been overtaken: their
// answers may be lost on a connection that stays open.
func (w *watch) answered(a *attempt) {
	a.progress()
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.servers[a.target.server.ID]
	if v == nil {
		return
	}
	for other := range v.attempts {
		if _, done := other.last(); !done && other.since.Before(a.since) && other.urgency <= a.urgency {
			other.overtaken++
		}
	}
}

func (w *watch) enter(t *target, engine bool, rt *route.Route, urgency int, move func(lost bool) bool) *attempt {
	a := &attempt{target: t, engine: engine, since: time.Now(), move: move, stall: stallDefault, urgency: urgency}
	first, _ := w.state.typical(t, engine)
	a.patience = time.Duration(plainPatience * first * float64(time.Second))
	if engine {
		a.patience = enginePatience * max(t.expected, time.Duration(first*float64(time.Second)))
	}
	a.patience = max(a.patience, leastPatience)
	a.limit = max(headLimit*a.patience, time.Duration(headPart*float64(rt.LatencyTarget)))
	if rt.GapTarget > 0 {
		a.stall = time.Duration(stallPart * float64(rt.GapTarget))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.servers[t.server.ID]
	if v == nil {
		v = &watched{attempts: map[*attempt]bool{}}
		w.servers[t.server.ID] = v
	}
	v.attempts[a] = true
	return a
}

func (w *watch) leave(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := a.target.server.ID
	v := w.servers[id]
	if v == nil {
		return
	}
	delete(v.attempts, a)
	if len(v.attempts) == 0 && !v.asking {
		delete(w.servers, id)
		delete(w.heardAt, a.target.server.Address)
	}
}

// ended moves what waits for a run of a server that has ended. The server that started
// again under its name knows nothing of it, so that no answer is coming: without this each
// request would wait for its sign of life, or its deadline. A stream whose events still
// come is served by some run, and stays.
func (w *watch) ended(id string, now time.Time) (moved int) {
	w.mu.Lock()
	var waiting []*attempt
	if v := w.servers[id]; v != nil {
		for a := range v.attempts {
			if at, answered := a.last(); !answered || now.Sub(at) >= progressLimit {
				waiting = append(waiting, a)
			}
		}
	}
	w.mu.Unlock()
	for _, a := range waiting {
		if a.move(true) {
			moved++
		}
	}
	return moved
}

func (w *watch) run(ctx context.Context) { loop.Every(ctx, watchEvery, w.look) }

// look asks silent servers for a sign of life and moves stalled streams.
func (w *watch) look(ctx context.Context, now time.Time) {
	var ask, stalled []*attempt
	w.mu.Lock()
	for _, v := range w.servers {
		if a := w.silent(v, now); a != nil {
			v.asking = true
			ask = append(ask, a)
		}
		for a := range v.attempts {
			if a.stuck(now, v.progressing(now)) {
				stalled = append(stalled, a)
			}
		}
	}
	w.mu.Unlock()
	for _, a := range ask {
		go w.ask(ctx, a)
	}
	for _, a := range stalled {
		if a.move(false) {
			a.moved = true
			w.log.Warn("request stuck, moved", "server", a.target.server.ID, "model", a.target.model, "overtaken", a.overtaken, "waited_ms", now.Sub(a.since).Milliseconds(), "expected_ms", a.target.expected.Milliseconds())
			w.metrics.Moved.Inc(1)
		}
	}
}

// stuck reports whether an attempt is to go on elsewhere although its server
// lives: its stream has paused for too long while others go on, or its answer is
// lost. A server on which all streams pause is only busy, and would be as busy with
// reading them again.
func (a *attempt) stuck(now time.Time, othersProgress bool) bool {
	at, answered := a.last()
	switch {
	case a.moved:
		return false
	case answered:
		return a.engine && othersProgress && now.Sub(at) > a.stall
	}
	waited := now.Sub(a.since)
	return waited > a.limit || a.overtaken >= overtakenBy && waited > a.patience
}

// progressing reports whether any stream of the server has had an event just now.
func (v *watched) progressing(now time.Time) bool {
	for a := range v.attempts {
		if at, answered := a.last(); answered && now.Sub(at) < progressLimit {
			return true
		}
	}
	return false
}

// progressLimit is how recent progress must be: some steps of a busy engine.
const progressLimit = 300 * time.Millisecond

// silent returns an attempt on a server that has been silent too long, or nil.
// Callers hold mu.
func (w *watch) silent(v *watched, now time.Time) *attempt {
	if v.asking || now.Sub(v.provenAt) < 2*silenceLimit {
		return nil
	}
	var oldest *attempt
	for a := range v.attempts {
		if oldest == nil || a.since.Before(oldest.since) {
			oldest = a
		}
	}
	if oldest == nil || now.Sub(oldest.since) < silenceLimit {
		return nil
	}
	if now.Sub(w.heardAt[oldest.target.server.Address]) < silenceLimit {
		return nil
	}
	return oldest
}

// ask wants a sign of life; without one, every request there goes on elsewhere.
func (w *watch) ask(ctx context.Context, a *attempt) {
	w.metrics.AliveChecks.Inc(1)
	bounded, cancel := context.WithTimeout(ctx, aliveLimit)
	err := w.backend.Alive(bounded, a.target.server, a.engine)
	cancel()
	id := a.target.server.ID
	var move []*attempt
	w.mu.Lock()
	if v := w.servers[id]; v != nil {
		v.asking, v.provenAt = false, time.Now()
		if err != nil {
			for other := range v.attempts {
				move = append(move, other)
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
	w.log.Warn("server silent", "server", id, "requests", len(move), "err", err)
	w.state.unreachable(a.target)
	for _, other := range move {
		other.move(true)
	}
}
