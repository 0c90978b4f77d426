package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// observeLimit records the request rate that the server at an address states, or zero.
func (b *balancer) observeLimit(address string, perSecond float64, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, known := b.idByAddress[address]
	if known && b.gate.Limits().Observe(xxhash.Sum64String(id), perSecond, sentAt.Sub(b.startedAt), b.uptime()) {
		b.d.log.Info("server limit", "server", id, "per_second", perSecond, "by", "response")
	}
}

// mergeLimits applies the request rates of servers that another daemon reported.
func (b *balancer) mergeLimits(updates []serverlimit.Update) {
	if len(updates) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range b.gate.Limits().Merge(updates, b.uptime()) {
		b.d.log.Info("server limit", "server", b.idByHash[server], "per_second", b.gate.Limits().Rate(server), "by", "peer")
	}
}

// serverLimits returns the recent changes of the servers' request rates, or all rates.
func (b *balancer) serverLimits(all bool) []serverlimit.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Limits().Updates(all, b.uptime())
}
