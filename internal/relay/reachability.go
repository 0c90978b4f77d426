package relay

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// reachabilityCheckInterval is the interval at which a server of each service that is out of reach
// is connected to.
const reachabilityCheckInterval = 200 * time.Millisecond

// recordReached records contact with a server.
func (r *Relay) recordReached(t *target) {
	now := r.State.bootTime()
	r.State.mu.Lock()
	r.State.lastContact = contact{t.server.ID, now}
	regained, lostFor := r.State.reachability.Reached(t.service, now)
	lost := len(r.State.reachability.LostServices())
	if regained {
		r.State.serviceFor(t.service).tracker.ClearFailures()
	}
	r.State.mu.Unlock()
	if !regained {
		return
	}
	r.Metrics.ServicesOutOfReach.Update(float64(lost))
	r.log.Info("service in reach again", "service", t.service, "server", t.server.ID, "after_ms", lostFor.Milliseconds())
}

// recordUnreached records that a server could not be reached. After the first one another is
// connected to, since the requests of a daemon may be few. A server that has terminated tells nothing
// of this daemon's links. If the servers may only be silent, it returns once other daemons were asked.
func (r *Relay) recordUnreached(t *target, err error) {
	r.recordUnreachedFor(context.Background(), t, err)
}

// recordUnreachedFor is recordUnreached for a call, which does not wait beyond its context.
func (r *Relay) recordUnreachedFor(ctx context.Context, t *target, err error) {
	if r.State.KnowsTermination(xxhash.Sum64String(t.server.ID)) {
		return
	}
	if connectedButSilent(err) {
		r.recordReached(t)
		return
	}
	now := r.State.bootTime()
	r.State.mu.Lock()
	servers := len(r.State.serviceFor(t.service).members)
	finding := r.State.reachability.Unreached(t.service, t.server.ID, servers, failureOf(err), now)
	unreached := r.State.reachability.UnreachedServers(t.service)
	other, any := r.State.nextServer(t)
	r.State.mu.Unlock()
	reset := errors.Is(err, syscall.ECONNRESET) // the server or the link responds
	if unreached == 1 && any && finding == reachability.Unchanged && !reset {
		r.background.Go(func() { r.checkServer(context.Background(), &target{server: other, service: t.service}) })
	}
	switch finding {
	case reachability.BecameLost:
		r.reportLost(t, err, nil)
	case reachability.InDoubt:
		r.checkSilence(ctx, t, err)
	}
}

// reportLost logs that a service is out of reach.
func (r *Relay) reportLost(t *target, err error, verdicts []reachability.Verdict) {
	r.State.mu.Lock()
	servers, unreached := len(r.State.serviceFor(t.service).members), r.State.reachability.UnreachedServers(t.service)
	lost := len(r.State.reachability.LostServices())
	r.State.mu.Unlock()
	r.Metrics.ServicesOutOfReach.Update(float64(lost))
	r.log.Warn("service out of reach", "service", t.service, "server", t.server.ID, "unreached", unreached, "servers", servers, "others", verdicts, "err", err)
}

// outOfReach reports whether this daemon reaches no server of a service.
func (s *State) outOfReach(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachability.Lost(service)
}

// holdsOffConnections reports whether requests open no connections to the servers of a service, because it is out
// of reach or its servers are silent.
func (s *State) holdsOffConnections(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachability.Lost(service) || s.reachability.Silent(service)
}

// OutOfReach reports whether this daemon reaches no server of some service.
func (s *State) OutOfReach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reachability.LostServices()) > 0
}

// pickHelper picks the daemon to forward a call to.
func (s *State) pickHelper(candidates, excluded []string) (address string, found bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.helpers.Pick(candidates, excluded, now, s.rng)
}

// pickOrTryHelper picks the daemon to forward a call to among the candidates, or else one that is
// doubtful or has refused lately. endTrial must be called with it.
func (s *State) pickOrTryHelper(candidates, doubtful, excluded []string) (address string, found bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.helpers.PickOrTry(candidates, doubtful, excluded, now, s.rng)
}

// endTrial records that a daemon has responded or failed.
func (s *State) endTrial(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.helpers.EndTrial(address)
}

// refusedHelpers returns the number of candidates that could not serve a forwarded call lately.
func (s *State) refusedHelpers(candidates []string) int {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.helpers.RefusedLately(candidates, now)
}

// recordHelper records whether a daemon could serve a forwarded call.
func (s *State) recordHelper(address string, served bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if served {
		s.helpers.Served(address, now)
	} else {
		s.helpers.Refused(address, now)
	}
}

// checkReachability connects to one server of each service that is out of reach or silent.
func (r *Relay) checkReachability(ctx context.Context, _ time.Time) {
	for _, t := range r.State.unreachedTargets() {
		r.background.Go(func() { r.checkServer(ctx, t) })
	}
}

// checkServer connects to a server and records the result.
func (r *Relay) checkServer(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r.Metrics.Probes.Inc(1)
	if err := r.backend.Probe(ctx, t.server, false); err != nil {
		r.recordUnreached(t, err)
		return
	}
	r.recordReached(t)
}

// unreachedTargets returns a random server of each service that is out of reach or silent.
func (s *State) unreachedTargets() (out []*target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Concat(s.reachability.LostServices(), s.reachability.SilentServices()) {
		if server, found := s.randomServer(name); found {
			out = append(out, &target{server: server, service: name})
		}
	}
	return out
}

// randomServer returns a random server of a service, if possible one that is not known to have
// terminated. Callers hold mu.
func (s *State) randomServer(service string) (backend.Server, bool) {
	sv := s.serviceFor(service)
	if len(sv.members) == 0 {
		return backend.Server{}, false
	}
	order := s.rng.Perm(len(sv.members))
	running := slices.IndexFunc(order, func(i int) bool { return !s.gate.HasTerminated(xxhash.Sum64String(sv.members[i].ID)) })
	return sv.servers[sv.members[order[max(0, running)]].ID], true
}

// nextServer returns the server that follows a target's among those of its service, if there are
// several. Callers hold mu.
func (s *State) nextServer(t *target) (backend.Server, bool) {
	sv := s.serviceFor(t.service)
	i := slices.IndexFunc(sv.members, func(m routing.Member) bool { return m.ID == t.server.ID })
	if len(sv.members) < 2 {
		return backend.Server{}, false
	}
	return sv.servers[sv.members[(i+1)%len(sv.members)].ID], true
}
