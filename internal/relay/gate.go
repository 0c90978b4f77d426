package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// Evacuate stops new requests to a failure domain and reports whether it was open.
func (s *State) Evacuate(domain string) bool {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Evacuate(domain, now)
}

// Readmit reopens a failure domain and reports whether it was evacuated.
func (s *State) Readmit(domain string) bool {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Readmit(domain, now)
}

// Evacuations lists the evacuated failure domains.
func (s *State) Evacuations() []gate.Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Evacuations()
}

// SetSlowStartView sets the daemons that share the limits of warming servers.
func (s *State) SetSlowStartView(v slowstart.View) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetView(v, now)
	if s.gate.SweepDue(now) {
		s.gate.Sweep(s.registry.Names(), now)
	}
}

// gateServer converts a server to the gate's type.
func gateServer(b backend.Server, hash uint64, limit slowstart.Limit) gate.Server {
	return gate.Server{ID: b.ID, Name: b.Incarnation.Name, Hash: hash, FailureDomain: b.FailureDomain, Leaving: b.Leaving, WarmAt: b.WarmAt, Limit: limit, Service: b.Service, Slots: b.Slots}
}

// excludeRefused excludes the servers that the gate refuses, and counts the refusals by reason.
func (s *State) excludeRefused(sel *selection, req *requirements, now time.Duration) {
	sel.refusals = gate.Refusals{}
	for i := range sel.candidates {
		server, known := sel.service.servers[sel.candidates[i].ID]
		if !known {
			continue
		}
		if req.permitted != "" && server.ID != req.permitted {
			sel.request.Tried.Add(i)
			continue
		}
		candidate := sel.gateServer(i, req)
		if !s.gate.Admit(req.gateRequest, candidate, now, &sel.refusals) {
			sel.request.Tried.Add(i)
		}
	}
}

// gateServer returns the candidate of an index for the gate.
func (sel *selection) gateServer(i int, req *requirements) gate.Server {
	candidate := &sel.candidates[i]
	out := gateServer(sel.service.servers[candidate.ID], candidate.Hash, req.slowStart)
	out.InFlight, out.Shards, out.Permitted = candidate.InFlight, sel.service.shardsInUse, req.permitted == candidate.ID
	return out
}

// recordSend records a send to the selected server at the gate, and reports whether
// that server is warming up.
func (s *State) recordSend(sel *selection, req *requirements, now time.Duration) (warming bool) {
	server := sel.gateServer(sel.decision.Index, req)
	s.gate.RecordSend(server, now)
	return now < s.gate.WarmAt(server, now)
}

// admits reports whether a request may still be sent to its server. It is asked once a connection
// is open, which may be long after the server was selected.
func (s *State) admits(t *target) bool {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	b, known := s.registry.ByID(t.server.ID, now)
	return known && s.gate.StillAdmits(gateServer(b, xxhash.Sum64String(b.ID), t.slowStart), now)
}

// RecordTermination records that a server's run has ended, and reports it to other daemons.
func (r *Relay) RecordTermination(id string) {
	now := r.State.bootTime()
	r.State.mu.Lock()
	r.State.gate.ServerTerminated(id, now)
	r.State.mu.Unlock()
	r.limitBroadcast.Request()
}

// MergeTerminations records the terminations that another daemon reports, and passes on new ones.
func (r *Relay) MergeTerminations(list []gate.Termination) {
	if len(list) == 0 {
		return
	}
	now := r.State.bootTime()
	r.State.mu.Lock()
	added := r.State.gate.MergeTerminations(list, now)
	r.State.mu.Unlock()
	if added {
		r.limitBroadcast.Request()
	}
}

// Terminations returns the recent terminations, for other daemons.
func (s *State) Terminations() []gate.Termination {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Terminations(now)
}

// KnowsTermination reports whether a server, by the hash of its ID, has terminated and is not warm
// since.
func (s *State) KnowsTermination(server uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.HasTerminated(server)
}

// TerminatedServers returns the servers that have terminated and are not warm since, for a daemon
// that just joined.
func (s *State) TerminatedServers() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Terminated()
}

// AddTerminatedServers records the servers that another daemon reports as terminated.
func (s *State) AddTerminatedServers(servers []uint64) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.AddTerminated(servers, now)
}

// WarmingServers counts the servers that were warming up when their service last selected one.
func (s *State) WarmingServers() (n int) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.services {
		for _, b := range sv.servers {
			if now < b.WarmAt {
				n++
			}
		}
	}
	return n
}

// noServerError returns the refusal for a request that no server can take. Callers hold mu.
func (s *State) noServerError(sel *selection, req *requirements) *fault.Error {
	switch refused := sel.refusals.Primary(); refused.Reason {
	case gate.Warming:
		return fault.New(fault.Warming, "the servers of %s that are left are warming up", req.service).WithRetryAfter(max(refused.Remaining, minWarmingRetryAfter))
	case gate.Limited:
		limit := s.gate.DescribeLimit(refused, s.bootTime())
		return fault.New(fault.ServerLimited, "the servers of %s that are left have stated limits: %s", req.service, limit).WithRetryAfter(serverlimit.RetryAfter(refused.Remaining, s.rng.Float64()))
	case gate.Paused:
		pause := s.gate.DescribePause(refused, s.bootTime())
		return fault.New(fault.ServerPaused, "the servers of %s that are left have asked for a pause: %s", req.service, pause).WithRetryAfter(serverstatus.RetryAfter(refused.Remaining, s.rng.Float64()))
	case gate.Saturated:
		return fault.New(fault.ServerSaturated, "the servers of %s that are left tolerate few rejections and have no room for this daemon: %s", req.service, refused.Server).WithRetryAfter(serverlimit.RetryAfter(refused.Remaining, s.rng.Float64()))
	case gate.Evacuated:
		return fault.New(fault.Evacuated, "the servers of %s that are left stand in evacuated failure domains", req.service)
	}
	if sel.full > 0 {
		return fault.New(fault.Overloaded, "the servers of %s that are left may not bear a further body of %d bytes", req.service, req.bodyBytes)
	}
	return fault.New(fault.NoServer, "no server of %s is left", req.service)
}

// minWarmingRetryAfter is the least Retry-After while servers are warming up. It is
// short, as their limit admits further requests meanwhile.
const minWarmingRetryAfter = 100 * time.Millisecond

// slowStartLimit returns the limit of a warming server of the call's service.
func (r *Relay) slowStartLimit(x *exchange) slowstart.Limit {
	return slowstart.Limit{
		WarmupPeriod: x.service.WarmupPeriod, PerSecond: x.service.WarmupRate, BurstFactor: r.options.WarmupBurstFactor, Burst: r.options.WarmupBurst,
	}
}

// applyExclusions excludes servers that were tried, whose version is not admitted,
// or that the gate refuses.
func (s *State) applyExclusions(sel *selection, req *requirements, admits func(string) bool, now time.Duration) {
	excludeUnsuitable(&sel.request, sel.candidates, sel.service, req, admits)
	s.excludeRefused(sel, req, now)
	s.excludeFull(sel, req)
}
