package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// Rollouts keeps the orders to move services to new versions of their servers,
// what this daemon saw of both versions, and what the others tell.
type Rollouts struct {
	log *log.Logger
	now func() time.Time

	mu     sync.Mutex
	orders map[string]*order
	// seen remembers sessions for as long as their requests belong together.
	seen sessions
	// usual is how long answers of a service usually take, on the version that
	// carries the traffic.
	usual map[string]*rollout.LatencyBaseline
	// settled is what the store says of orders, by service. It may be read
	// before the order itself.
	settled map[string]settled
	// unsaid are the services of whose order a store that came back from an older copy says
	// less than is known, since when. restored says that one has come back.
	unsaid   map[string]time.Time
	restored bool
}

type order struct {
	rollout.Order
	phase rollout.Phase
	// braked says that this daemon stopped using the new version by itself. The
	// store's word goes before it: two daemons may judge the same moment
	// differently, and a completed order leaves no old server to go back to.
	braked bool
	// since is when the order was given, by this daemon's clock.
	since time.Time
	own   map[string]*rollout.ServerCounts
	peers map[string]OrderReport
	// oldRunning counts own requests on old servers.
	oldRunning int
	// sessions are those that this daemon saw shortly before the canary began
	// and that its share would move.
	sessions map[uint64]bool
}

// sessions remembers when the sessions of a service were last seen.
type sessions struct {
	// span is how long requests of a session belong together.
	span time.Duration
	last map[string]map[uint64]time.Time
	next time.Time
}

// add remembers a session, and now and then forgets old ones.
func (s *sessions) add(service string, session uint64, now time.Time) {
	if s.last[service] == nil {
		s.last[service] = map[uint64]time.Time{}
	}
	s.last[service][session] = now
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(s.span)
	for _, of := range s.last {
		for id, at := range of {
			if now.Sub(at) > s.span {
				delete(of, id)
			}
		}
	}
}

// recent lists the sessions of a service that a share of the canary's size moves.
func (s *sessions) recent(service string, now time.Time) map[uint64]bool {
	out := map[uint64]bool{}
	share := rollout.DefaultOrderPolicy().Share(rollout.Canary) * shareGrain
	for id, at := range s.last[service] {
		if now.Sub(at) <= s.span && float64(id>>versionShift%shareGrain) < share {
			out[id] = true
		}
	}
	return out
}

// OrderReport is what one daemon tells the others of an order.
type OrderReport struct {
	Service    string           `cbor:"1,keyasint"`
	Offset     uint64           `cbor:"2,keyasint"`
	Phase      rollout.Phase    `cbor:"3,keyasint"`
	SinceMs    int64            `cbor:"4,keyasint"`
	OldRunning int              `cbor:"5,keyasint"`
	Cells      rollout.Evidence `cbor:"6,keyasint,omitempty"`
	// Braked says that a daemon that judges by the evidence of all has stopped the new
	// version. Others stop it too: the store may be away, and hold no word of it.
	Braked bool `cbor:"8,keyasint,omitempty"`
	// Sessions are those that were on the old version when the canary began.
	Sessions []uint64 `cbor:"7,keyasint,omitempty"`
}

// NewRollouts returns a keeper without orders. Requests of a session that follow
// each other within the span belong together. Now reads the clock.
func NewRollouts(sessionSpan time.Duration, now func() time.Time, l *log.Logger) *Rollouts {
	return &Rollouts{
		log: l, now: now, orders: map[string]*order{}, usual: map[string]*rollout.LatencyBaseline{}, settled: map[string]settled{}, unsaid: map[string]time.Time{},
		seen: sessions{span: sessionSpan, last: map[string]map[uint64]time.Time{}},
	}
}

