package daemon

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// observeLimit records what a response says about the limit of the server at an address.
func (b *balancer) observeLimit(address string, s serverlimit.Statement, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.requestLimitBroadcast()
	id, known := b.idByAddress[address]
	switch {
	case !known:
	case s.Kind == serverlimit.Unreadable:
		b.d.metrics.unreadableLimits.Inc(1)
		b.d.log.Warn("server limit unreadable", "server", id)
	case b.gate.Limits().Observe(serverlimit.Key(id), s, sentAt.Sub(b.startedAt), b.uptime()):
		b.d.log.Info("server limit", "server", id, "per_second", b.gate.Limits().Reported(serverlimit.Key(id)), "by", "response")
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
