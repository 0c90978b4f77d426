package daemon

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// observeLimit records the request rate that the server at an address states, or zero.
func (b *balancer) observeLimit(address string, perSecond float64, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if perSecond == 0 && b.gate.Limits().Limited() == 0 {
		return
	}
	cand, known := b.findCandidate(func(c *routing.Candidate) bool { return c.Address == address })
	if known && b.gate.Limits().Observe(cand.Hash, perSecond, sentAt.Sub(b.startedAt), b.uptime()) {
		b.d.log.Info("server limit", "server", cand.ID, "per_second", perSecond, "by", "response")
	}
}

// findCandidate returns the first server that matches. Callers hold mu.
func (b *balancer) findCandidate(matches func(*routing.Candidate) bool) (routing.Candidate, bool) {
	now := time.Now()
	for _, p := range b.pools {
		for _, cand := range p.load.Snapshot(nil, now) {
			if cand.ID != "" && matches(&cand) {
				return cand, true
			}
		}
	}
	return routing.Candidate{}, false
}

// mergeLimits applies the request rates of servers that another daemon reported.
func (b *balancer) mergeLimits(updates []serverlimit.Update) {
	if len(updates) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range b.gate.Limits().Merge(updates, b.uptime()) {
		cand, known := b.findCandidate(func(c *routing.Candidate) bool { return c.Hash == server })
		if known {
			b.d.log.Info("server limit", "server", cand.ID, "per_second", b.gate.Limits().Rate(server), "by", "peer")
		}
	}
}

// serverLimits returns the recent changes of the servers' request rates, or all rates.
func (b *balancer) serverLimits(all bool) []serverlimit.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Limits().Updates(all, b.uptime())
}