// AddOrder takes an order. One that is known or older than a known one changes
// nothing.
func (r *Rollouts) AddOrder(o rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.orders[o.Service]
	if old != nil && old.Offset >= o.Offset {
		return
	}
	if old != nil && laterEra(o.Offset, old.Offset) && o.Target == old.Target {
		// The store came back from an older copy. This is the order that is known, read or
		// written again: one that is over would else begin anew.
		old.Offset = o.Offset
		r.settle(o.Service)
		return
	}
	o.SessionWindow = r.seen.span
	r.orders[o.Service] = &order{
		Order: o, since: r.now(),
		own: map[string]*rollout.ServerCounts{}, peers: map[string]OrderReport{},
	}
	r.log.Info("roll-out ordered", "service", o.Service, "target", o.Target, "offset", o.Offset, "duration", o.Duration)
	r.settle(o.Service)
}

// advance moves an order on. Callers hold mu.
func (r *Rollouts) advance(o *order, p rollout.Phase, why string) {
	if p <= o.phase || o.phase.Final() {
		return
	}
	o.braked = o.braked && !p.Final()
	r.log.Info("roll-out phase", "service", o.Service, "target", o.Target, "from", o.phase, "to", p, "why", why, "since_ms", r.now().Sub(o.since).Milliseconds())
	o.phase = p
}

// Choice is which versions of a service's servers a request may use.
type Choice struct {
	// Prefer admits the versions that the request should use.
	Prefer func(version string) bool
	// Else admits those it may use if no server of a preferred one is there.
	Else func(version string) bool
	// Part limits the preferred servers to a part of them, so that those which a
	// small share of the requests goes to carry as much as any other; 0 is all. A
	// version that fails under load would else show it only when it is too late.
	Part float64
}

func everyVersion(string) bool { return true }

// Admits chooses between the versions of a service's servers.
//
// A session must not be moved to the new version before the half of an order's
// time. So sessions seen shortly before stay on the old version in the canary
// phase, and those that begin in it go by their hash, which every daemon computes
// alike. The share only grows, so no session goes back.
func (r *Rollouts) Admits(service, session string, draw uint64) Choice {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if session != "" {
		draw = xxhash.Sum64String(session)
		defer r.seen.add(service, draw, now)
	}
	o := r.orders[service]
	if o == nil {
		return Choice{Prefer: everyVersion, Else: everyVersion}
	}
	target := o.Target
	onNew := func(v string) bool { return v == target }
	onOld := func(v string) bool { return v != target }
	if o.phase == rollout.RolledBack {
		return Choice{Prefer: onOld, Else: onOld}
	}
	if o.braked {
		return Choice{Prefer: onOld, Else: everyVersion}
	}
	share := rollout.DefaultOrderPolicy().Share(o.phase)
	if o.phase == rollout.Canary && (now.Sub(o.since) < canaryDelay || session != "" && o.kept(draw)) {
		share = 0
	}
	if float64(draw>>versionShift%shareGrain) >= share*shareGrain {
		if o.phase == rollout.Canary && session != "" {
			return Choice{Prefer: onOld, Else: onOld}
		}
		return Choice{Prefer: onOld, Else: everyVersion}
	}
	return Choice{Prefer: onNew, Else: everyVersion, Part: share}
}

// canaryDelay is the time before the first request goes to a new version. In it
// the daemons tell each other which sessions they saw, and new servers register.
const canaryDelay = 1200 * time.Millisecond

// kept reports whether a session was on the old version before the canary began.
func (o *order) kept(session uint64) bool {
	if o.sessions[session] {
		return true
	}
	for _, p := range o.peers {
		if slices.Contains(p.Sessions, session) {
			return true
		}
	}
	return false
}

// versionShift takes other bits of the draw than the choice of the service does,
// so that the two do not depend on each other.
const versionShift = 16

// shareGrain is the number of parts that requests are dealt in.
const shareGrain = 1000

// observe books an answer as evidence for or against a version. Ratio is the time
// it took over the time expected of it, or 0 if that is not known.
func (r *Rollouts) observe(t *target, failed bool, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := r.usual[t.service]
	if usual == nil {
		usual = &rollout.LatencyBaseline{}
		r.usual[t.service] = usual
	}
	o := r.orders[t.service]
	if o == nil || o.phase.Final() {
		usual.Observe(ratio)
		return
	}
	c := o.own[t.server.ID]
	if c == nil {
		c = &rollout.ServerCounts{Server: t.server.ID, FailureDomain: t.server.FailureDomain, New: t.server.Version == o.Target}
		o.own[t.server.ID] = c
	}
	if !c.New {
		usual.Observe(ratio)
	}
	c.Counts.Requests++
	if failed {
		c.Counts.Errors++
		return
	}
	if ratio > 0 {
		c.Counts.Timed++
		if usual.IsSlow(ratio, o.phase) {
			c.Counts.Slow++
		}
	}
}

