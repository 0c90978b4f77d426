package relay

import (
	"strings"
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

	mu     sync.Mutex
	orders map[string]*order
	// settled is what the store says of orders, by service. It may be read
	// before the order itself.
	settled map[string]settled
}

type settled struct {
	offset uint64
	phase  rollout.Phase
	// since is when the order was given, as far as the store tells.
	since time.Time
}

type order struct {
	rollout.Order
	phase rollout.Phase
	// since is when the order was given, by this daemon's clock.
	since time.Time
	own   map[string]*rollout.Cell
	peers map[string]OrderReport
	// oldRunning counts own requests on old servers.
	oldRunning int
}

// OrderReport is what one daemon tells the others of an order.
type OrderReport struct {
	Service    string           `cbor:"1,keyasint"`
	Offset     uint64           `cbor:"2,keyasint"`
	Phase      rollout.Phase    `cbor:"3,keyasint"`
	SinceMs    int64            `cbor:"4,keyasint"`
	OldRunning int              `cbor:"5,keyasint"`
	Cells      rollout.Evidence `cbor:"6,keyasint,omitempty"`
}

// NewRollouts returns a keeper without orders.
func NewRollouts(l *log.Logger) *Rollouts {
	return &Rollouts{log: l, orders: map[string]*order{}, settled: map[string]settled{}}
}

// Ordered takes an order. One that is known or older than a known one changes
// nothing.
func (r *Rollouts) Ordered(o rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.orders[o.Service]; old != nil && old.Offset >= o.Offset {
		return
	}
	r.orders[o.Service] = &order{
		Order: o, since: time.Now(),
		own: map[string]*rollout.Cell{}, peers: map[string]OrderReport{},
	}
	r.log.Info("roll-out ordered", "service", o.Service, "target", o.Target, "offset", o.Offset, "duration", o.Duration)
	r.settle(o.Service)
}

// Settled takes a phase that the store holds for the order at an offset, written
// when the order was given for ago. Phases only go on.
func (r *Rollouts) Settled(service string, offset uint64, p rollout.Phase, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled[service] = settled{offset, p, time.Now().Add(-ago)}
	r.settle(service)
}

// settle applies what the store says. Callers hold mu.
func (r *Rollouts) settle(service string) {
	o, s := r.orders[service], r.settled[service]
	if o == nil || o.Offset != s.offset {
		return
	}
	if s.since.Before(o.since) {
		o.since = s.since
	}
	r.advance(o, s.phase, "the store says so")
}

// advance moves an order on. Callers hold mu.
func (r *Rollouts) advance(o *order, p rollout.Phase, why string) {
	if p <= o.phase {
		return
	}
	r.log.Info("roll-out phase", "service", o.Service, "target", o.Target, "from", o.phase, "to", p, "why", why, "since_ms", time.Since(o.since).Milliseconds())
	o.phase = p
}

// Admits returns which versions of a service's servers a request may use.
//
// A request with a session must not be moved before the half of an order's time,
// so it stays on the old version in the canary phase, and later goes by its
// session's hash, which every daemon computes alike. The share only grows, so no
// session goes back.
func (r *Rollouts) Admits(service, session string, draw uint64) func(version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[service]
	if o == nil {
		return func(string) bool { return true }
	}
	target := o.Target
	onNew := func(v string) bool { return v == target }
	onOld := func(v string) bool { return v != target }
	if session != "" {
		if o.phase == rollout.Canary {
			return onOld
		}
		draw = xxhash.Sum64String(session)
	}
	share := rollout.DefaultCourse().Share(o.phase)
	if float64(draw>>versionShift%shareGrain) < share*shareGrain {
		return onNew
	}
	return onOld
}

// versionShift takes other bits of the draw than the choice of the service does,
// so that the two do not depend on each other.
const versionShift = 16

// shareGrain is the number of parts that requests are dealt in.
const shareGrain = 1000

// observe books an answer as evidence for or against a version.
func (r *Rollouts) observe(t *target, failed, slow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[t.service]
	if o == nil || o.phase.Over() {
		return
	}
	c := o.own[t.server.ID]
	if c == nil {
		c = &rollout.Cell{Server: t.server.ID, FailureDomain: t.server.FailureDomain, New: t.server.Version == o.Target}
		o.own[t.server.ID] = c
	}
	c.Counts.Requests++
	if failed {
		c.Counts.Errors++
		return
	}
	c.Counts.Timed++
	if slow {
		c.Counts.Slow++
	}
}

// Reports lists what this daemon tells the others. Running counts a service's own
// requests on servers of other versions than the target.
func (r *Rollouts) Reports(running func(service, target string) int) []OrderReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []OrderReport
	for _, o := range r.orders {
		if o.phase.Over() {
			continue
		}
		o.oldRunning = running(o.Service, o.Target)
		out = append(out, OrderReport{
			Service: o.Service, Offset: o.Offset, Phase: o.phase, SinceMs: time.Since(o.since).Milliseconds(),
			OldRunning: o.oldRunning, Cells: o.cells(),
		})
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

// Heard takes another daemon's reports. A report of one that ended since is kept:
// what it saw stays true.
func (r *Rollouts) Heard(incarnation string, reports []OrderReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range reports {
		o := r.orders[p.Service]
		if o == nil || o.Offset != p.Offset {
			continue
		}
		o.peers[incarnation] = p
		if ago := time.Duration(p.SinceMs) * time.Millisecond; ago > time.Since(o.since) {
			o.since = time.Now().Add(-ago)
		}
		if !p.Phase.Over() {
			r.advance(o, p.Phase, "another daemon says so")
		}
	}
}

// Step is a phase that an order should go on to.
type Step struct {
	Order rollout.Order
	Phase rollout.Phase
	Since time.Duration
	Why   string
}

// Due lists the orders that should go on, by the evidence of all daemons. Alive
// tells whether an incarnation still runs, since only then does its work count.
func (r *Rollouts) Due(alive func(incarnation string) bool) []Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Step
	for _, o := range r.orders {
		if o.phase.Over() {
			continue
		}
		all, running := o.cells(), o.oldRunning
		for who, p := range o.peers {
			all = all.Merge(p.Cells)
			if alive(who) {
				running += p.OldRunning
			}
		}
		since := time.Since(o.since)
		if p, why := rollout.DefaultCourse().Next(o.Order, o.phase, since, all, running); p != o.phase {
			out = append(out, Step{o.Order, p, since, why})
		}
	}
	return out
}

// Brake stops this daemon's use of a version at once, before the store knows.
func (r *Rollouts) Brake(service string, offset uint64, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders[service]; o != nil && o.Offset == offset {
		r.advance(o, rollout.RolledBack, strings.TrimSpace(why))
	}
}
