package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// Rollouts holds the rollout orders of services, this daemon's evidence on both
// versions, and the reports of other daemons.
type Rollouts struct {
	log *log.Logger
	now func() time.Time

	mu     sync.Mutex
	orders map[string]*orderState
	// sessionIdleTimeout is the maximum time between two requests of a session.
	sessionIdleTimeout time.Duration
	// reportedOrders are the newest orders that peers reported and this daemon has not read.
	reportedOrders map[string]reportedOrder
	// storedPhases are the phases in the store, by service. A phase may be read before
	// its order.
	storedPhases map[string]datedPhase
	// alarms counts the bad answers of new versions.
	alarms uint64
	// lostPhases holds the services whose phase is missing from a store that was
	// restored from an older copy, with the time at which this was found.
	// storeEraChanged is set once the store was restored.
	lostPhases      map[string]time.Time
	storeEraChanged bool
	// exposureLimit bounds the use of versions that are not known to be good, by all daemons together;
	// daemons is the most that were seen.
	exposureLimit ExposureLimit
	daemons       int
}

// reportedOrder is an order as known from reports of peers.
type reportedOrder struct {
	offset    uint64
	orderedAt time.Time
}

type orderState struct {
	rollout.Order
	phase rollout.Phase
	// suspended is set if this daemon has stopped using the new version, for suspendedReason. A final phase
	// in the store overrides it, as no old server is left after a completed order.
	suspended       bool
	suspendedReason string
	// orderedAt is when the order was given, by this daemon's clock.
	orderedAt   time.Time
	ownEvidence map[evidenceKey]*rollout.ServerCounts
	// runningLatencies are this daemon's latencies of the running version by route.
	runningLatencies map[uint32]*rollout.LatencyCounts
	// pending are this daemon's sends whose answers are not complete.
	pending     map[*target]*pendingAnswer
	peerReports map[string]OrderReport
	// oldInFlight counts this daemon's requests on old servers.
	oldInFlight int
	// exposure counts this daemon's requests since it has known the order.
	exposure exposure
	// ownStanding is the new version's standing by the evidence that this daemon has,
	// reportedStanding that by an evaluating daemon's last report.
	ownStanding, reportedStanding standing
	reportedStandingAt            time.Time
}

// evidenceKey is a server and a hash of a route.
type evidenceKey struct {
	server string
	route  uint32
}

// OrderReport is a daemon's report on an order to its peers.
type OrderReport struct {
	Service     string           `cbor:"1,keyasint"`
	OrderOffset uint64           `cbor:"2,keyasint"`
	Phase       rollout.Phase    `cbor:"3,keyasint"`
	OrderAgeMs  int64            `cbor:"4,keyasint"`
	OldInFlight int              `cbor:"5,keyasint"`
	Evidence    rollout.Evidence `cbor:"6,keyasint,omitempty"`
	// Suspended is set if a daemon that evaluates the evidence of all has suspended the
	// new version. Peers suspend it too, since the store may be unreachable.
	Suspended bool `cbor:"8,keyasint,omitempty"`
	// Standing is the new version's standing, if a daemon that evaluates the evidence of all has
	// found one.
	Standing standing `cbor:"9,keyasint,omitempty"`
}

// NewRollouts returns Rollouts without orders. SessionIdleTimeout is the maximum time
// between two requests of a session; now reads the clock.
func NewRollouts(sessionIdleTimeout time.Duration, now func() time.Time, logger *log.Logger) *Rollouts {
	return &Rollouts{
		log: logger, now: now, orders: map[string]*orderState{}, storedPhases: map[string]datedPhase{}, reportedOrders: map[string]reportedOrder{}, lostPhases: map[string]time.Time{},
		sessionIdleTimeout: sessionIdleTimeout,
	}
}

