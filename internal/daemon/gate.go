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

// peerViewInterval is the period of updating the set of daemons among which the limits
// of warming servers are divided.
const peerViewInterval = 250 * time.Millisecond

// uptime returns the time since the start of the daemon, the clock of the gate.
func (b *balancer) uptime() time.Duration { return time.Since(b.startedAt) }

// slowStartLimit converts the slow-start settings of a pool to a limit.
func slowStartLimit(s *fleet.SlowStart) slowstart.Limit {
	if s == nil {
		return slowstart.Limit{}
	}
	return slowstart.Limit{WarmupPeriod: time.Duration(s.Seconds * float64(time.Second)), PerSecond: s.PerSecond, BurstFactor: 1, Burst: s.Burst}
}

// gateServer converts a candidate to the input of the gate.
func gateServer(poolName string, p *pool, limit slowstart.Limit, cand *routing.Candidate) gate.Server {
	return gate.Server{ID: cand.ID, Name: cand.ID, Hash: cand.Hash, FailureDomain: cand.FailureDomain, Leaving: cand.Leaving, WarmAt: p.warmAt[cand.ID], Limit: limit, Service: poolName, Slots: cand.Slots, InFlight: cand.InFlight}
}

// excludeRefused marks the candidates that the gate refuses as tried and counts the
// refusals by reason. Callers hold mu.
func (b *balancer) excludeRefused(poolName string, p *pool, s *fleet.SlowStart, candidates []routing.Candidate, r *routing.Request) (refused gate.Refusals) {
	now, limit := b.uptime(), slowStartLimit(s)
	for i := range candidates {
		if candidates[i].ID == "" {
			continue
		}
		if !b.gate.Admit(gate.Request{}, gateServer(poolName, p, limit, &candidates[i]), now, &refused) {
			r.Tried.Add(i)
		}
	}
	return refused
}

// recordResponse reports to the gate that a server has responded. Callers hold mu.
func (b *balancer) recordResponse(picked pick) {
	b.gate.ServerResponded(picked.candidate.ID, picked.slowStart, b.uptime())
}

// terminatedServers returns the servers that have terminated and are not warm since.
func (b *balancer) terminatedServers() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Terminated()
}

// terminations returns the recent terminations, for other daemons.
func (b *balancer) terminations() []gate.Termination {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Terminations(b.uptime())
}

// mergeTerminations records the terminations that another daemon reports, and passes on new ones.
func (b *balancer) mergeTerminations(list []gate.Termination) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gate.MergeTerminations(list, b.uptime()) {
		b.limitBroadcast.Request()
	}
}

// addTerminatedServers records the servers that another daemon reports as terminated.
func (b *balancer) addTerminatedServers(servers []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gate.AddTerminated(servers, b.uptime())
}

// syncEvacuations applies the evacuations of the configuration to the gate.
// Callers hold mu.
func (b *balancer) syncEvacuations(cfg *fleet.Config) {
	now := b.uptime()
	for domain, evacuation := range cfg.Evacuations {
		if b.gate.Evacuate(domain, now) {
			b.d.log.Warn("failure domain evacuated", "failure_domain", domain, "reason", evacuation.Reason, "config", cfg.Number)
		}
	}
	for _, evacuation := range b.gate.Evacuations() {
		if _, listed := cfg.Evacuations[evacuation.FailureDomain]; !listed && b.gate.Readmit(evacuation.FailureDomain, now) {
			b.d.log.Warn("failure domain readmitted", "failure_domain", evacuation.FailureDomain, "config", cfg.Number)
		}
	}
}

// updatePeerView passes the current set of live daemons to the gate.
func (b *balancer) updatePeerView(context.Context) {
	view := b.d.members.peerView()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gate.SetView(view, b.uptime())
	b.sweepGate()
	b.d.metrics.serversLimited.Update(float64(b.gate.Limits().Limited(b.uptime())))
	b.d.metrics.serversLeaving.Update(float64(b.gate.Departures().Count()))
	b.d.metrics.serversPaused.Update(float64(b.gate.PausedServers(b.uptime())))
}

// peerView returns the live daemons. The view is trusted if this daemon is in the
// majority or runs alone without configured peers.
func (m *memberlist) peerView() slowstart.View {
	self := m.d.settings.ID
	majority := m.inMajority()
	members := m.lockTable().Members()
	m.mu.Unlock()
	view := slowstart.View{Self: xxhash.Sum64String(self), Trusted: majority || len(members) == 1 && len(m.d.settings.Peers) == 0}
	for _, member := range members {
		if member.ID != self && member.State == membership.Alive && !member.Leaving {
			view.Peers = append(view.Peers, xxhash.Sum64String(member.ID))
		}
	}
	return view
}
