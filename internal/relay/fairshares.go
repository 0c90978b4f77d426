package relay

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/fairshare"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

const (
	// tolerableWait is the part of a route's latency target after which a request waits too long. In
	// what is left, requests that go behind can still make room for it.
	tolerableWait = 0.75
	// shareReportInterval is the least time between two messages with a report, so that the reports
	// of a daemon cost the same in a fleet of any size.
	shareReportInterval = 200 * time.Millisecond
	// neutralPriority is the priority of a workspace with the same weight as one without a priority.
	// Each step halves the weight, down to that of lowestWeighedPriority.
	neutralPriority       = 1
	lowestWeighedPriority = 4
)

// fairShares compares the work of workspaces on each service. It is inactive unless the configuration
// lists several workspaces.
type fairShares struct {
	metrics *Metrics
	log     *log.Logger

	mu      sync.Mutex
	ledgers map[string]*fairshare.Ledger
	logged  map[string]fairshare.Status
	// configVersion is the version of the configuration that names and weights reflect.
	configVersion int64
	names         map[fairshare.Key]string
	weights       map[fairshare.Key]float64
	// reportedAt is when the last report was made, and lastReported its service.
	reportedAt   time.Duration
	lastReported string
}

func newFairShares(m *Metrics, l *log.Logger) *fairShares {
	return &fairShares{metrics: m, log: l, ledgers: map[string]*fairshare.Ledger{}, logged: map[string]fairshare.Status{}}
}

// workspaceWeight returns the weight of a workspace's share.
func workspaceWeight(w route.Workspace) float64 {
	if !w.HasPriority {
		return 1
	}
	priority := min(max(w.Priority, 0), lowestWeighedPriority)
	return math.Exp2(float64(neutralPriority - priority))
}

// configure applies a configuration and reports whether it calls for fair shares. Callers hold mu.
func (f *fairShares) configure(t *route.Table) bool {
	if t == nil {
		return false
	}
	if t.Version != f.configVersion {
		f.configVersion = t.Version
		f.names, f.weights = map[fairshare.Key]string{}, map[fairshare.Key]float64{}
		t.EachWorkspace(func(w route.Workspace) {
			f.names[fairshare.KeyOf(w.Name)] = w.Name
			f.weights[fairshare.KeyOf(w.Name)] = workspaceWeight(w)
		})
		for service := range f.ledgers {
			if _, known := t.Services[service]; !known {
				delete(f.ledgers, service)
				delete(f.logged, service)
			}
		}
	}
	return len(f.weights) > 1
}

// ledger returns the ledger of a service, which it adds if it is new. Callers hold mu.
func (f *fairShares) ledger(service string) *fairshare.Ledger {
	l := f.ledgers[service]
	if l == nil {
		l = fairshare.NewLedger()
		f.ledgers[service] = l
	}
	return l
}

// refresh updates the shares of a service and logs what has changed. Callers hold mu.
func (f *fairShares) refresh(service string, l *fairshare.Ledger, daemons int, now time.Duration) {
	changes := l.Refresh(fairshare.View{Daemons: daemons, Weights: f.weights}, now)
	status := l.Status()
	for _, c := range changes {
		s := c.Standing
		f.log.Info("workspace share", "service", service, "workspace", f.names[c.Workspace], "over", s.Over, "used_ms", milliseconds(s.Used), "share_ms", milliseconds(s.Share), "contended", status.Contended, "daemons_heard", status.Heard, "daemons", status.Daemons)
	}
	if before := f.logged[service]; before.Contended != status.Contended || status.Contended && before.Informed != status.Informed {
		f.log.Info("service contention", "service", service, "contended", status.Contended, "compares_workspaces", status.Contended && status.Informed, "daemons_heard", status.Heard, "daemons", status.Daemons)
		f.logged[service] = status
	}
	over := 0
	for _, other := range f.ledgers {
		over += other.Status().Over
	}
	f.metrics.WorkspacesOverShare.Update(float64(over))
}

func milliseconds(seconds float64) int64 { return int64(seconds * 1000) }

// withLedger calls use with the ledger of the request's service, under the lock, if the configuration
// calls for fair shares.
func (x *exchange) withLedger(use func(l *fairshare.Ledger, now time.Duration)) {
	f, now, daemons := x.relay.fairShares, x.relay.State.bootTime(), x.relay.State.daemonCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.configure(x.relay.State.Table()) {
		return
	}
	l := f.ledger(x.service.Name)
	f.refresh(x.service.Name, l, daemons, now)
	use(l, now)
}