// AddOrder adds an order. A known or older order is ignored.
func (r *Rollouts) AddOrder(order rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.orders[order.Service]
	if known != nil && known.Offset >= order.Offset {
		return
	}
	if known != nil && laterEra(order.Offset, known.Offset) && order.Target == known.Target {
		// The store was restored from an older copy. This is the known order, read or
		// written again; a finished one must not restart.
		known.Offset = order.Offset
		r.reconcile(order.Service)
		return
	}
	order.SessionIdleTimeout = r.sessionIdleTimeout
	orderedAt := r.now()
	if reported, known := r.reportedOrders[order.Service]; known && reported.offset == order.Offset {
		orderedAt = reported.orderedAt
	}
	r.orders[order.Service] = &orderState{
		Order: order, orderedAt: orderedAt,
		ownEvidence: map[evidenceKey]*rollout.ServerCounts{}, runningLatencies: map[uint32]*rollout.LatencyCounts{}, pending: map[*target]*pendingAnswer{}, peerReports: map[string]OrderReport{},
	}
	r.log.Info("roll-out ordered", "service", order.Service, "target", order.Target, "offset", order.Offset, "duration", order.Duration)
	r.reconcile(order.Service)
}

// advance moves an order to a later phase. Callers hold mu.
func (r *Rollouts) advance(order *orderState, phase rollout.Phase, reason string) {
	if phase <= order.phase || order.phase.Final() {
		return
	}
	order.suspended = order.suspended && !phase.Final()
	r.log.Info("roll-out phase", "service", order.Service, "target", order.Target, "from", order.phase, "to", phase, "why", reason, "since_ms", r.now().Sub(order.orderedAt).Milliseconds())
	order.phase = phase
	if phase == rollout.Full {
		order.FullSince = r.now().Sub(order.orderedAt)
	}
}

// VersionChoice is the set of server versions that a request may use.
type VersionChoice struct {
	// Preferred admits the preferred versions.
	Preferred func(version string) bool
	// Fallback admits the versions to use if no server of a preferred one is available.
	Fallback func(version string) bool
	// Fraction limits the request to a fraction of the preferred servers; 0 means all. A
	// small share of the requests then loads these servers as much as any other, which
	// exposes a version that fails under load.
	Fraction float64
}

func anyVersion(string) bool { return true }

// ChooseVersion selects the server versions for a request. In the first half of a roll-out,
// sessions stay on the old version. Later they are assigned by their hash, which is the same
// on every daemon; as the share never shrinks, no session moves back.
func (r *Rollouts) ChooseVersion(service, session string, hash uint64) VersionChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	if session != "" {
		hash = xxhash.Sum64String(session)
	}
	order := r.orders[service]
	if order == nil {
		return VersionChoice{Preferred: anyVersion, Fallback: anyVersion}
	}
	target := order.Target
	onNew := func(v string) bool { return v == target }
	onOld := func(v string) bool { return v != target }
	age := r.now().Sub(order.orderedAt)
	if order.phase == rollout.RolledBack || session != "" && order.keepsSessions(age) {
		return VersionChoice{Preferred: onOld, Fallback: onOld}
	}
	allowed := r.mayUseNewVersion(order)
	switch {
	case order.suspended, !allowed && (session == "" || !order.inShare(hash, age)):
		return VersionChoice{Preferred: onOld, Fallback: onOld}
	case !order.inShare(hash, age):
		return VersionChoice{Preferred: onOld, Fallback: anyVersion}
	}
	return VersionChoice{Preferred: onNew, Fallback: anyVersion, Fraction: rollout.DefaultOrderPolicy().Share(order.phase)}
}

// keepsSessions reports whether all sessions stay on the old version. No daemon knows whether
// a session had requests at others, so its first requests here may not use the new version either.
func (o *orderState) keepsSessions(age time.Duration) bool {
	return o.phase == rollout.Canary && rollout.DefaultOrderPolicy().KeepsSessions(o.Order, age)
}