// Reports lists what this daemon tells another, with its evidence or without. Running
// counts a service's own requests on servers of other versions than the target. Judge says
// that this daemon judges by the evidence of all.
func (r *Rollouts) Reports(running func(service, target string) int, evidence, judge bool) []OrderReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []OrderReport
	for _, o := range r.orders {
		if o.phase.Final() {
			continue
		}
		o.oldRunning = running(o.Service, o.Target)
		if o.phase == rollout.Canary && r.now().Sub(o.since) < canaryDelay {
			// Until the canary begins every session is on the old version.
			o.sessions = r.seen.recent(o.Service, r.now())
		}
		p := OrderReport{
			Service: o.Service, Offset: o.Offset, Phase: o.phase, SinceMs: r.now().Sub(o.since).Milliseconds(),
			OldRunning: o.oldRunning, Sessions: slices.Collect(maps.Keys(o.sessions)), Braked: judge && o.braked,
		}
		if evidence {
			p.Cells = o.cells()
		}
		out = append(out, p)
	}
	return out
}

func (o *order) cells() rollout.Evidence {
	var e rollout.Evidence
	for _, c := range o.own {
		e = append(e, *c)
	}
	return e
}

// ApplyReports takes another daemon's reports. A report of one that ended since is kept:
// what it saw stays true.
func (r *Rollouts) ApplyReports(incarnation string, reports []OrderReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range reports {
		o := r.orders[p.Service]
		if o == nil || o.Offset != p.Offset {
			continue
		}
		if p.Cells == nil {
			// It was told without evidence: what it saw before stays true.
			p.Cells = o.peers[incarnation].Cells
		}
		o.peers[incarnation] = p
		if p.Braked {
			r.brake(o, "a daemon that judges says so")
		}
		if ago := time.Duration(p.SinceMs) * time.Millisecond; ago > r.now().Sub(o.since) {
			o.since = r.now().Add(-ago)
		}
		if !p.Phase.Final() {
			r.advance(o, p.Phase, "another daemon says so")
		}
	}
}

// Step is a phase that an order should go on to.
type Step struct {
	Order  rollout.Order
	Phase  rollout.Phase
	Age    time.Duration
	Reason string
}

// NextPhases lists the orders that should go on, by the evidence of all daemons. Alive
// tells whether an incarnation still runs, since only then does its work count.
func (r *Rollouts) NextPhases(alive func(incarnation string) bool) []Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Step
	for _, o := range r.orders {
		if o.phase.Final() {
			continue
		}
		parts, running := []rollout.Evidence{o.cells()}, o.oldRunning
		for who, p := range o.peers {
			parts = append(parts, p.Cells)
			if alive(who) {
				running += p.OldRunning
			}
		}
		all := rollout.Sum(parts...)
		since := r.now().Sub(o.since)
		if p, why := rollout.DefaultOrderPolicy().NextPhase(o.Order, o.phase, since, all, running); p != o.phase {
			out = append(out, Step{o.Order, p, since, why})
		}
	}
	return out
}

// Suspend stops this daemon's use of a new version at once, before the store says
// so: writing there takes time, and fails while it is away.
func (r *Rollouts) Suspend(service string, offset uint64, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders[service]; o != nil && o.Offset == offset {
		r.brake(o, why)
	}
}

// brake stops this daemon's use of an order's version. Callers hold mu.
func (r *Rollouts) brake(o *order, why string) {
	if o.phase.Final() || o.braked {
		return
	}
	o.braked = true
	r.log.Warn("new version not used any more", "service", o.Service, "target", o.Target, "why", why)
}
