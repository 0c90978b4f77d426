package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/concurrencylimit"
	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// observe records what a response says about the server at an address.
func (b *balancer) observe(address string, s serverstatus.Statements, o engine.Outcome, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.requestLimitBroadcast()
	id, known := b.idByAddress[address]
	if !known {
		return
	}
	b.logUnreadable(id, s)
	poolName, cand := b.poolOf(id)
	change := b.gate.Observe(gate.Response{
		ServerID: id, ServerName: id, Statements: s, Succeeded: o == engine.Succeeded, SentAt: sentAt.Sub(b.startedAt),
		Service: poolName, Slots: cand.Slots, InFlight: cand.InFlight + int(cand.OthersInFlight), Rejected: o == engine.Rejected,
	}, b.uptime())
	if change.ToleranceChanged {
		b.d.log.Info("rejection tolerance", "pool", poolName, "server", id, "stated", s.Tolerance.Kind == serverstatus.Stated, "per_second", s.Tolerance.PerSecond)
	}
	if change.RejectionObserved {
		b.d.log.Info("server rejected request", "server", id)
	}
	if change.ToleranceChanged || change.RejectionObserved {
		b.limitBroadcast.Request()
	}
	if change.Leaving {
		b.d.log.Info("server leaving", "server", id, "by", "response")
	}
	if change.Pause > 0 {
		b.d.metrics.pauses.Inc(1)
		b.d.log.Info("server pause", "server", id, "pause_ms", change.Pause.Milliseconds())
	}
	if change.LimitChanged {
		b.d.log.Info("server limit", "server", id, "per_second", change.PerSecond, "by", "response")
	}
}

// poolOf returns the pool of a server and the server. Callers hold mu.
func (b *balancer) poolOf(id string) (name string, server routing.Candidate) {
	for name := range b.pools {
		for _, cand := range b.candidates(name) {
			if cand.ID == id {
				return name, cand
			}
		}
	}
	return "", routing.Candidate{}
}

// concurrencyLimits returns the recent reports of servers that tolerate few rejections.
func (b *balancer) concurrencyLimits() []concurrencylimit.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Concurrency().Reports(b.uptime())
}

// mergeConcurrencyLimits applies the reports of another daemon of servers that tolerate few
// rejections, and passes on new ones.
func (b *balancer) mergeConcurrencyLimits(reports []concurrencylimit.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gate.Concurrency().Merge(reports, b.uptime()) {
		b.limitBroadcast.Request()
	}
}

// logUnreadable logs and counts the statements of a response that could not be parsed.
func (b *balancer) logUnreadable(id string, s serverstatus.Statements) {
	if s.Limit.Kind == serverlimit.Unreadable {
		b.d.metrics.unreadableLimits.Inc(1)
		b.d.log.Warn("server limit unreadable", "server", id)
	}
	if s.Leaving == serverstatus.Unreadable || s.Pause.Kind == serverstatus.Unreadable || s.Tolerance.Kind == serverstatus.Unreadable {
		b.d.metrics.unreadableStatements.Inc(1)
		b.d.log.Warn("server statement unreadable", "server", id, "leaving", s.Leaving == serverstatus.Unreadable, "pause", s.Pause.Kind == serverstatus.Unreadable, "tolerance", s.Tolerance.Kind == serverstatus.Unreadable)
	}
}

// mergeLimits applies the request rates of servers that another daemon reported.
func (b *balancer) mergeLimits(updates []serverlimit.Update) {
	if len(updates) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.requestLimitBroadcast()
	for _, change := range b.gate.Limits().Merge(updates, b.uptime()) {
		b.d.log.Info("server limit", "server", b.idByHash[change.Server], "per_second", change.PerSecond, "by", "peer")
	}
}

// requestLimitBroadcast requests a broadcast if there are urgent reports. Callers hold mu.
func (b *balancer) requestLimitBroadcast() {
	if b.gate.Limits().TakeUrgent() {
		b.limitBroadcast.Request()
	}
}

// sweepGate drops the state of servers that are not configured. Callers hold mu.
func (b *balancer) sweepGate() {
	if !b.gate.SweepDue(b.uptime()) {
		return
	}
	b.gate.Sweep(func(yield func(id, name string) bool) {
		for _, id := range b.idByHash {
			if !yield(id, id) {
				return
			}
		}
	}, b.uptime())
}

// serverLimits returns the recent changes of the servers' request rates, or all rates.
func (b *balancer) serverLimits(all bool) []serverlimit.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Limits().Updates(all, b.uptime())
}

// leaves reports whether a server leaves, by the VM list or by its own statement. Callers hold mu.
func (b *balancer) leaves(id string) bool {
	return b.leaving[id] || b.gate.Departures().Leaving(xxhash.Sum64String(id))
}

// observeDraining records what a load report, requested at a time, says about its server. Callers
// hold mu.
func (b *balancer) observeDraining(id string, draining bool, requestedAt time.Duration) {
	server := xxhash.Sum64String(id)
	if draining && b.gate.Departures().Observe(server, b.uptime()) {
		b.d.log.Info("server leaving", "server", id, "by", "load report")
	}
	if !draining && b.gate.Departures().ObserveStaying(server, requestedAt, b.uptime()) {
		b.d.log.Info("server stays", "server", id, "by", "load report")
	}
}

// observeRefusedConnection records that no process listens at the address of a server. The next
// one there does not leave.
func (b *balancer) observeRefusedConnection(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gate.Departures().End(xxhash.Sum64String(id), b.uptime()) {
		b.d.log.Info("server that was leaving has terminated", "server", id)
	}
}

// mergeDepartures applies the reports of another daemon of servers that have stated that they leave.
func (b *balancer) mergeDepartures(reports []serverstatus.DepartureReport) {
	if len(reports) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range b.gate.Departures().Merge(reports, b.uptime()) {
		if id, known := b.idByHash[server]; known {
			b.d.log.Info("server leaving", "server", id, "by", "peer")
		}
	}
}

// departures returns the recent reports of servers that have stated that they leave, or all.
func (b *balancer) departures(all bool) []serverstatus.DepartureReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Departures().Reports(all, b.uptime())
}