// inShare reports whether requests or sessions with a hash use the new version.
func (o *orderState) inShare(hash uint64, age time.Duration) bool {
	if o.phase == rollout.Canary && age < canaryDelay {
		return false
	}
	return float64(hash>>versionHashShift%shareResolution) < rollout.DefaultOrderPolicy().Share(o.phase)*shareResolution
}

// canaryDelay is the time before the first request uses a new version. Meanwhile new
// servers register; the canary's load would be too much for the first alone.
const canaryDelay = 1200 * time.Millisecond

// versionHashShift selects hash bits that are independent of those for the choice of
// the service.
const versionHashShift = 16

// shareResolution is the number of buckets that hashes are assigned to.
const shareResolution = 1000

// unproven reports whether a server has the target version of a running order.
func (r *Rollouts) unproven(t *target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := r.orders[t.service]
	return order != nil && !order.phase.Final() && t.server.Version == order.Target
}

// recordResponse adds a response to a request of a route to the evidence on a version. Latency is in
// seconds or as a ratio to the expected one, the same for all responses of the route, or unknownLatency.
func (r *Rollouts) recordResponse(t *target, route string, failed bool, latency float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := r.orders[t.service]
	if order == nil || order.phase.Final() {
		return
	}
	delete(order.pending, t)
	counts := order.countsOf(t, route)
	counts.Counts.Requests++
	slow := false
	if failed {
		counts.Counts.Errors++
	} else if !t.warming {
		slow = order.recordLatency(counts, latency)
	}
	if counts.New && (failed || slow) {
		r.alarms++
	}
}

// unknownLatency is the latency of a response that is not comparable with others.
const unknownLatency = 0

// recordLatency adds the latency of an answer, and reports whether it is slower than most of the running
// version's.
func (o *orderState) recordLatency(counts *rollout.ServerCounts, latency float64) (slow bool) {
	comparable := o.comparableLatency(latency, counts.New)
	counts.Counts.Latencies.Add(comparable)
	running := o.runningLatencies[counts.Route]
	switch {
	case counts.New:
		return running != nil && running.SlowerThanMost(comparable)
	case running == nil:
		running = &rollout.LatencyCounts{}
		o.runningLatencies[counts.Route] = running
	}
	running.Add(comparable)
	return false
}

// comparableLatency returns a latency as the answers of the other version are compared with it. In the full
// phase the new version carries the whole load, and the old one no longer serves as a reference.
func (o *orderState) comparableLatency(latency float64, isNew bool) float64 {
	if isNew && o.phase == rollout.Full {
		return latency / fullLoadFactor
	}
	return latency
}

// fullLoadFactor is the factor by which a sound version may be slower under the whole load.
const fullLoadFactor = 2

// Alarms reports whether a roll-out is running, and counts the bad answers of new versions that
// this daemon got.
func (r *Rollouts) Alarms() (active bool, alarms uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, order := range r.orders {
		active = active || !order.phase.Final()
	}
	return active, r.alarms
}

// Reports returns this daemon's reports for a peer, with or without its evidence.
// OldInFlight counts a service's own requests on servers of other versions than the
// target. Evaluates is set if this daemon evaluates the evidence of all.
func (r *Rollouts) Reports(oldInFlight func(service, target string) int, evidence, evaluates bool) []OrderReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []OrderReport
	for _, order := range r.orders {
		if order.phase.Final() {
			continue
		}
		order.oldInFlight = oldInFlight(order.Service, order.Target)
		report := OrderReport{
			Service: order.Service, OrderOffset: order.Offset, Phase: order.phase, OrderAgeMs: r.now().Sub(order.orderedAt).Milliseconds(),
			OldInFlight: order.oldInFlight, Suspended: evaluates && order.suspended,
		}
		if evaluates {
			report.Standing = order.ownStanding
		}
		if evidence {
			report.Evidence = order.evidence(r.now())
		}
		out = append(out, report)
	}
	return out
}

