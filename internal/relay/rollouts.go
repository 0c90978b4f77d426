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
	orders map[string]*orderState
	// sessions remembers sessions for as long as their requests belong together.
	sessions sessionTracker
	// baselines is how long answers of a service usually take, on the version that
	// carries the traffic.
	baselines map[string]*rollout.Usual
	// storedPhases is what the store says of orders, by service. It may be read
	// before the order itself.
	storedPhases map[string]datedPhase
	// lostPhases are the services of whose order a store that came back from an older copy says
	// less than is known, since when. restored says that one has come back.
	lostPhases    map[string]time.Time
	storeRestored bool
}

type orderState struct {
	rollout.Order
	phase rollout.Phase
	// suspended says that this daemon stopped using the new version by itself. The
	// store's word goes before it: two daemons may judge the same moment
	// differently, and a completed order leaves no old server to go back to.
	suspended bool
	// orderedAt is when the order was given, by this daemon's clock.
	orderedAt   time.Time
	ownEvidence map[string]*rollout.Cell
	peerReports map[string]OrderReport
	// oldInFlight counts own requests on old servers.
	oldInFlight int
	// pinnedSessions are those that this daemon saw shortly before the canary began
	// and that its share would move.
	pinnedSessions map[uint64]bool
}

// sessionTracker remembers when the sessions of a service were last seen.
type sessionTracker struct {
	// idleTimeout is how long requests of a session belong together.
	idleTimeout time.Duration
	lastSeen    map[string]map[uint64]time.Time
	nextSweep   time.Time
}

// add remembers a session, and now and then forgets old ones.
func (s *sessionTracker) add(service string, session uint64, now time.Time) {
	if s.lastSeen[service] == nil {
		s.lastSeen[service] = map[uint64]time.Time{}
	}
	s.lastSeen[service][session] = now
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(s.idleTimeout)
	for _, of := range s.lastSeen {
		for id, at := range of {
			if now.Sub(at) > s.idleTimeout {
				delete(of, id)
			}
		}
	}
}

// canarySessions lists the sessions of a service that a share of the canary's size moves.
func (s *sessionTracker) canarySessions(service string, now time.Time) map[uint64]bool {
	out := map[uint64]bool{}
	share := rollout.DefaultCourse().Share(rollout.Canary) * shareResolution
	for id, at := range s.lastSeen[service] {
		if now.Sub(at) <= s.idleTimeout && float64(id>>versionHashShift%shareResolution) < share {
			out[id] = true
		}
	}
	return out
}

// OrderReport is what one daemon tells the others of an order.
type OrderReport struct {
	Service     string           `cbor:"1,keyasint"`
	Offset      uint64           `cbor:"2,keyasint"`
	Phase       rollout.Phase    `cbor:"3,keyasint"`
	AgeMs       int64            `cbor:"4,keyasint"`
	OldInFlight int              `cbor:"5,keyasint"`
	Evidence    rollout.Evidence `cbor:"6,keyasint,omitempty"`
	// Suspended says that a daemon that judges by the evidence of all has stopped the new
	// version. Others stop it too: the store may be away, and hold no word of it.
	Suspended bool `cbor:"8,keyasint,omitempty"`
	// PinnedSessions are those that were on the old version when the canary began.
	PinnedSessions []uint64 `cbor:"7,keyasint,omitempty"`
}

// NewRollouts returns a keeper without orders. Requests of a session that follow
// each other within the span belong together. Now reads the clock.
func NewRollouts(sessionSpan time.Duration, now func() time.Time, l *log.Logger) *Rollouts {
	return &Rollouts{
		log: l, now: now, orders: map[string]*orderState{}, baselines: map[string]*rollout.Usual{}, storedPhases: map[string]datedPhase{}, lostPhases: map[string]time.Time{},
		sessions: sessionTracker{idleTimeout: sessionSpan, lastSeen: map[string]map[uint64]time.Time{}},
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
		r.reconcile(o.Service)
		return
	}
	o.SessionSpan = r.sessions.idleTimeout
	r.orders[o.Service] = &orderState{
		Order: o, orderedAt: r.now(),
		ownEvidence: map[string]*rollout.Cell{}, peerReports: map[string]OrderReport{},
	}
	r.log.Info("roll-out ordered", "service", o.Service, "target", o.Target, "offset", o.Offset, "duration", o.Duration)
	r.reconcile(o.Service)
}