// checkShare decides whether the request is beyond its workspace's share. As many of a workspace's
// requests are as its work exceeds the share, chosen by hash.
func (x *exchange) checkShare() {
	if x.workspace == "" {
		return
	}
	x.withLedger(func(l *fairshare.Ledger, now time.Duration) {
		standing := l.Standing(fairshare.KeyOf(x.workspace))
		// The version of the server is chosen by the same hash, and must not depend on the share.
		position := float64(x.hash*hashMultiplier) / math.MaxUint64
		if position >= standing.Excess() {
			return
		}
		x.overShare = true
		x.displacedPerSecond = l.DisplacedPerSecond(now)
		x.relay.Metrics.RequestsOverShare.Inc(1)
	})
}

// recordWork records the work of a send, and whether the request is expected to wait too long.
func (x *exchange) recordWork(t *target) {
	work := x.expectedWork(t)
	x.withLedger(func(l *fairshare.Ledger, now time.Duration) {
		l.Record(fairshare.KeyOf(x.workspace), work.Seconds(), now)
		if x.route.LatencyTarget > 0 {
			l.ObserveWait(x.rank, x.expectsWait(t), now)
		}
	})
}

// expectedWork returns the server time of a send. A stream occupies one slot of its engine.
func (x *exchange) expectedWork(t *target) time.Duration {
	if x.service.Engine == nil {
		response, _ := x.relay.State.typicalLatency(t, false)
		return time.Duration(response * float64(time.Second))
	}
	prefill := time.Duration(t.pendingPrefill * float64(referenceTokenTime))
	stream := x.relay.State.remainingStreamTime(t, x.expectedEvents())
	return prefill + stream/time.Duration(max(t.server.Slots, 1))
}

// expectsWait reports whether a send is expected to wait longer than its caller tolerates.
func (x *exchange) expectsWait(t *target) bool {
	if x.service.Engine == nil {
		return t.server.Slots > 0 && t.inFlight > t.server.Slots
	}
	return x.waitsTooLong(time.Since(x.call.Received) + t.expectedLatency)
}

func (x *exchange) waitsTooLong(wait time.Duration) bool {
	return wait.Seconds() > tolerableWait*x.route.LatencyTarget.Seconds()
}

// recordWait records whether the first event or the response came later than its caller tolerates.
func (x *exchange) recordWait() {
	if x.route.LatencyTarget <= 0 {
		return
	}
	late := x.waitsTooLong(time.Since(x.call.Received))
	x.withLedger(func(l *fairshare.Ledger, now time.Duration) { l.ObserveWait(x.rank, late, now) })
}

// WorkspaceReport returns this daemon's recent work on a contended service, for the other daemons, or
// nil if none is due. Several contended services take turns.
func (r *Relay) WorkspaceReport() *fairshare.Report {
	f, now, daemons := r.fairShares, r.State.bootTime(), r.State.daemonCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.reportedAt < shareReportInterval {
		return nil
	}
	var due []string
	for service, l := range f.ledgers {
		f.refresh(service, l, daemons, now)
		if l.ReportDue(now) {
			due = append(due, service)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.Sort(due)
	next, found := slices.BinarySearch(due, f.lastReported)
	if found {
		next++
	}
	f.reportedAt, f.lastReported = now, due[next%len(due)]
	report := f.ledgers[f.lastReported].Report(fairshare.KeyOf(f.lastReported), now)
	return &report
}

// MergeWorkspaceReport applies another daemon's report. One that no daemon can have sent is dropped, and
// one on a service of another version of the configuration ignored.
func (r *Relay) MergeWorkspaceReport(daemon string, report *fairshare.Report) {
	if report == nil {
		return
	}
	f, now := r.fairShares, r.State.bootTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	table := r.State.Table()
	if !f.configure(table) {
		return
	}
	for service := range table.Services {
		if fairshare.KeyOf(service) != report.Service {
			continue
		}
		if err := f.ledger(service).Merge(xxhash.Sum64String(daemon), *report, now); err != nil {
			f.metrics.ShareReportsDropped.Inc(1)
			f.log.Warn("report of workspaces' work dropped", "daemon", daemon, "service", service, "err", err)
		}
		return
	}
}