// ApplyReports applies another daemon's reports. Reports of daemons that have ended
// remain valid.
func (r *Rollouts) ApplyReports(incarnation string, reports []OrderReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		order := r.orders[report.Service]
		orderedAt := r.now().Add(-time.Duration(report.OrderAgeMs) * time.Millisecond)
		if order == nil || order.Offset != report.OrderOffset {
			r.rememberReported(report, orderedAt)
			continue
		}
		if report.Evidence == nil {
			// A report without evidence keeps the evidence reported before.
			report.Evidence = order.peerReports[incarnation].Evidence
		}
		order.peerReports[incarnation] = report
		if report.Suspended {
			r.suspend(order, "suspended by an evaluating daemon")
		}
		if report.Standing == acquitted || report.Standing == inDoubt {
			order.reportedStanding, order.reportedStandingAt = report.Standing, r.now()
		}
		if orderedAt.Before(order.orderedAt) {
			order.orderedAt = orderedAt
		}
		if !report.Phase.Final() {
			r.advance(order, report.Phase, "reported by another daemon")
		}
	}
}

// rememberReported keeps the time of an order that this daemon has not read yet. A daemon
// that starts during a roll-out would otherwise take the order for new. Callers hold mu.
func (r *Rollouts) rememberReported(report OrderReport, orderedAt time.Time) {
	known := r.reportedOrders[report.Service]
	if report.OrderOffset > known.offset || report.OrderOffset == known.offset && orderedAt.Before(known.orderedAt) {
		r.reportedOrders[report.Service] = reportedOrder{report.OrderOffset, orderedAt}
	}
}

// PhaseChange is a transition of an order to a phase. Age is the time since the order.
type PhaseChange struct {
	Order    rollout.Order
	Phase    rollout.Phase
	OrderAge time.Duration
	Reason   string
	// Evidence is the evidence of all daemons that led to the change.
	Evidence rollout.Evidence
}

// NextPhases lists the due phase changes, by the evidence of all daemons. Only requests in
// flight of incarnations that alive reports as running are counted.
func (r *Rollouts) NextPhases(alive func(incarnation string) bool) []PhaseChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []PhaseChange
	for _, order := range r.orders {
		if order.phase.Final() {
			continue
		}
		allEvidence, oldInFlight := []rollout.Evidence{order.evidence(r.now())}, order.oldInFlight
		for incarnation, p := range order.peerReports {
			allEvidence = append(allEvidence, p.Evidence)
			if alive(incarnation) {
				oldInFlight += p.OldInFlight
			}
		}
		total := rollout.SumEvidence(allEvidence...)
		r.evaluateStanding(order, total)
		age := r.now().Sub(order.orderedAt)
		if p, reason := order.nextPhase(age, total, oldInFlight); p != order.phase {
			out = append(out, PhaseChange{order.Order, p, age, reason, total})
		}
	}
	return out
}

// nextPhase returns the next phase of the order and its reason. A suspended version serves no
// requests, so that no more evidence of it can be had; the order is rolled back.
func (o *orderState) nextPhase(age time.Duration, total rollout.Evidence, oldInFlight int) (rollout.Phase, string) {
	if o.suspended {
		return rollout.RolledBack, o.suspendedReason
	}
	return rollout.DefaultOrderPolicy().NextPhase(o.Order, o.phase, age, total, oldInFlight)
}

// Suspend stops this daemon's use of a new version at once, before the phase is
// written to the store, which takes time and fails while the store is unreachable.
func (r *Rollouts) Suspend(service string, offset uint64, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if order := r.orders[service]; order != nil && order.Offset == offset {
		r.suspend(order, reason)
	}
}

// suspend stops this daemon's use of an order's target version. Callers hold mu.
func (r *Rollouts) suspend(order *orderState, reason string) {
	if order.phase.Final() || order.suspended {
		return
	}
	order.suspended, order.suspendedReason = true, reason
	r.log.Warn("new version not used any more", "service", order.Service, "target", order.Target, "why", reason)
}