// advance moves an order on. Callers hold mu.
func (r *Rollouts) advance(o *orderState, p rollout.Phase, reason string) {
	if p <= o.phase || o.phase.Over() {
		return
	}
	o.suspended = o.suspended && !p.Over()
	r.log.Info("roll-out phase", "service", o.Service, "target", o.Target, "from", o.phase, "to", p, "why", reason, "since_ms", r.now().Sub(o.orderedAt).Milliseconds())
	o.phase = p
}

// VersionChoice is which versions of a service's servers a request may use.
type VersionChoice struct {
	// Preferred admits the versions that the request should use.
	Preferred func(version string) bool
	// Fallback admits those it may use if no server of a preferred one is there.
	Fallback func(version string) bool
	// Fraction limits the preferred servers to a part of them, so that those which a
	// small share of the requests goes to carry as much as any other; 0 is all. A
	// version that fails under load would else show it only when it is too late.
	Fraction float64
}

func anyVersion(string) bool { return true }

// ChooseVersion chooses between the versions of a service's servers.
//
// A session must not be moved to the new version before the half of an order's
// time. So sessions seen shortly before stay on the old version in the canary
// phase, and those that begin in it go by their hash, which every daemon computes
// alike. The share only grows, so no session goes back.
func (r *Rollouts) ChooseVersion(service, session string, hash uint64) VersionChoice {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if session != "" {
		hash = xxhash.Sum64String(session)
		defer r.sessions.add(service, hash, now)
	}
	o := r.orders[service]
	if o == nil {
		return VersionChoice{Preferred: anyVersion, Fallback: anyVersion}
	}
	target := o.Target
	onNew := func(v string) bool { return v == target }
	onOld := func(v string) bool { return v != target }
	if o.phase == rollout.RolledBack {
		return VersionChoice{Preferred: onOld, Fallback: onOld}
	}
	if o.suspended {
		return VersionChoice{Preferred: onOld, Fallback: anyVersion}
	}
	share := rollout.DefaultCourse().Share(o.phase)
	if o.phase == rollout.Canary && (now.Sub(o.orderedAt) < canaryDelay || session != "" && o.pinned(hash)) {
		share = 0
	}
	if float64(hash>>versionHashShift%shareResolution) >= share*shareResolution {
		if o.phase == rollout.Canary && session != "" {
			return VersionChoice{Preferred: onOld, Fallback: onOld}
		}
		return VersionChoice{Preferred: onOld, Fallback: anyVersion}
	}
	return VersionChoice{Preferred: onNew, Fallback: anyVersion, Fraction: share}
}

// canaryDelay is the time before the first request goes to a new version. In it
// the daemons tell each other which sessions they saw, and new servers register.
const canaryDelay = 1200 * time.Millisecond

// pinned reports whether a session was on the old version before the canary began.
func (o *orderState) pinned(session uint64) bool {
	if o.pinnedSessions[session] {
		return true
	}
	for _, p := range o.peerReports {
		if slices.Contains(p.PinnedSessions, session) {
			return true
		}
	}
	return false
}

// versionHashShift takes other bits of the draw than the choice of the service does,
// so that the two do not depend on each other.
const versionHashShift = 16

// shareResolution is the number of parts that requests are dealt in.
const shareResolution = 1000

