package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// Evacuate closes a failure domain and reports whether it was open.
func (s *State) Evacuate(domain string) bool {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Evacuate(domain, now)
}

// Readmit opens a failure domain again and reports whether it was closed.
func (s *State) Readmit(domain string) bool {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Readmit(domain, now)
}

// Evacuations lists the failure domains that are closed.
func (s *State) Evacuations() []gate.Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Evacuations()
}

// SetSlowStartView takes with whom this daemon shares the limits of warming servers.
func (s *State) SetSlowStartView(v slowstart.View) {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetView(v, now)
}

// gated is a server as the gate sees it.
func gated(b backend.Server, hash uint64, limit slowstart.Limit) gate.Server {
	return gate.Server{ID: b.ID, Hash: hash, FailureDomain: b.FailureDomain, Leaving: b.Leaving, WarmAt: b.WarmAt, Limit: limit}
}

// bar excludes the servers that the request may not be sent to now, and counts why.
func (s *State) bar(o *selection, w *want, now time.Duration) {
	o.refused = gate.Refusals{}
	for i := range o.candidates {
		b, known := o.service.servers[o.candidates[i].ID]
		if !known {
			continue
		}
		if !s.gate.Admit(w.gated, gated(b, o.candidates[i].Hash, w.limit), now, &o.refused) {
			o.request.Tried.Add(i)
		}
	}
}

// pass records at the gate that a request is sent to the chosen server, and reports whether
// that server is warming up.
func (s *State) pass(o *selection, w *want, now time.Duration) (warming bool) {
	c := &o.candidates[o.decision.Index]
	g := gated(o.service.servers[c.ID], c.Hash, w.limit)
	s.gate.RecordSend(g, now)
	return now < s.gate.WarmAt(g, now)
}

// endedRun books that a run of a server has ended: its VM refuses connections.
func (s *State) endedRun(id string) {
	now := s.boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.ServerTerminated(id, now)
}

// WarmingServers counts the servers that are warming up by their entries.
func (s *State) WarmingServers() (n int) {
	now := s.boot()
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

// noServer is the refusal of a request that no server is left for.
func noServer(o *selection, w *want) *fault.Error {
	switch reason, left := o.refused.Primary(); reason {
	case gate.Warming:
		return fault.New(fault.Warming, "the servers of %s that are left are warming up", w.service).WithRetryAfter(max(left, warmRetry))
	case gate.Evacuated:
		return fault.New(fault.Evacuated, "the servers of %s that are left stand in evacuated failure domains", w.service)
	}
	return fault.New(fault.NoServer, "no server of %s is left", w.service)
}

// warmRetry is the least time after which to come back to servers that are warming up: their
// limit lets further requests through meanwhile.
const warmRetry = 100 * time.Millisecond

// limitOf is what a warming server of a service bears.
func (r *Relay) limitOf(x *exchange) slowstart.Limit {
	return slowstart.Limit{
		WarmupPeriod: x.service.WarmUp, PerSecond: x.service.WarmUpRate, BurstFactor: r.rules.WarmUpRateFactor, BurstSlack: r.rules.WarmUpBurst,
	}
}

// mark excludes what a choice may not use: servers that were tried, those whose version may
// not be used, and those that the gate refuses.
func (s *State) mark(o *selection, w *want, admits func(string) bool, now time.Duration) {
	mark(&o.request, o.candidates, o.service, w, admits)
	s.bar(o, w, now)
}
