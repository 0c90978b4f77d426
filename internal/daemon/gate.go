package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// viewEvery is how often a daemon looks with whom it shares the limits of warming servers.
const viewEvery = 250 * time.Millisecond

// boot reads the clock that the gate goes by.
func (p *pools) boot() time.Duration { return time.Since(p.born) }

// limitOf is what a warming server of a pool bears.
func limitOf(s *fleet.SlowStart) slowstart.Limit {
	if s == nil {
		return slowstart.Limit{}
	}
	return slowstart.Limit{WarmupPeriod: time.Duration(s.Seconds * float64(time.Second)), PerSecond: s.PerSecond, BurstFactor: 1, BurstSlack: s.Burst}
}

// gated is a server as the gate sees it. Callers hold mu.
func (p *pools) gated(st *pool, s *fleet.SlowStart, c *routing.Candidate) gate.Server {
	return gate.Server{ID: c.ID, Hash: c.Hash, FailureDomain: c.FailureDomain, Leaving: c.Leaving, WarmAt: st.warmAt[c.ID], Limit: limitOf(s)}
}

// bar excludes the servers that may get nothing now, and counts why. Callers hold mu.
func (p *pools) bar(st *pool, s *fleet.SlowStart, candidates []routing.Candidate, r *routing.Request) (refused gate.Refusals) {
	now := p.boot()
	for i := range candidates {
		if candidates[i].ID == "" {
			continue
		}
		if !p.gate.Admit(gate.Request{}, p.gated(st, s, &candidates[i]), now, &refused) {
			r.Tried.Add(i)
		}
	}
	return refused
}

// answered records at the gate that a server has answered. Callers hold mu.
func (p *pools) answered(c choice) { p.gate.ServerResponded(c.candidate.ID, c.limit, p.boot()) }

// pass records at the gate that a request is sent to a server. Callers hold mu.
func (p *pools) pass(st *pool, s *fleet.SlowStart, c *routing.Candidate) {
	p.gate.RecordSend(p.gated(st, s, c), p.boot())
}

// syncEvacuations brings the gate to the configuration in force. Callers hold mu.
func (p *pools) syncEvacuations(c *fleet.Config) {
	now := p.boot()
	for domain, e := range c.Evacuations {
		if p.gate.Evacuate(domain, now) {
			p.d.log.Warn("failure domain evacuated", "failure_domain", domain, "reason", e.Reason, "config", c.Number)
		}
	}
	for _, e := range p.gate.Evacuations() {
		if _, stays := c.Evacuations[e.FailureDomain]; !stays && p.gate.Readmit(e.FailureDomain, now) {
			p.d.log.Warn("failure domain readmitted", "failure_domain", e.FailureDomain, "config", c.Number)
		}
	}
}

// viewPeers looks with whom this daemon shares the limits of warming servers.
func (p *pools) viewPeers(context.Context) {
	v := p.d.members.view()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.SetView(v, p.boot())
}

// view returns the daemons that live. A daemon without configured peers is trusted alone.
func (m *members) view() slowstart.View {
	own := m.d.settings.ID
	trusted := m.hearsMost()
	rows := m.current().Members()
	m.mu.Unlock()
	v := slowstart.View{Self: xxhash.Sum64String(own), Trusted: trusted || len(rows) == 1 && len(m.d.settings.Peers) == 0}
	for _, r := range rows {
		if r.ID != own && r.State == membership.Alive && !r.Leaving {
			v.Peers = append(v.Peers, xxhash.Sum64String(r.ID))
		}
	}
	return v
}