// recordResponse books an answer as evidence for or against a version. Ratio is the time
// it took over the time expected of it, or 0 if that is not known.
func (r *Rollouts) recordResponse(t *target, failed bool, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	baseline := r.baselines[t.service]
	if baseline == nil {
		baseline = &rollout.Usual{}
		r.baselines[t.service] = baseline
	}
	o := r.orders[t.service]
	if o == nil || o.phase.Over() {
		baseline.Add(ratio)
		return
	}
	c := o.ownEvidence[t.server.ID]
	if c == nil {
		c = &rollout.Cell{Server: t.server.ID, FailureDomain: t.server.FailureDomain, New: t.server.Version == o.Target}
		o.ownEvidence[t.server.ID] = c
	}
	if !c.New {
		baseline.Add(ratio)
	}
	c.Counts.Requests++
	if failed {
		c.Counts.Errors++
		return
	}
	if ratio > 0 {
		c.Counts.Timed++
		if baseline.Slow(ratio, o.phase) {
			c.Counts.Slow++
		}
	}
}

// Reports lists what this daemon tells another, with its evidence or without. Running
// counts a service's own requests on servers of other versions than the target. Judge says
// that this daemon judges by the evidence of all.
func (r *Rollouts) Reports(oldInFlight func(service, target string) int, evidence, evaluates bool) []OrderReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []OrderReport
	for _, o := range r.orders {
		if o.phase.Over() {
			continue
		}
		o.oldInFlight = oldInFlight(o.Service, o.Target)
		if o.phase == rollout.Canary && r.now().Sub(o.orderedAt) < canaryDelay {
			// Until the canary begins every session is on the old version.
			o.pinnedSessions = r.sessions.canarySessions(o.Service, r.now())
		}
		p := OrderReport{
			Service: o.Service, Offset: o.Offset, Phase: o.phase, AgeMs: r.now().Sub(o.orderedAt).Milliseconds(),
			OldInFlight: o.oldInFlight, PinnedSessions: slices.Collect(maps.Keys(o.pinnedSessions)), Suspended: evaluates && o.suspended,
		}
		if evidence {
			p.Evidence = o.evidence()
		}
		out = append(out, p)
	}
	return out
}

func (o *orderState) evidence() rollout.Evidence {
	var e rollout.Evidence
	for _, c := range o.ownEvidence {
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
		if p.Evidence == nil {
			// It was told without evidence: what it saw before stays true.
			p.Evidence = o.peerReports[incarnation].Evidence
		}
		o.peerReports[incarnation] = p
		if p.Suspended {
			r.suspend(o, "a daemon that judges says so")
		}
		if age := time.Duration(p.AgeMs) * time.Millisecond; age > r.now().Sub(o.orderedAt) {
			o.orderedAt = r.now().Add(-age)
		}
		if !p.Phase.Over() {
			r.advance(o, p.Phase, "another daemon says so")
		}
	}
}

// PhaseChange is a phase that an order should go on to.
type PhaseChange struct {
	Order  rollout.Order
	Phase  rollout.Phase
	Age    time.Duration
	Reason string
}

// NextPhases lists the orders that should go on, by the evidence of all daemons. Alive
// tells whether an incarnation still runs, since only then does its work count.
func (r *Rollouts) NextPhases(alive func(incarnation string) bool) []PhaseChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []PhaseChange
	for _, o := range r.orders {
		if o.phase.Over() {
			continue
		}
		parts, oldInFlight := []rollout.Evidence{o.evidence()}, o.oldInFlight
		for incarnation, p := range o.peerReports {
			parts = append(parts, p.Evidence)
			if alive(incarnation) {
				oldInFlight += p.OldInFlight
			}
		}
		all := rollout.Sum(parts...)
		age := r.now().Sub(o.orderedAt)
		if p, reason := rollout.DefaultCourse().Next(o.Order, o.phase, age, all, oldInFlight); p != o.phase {
			out = append(out, PhaseChange{o.Order, p, age, reason})
		}
	}
	return out
}

// Suspend stops this daemon's use of a new version at once, before the store says
// so: writing there takes time, and fails while it is away.
func (r *Rollouts) Suspend(service string, offset uint64, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders[service]; o != nil && o.Offset == offset {
		r.suspend(o, reason)
	}
}

// suspend stops this daemon's use of an order's version. Callers hold mu.
func (r *Rollouts) suspend(o *orderState, reason string) {
	if o.phase.Over() || o.suspended {
		return
	}
	o.suspended = true
	r.log.Warn("new version not used any more", "service", o.Service, "target", o.Target, "why", reason)
}
