package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
)

const (
	// controlServers is the number of other servers that are connected to when one refuses.
	controlServers = 3
	// verdictTimeout bounds the wait for the verdicts of other daemons.
	verdictTimeout = 100 * time.Millisecond
)

// VerdictSource returns what some other daemons find when they connect to a server.
type VerdictSource interface {
	Verdicts(ctx context.Context, server string) []reachability.Verdict
}

// hasTerminated reports whether a server's process has ended: its VM refuses connections, and it is
// not the network of this daemon.
func (r *Relay) hasTerminated(ctx context.Context, s containment.Server) bool {
	if !r.backend.RefusesConnections(ctx, s.Address) {
		return false
	}
	return r.confirmTermination(ctx, s.ID)
}

// confirmTermination reports whether a server that has refused a connection of this daemon has
// terminated.
func (r *Relay) confirmTermination(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	var others []reachability.Verdict
	var wg sync.WaitGroup
	if r.Verdicts != nil {
		wg.Go(func() { others = r.Verdicts.Verdicts(ctx, id) })
	}
	own := r.refusalVerdict(ctx, id)
	wg.Wait()
	terminated := reachability.Terminated(own, others)
	r.log.Info("server refused connection", "server", id, "own", own, "others", others, "terminated", terminated)
	server, known := r.State.server(id)
	switch {
	case !terminated:
		r.State.recordLinkFailure(id)
	case known && own == reachability.Refused:
		// Other servers accept connections, so the service is in reach.
		r.recordReached(&target{server: server, service: server.Service})
	}
	return terminated
}

// Verdict connects to a server on behalf of another daemon.
func (r *Relay) Verdict(ctx context.Context, id string) reachability.Verdict {
	server, known := r.State.server(id)
	if !known {
		return reachability.Unknown
	}
	probeCtx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	err := r.backend.Probe(probeCtx, server, false)
	switch {
	case err == nil:
		return reachability.Connected
	case ctx.Err() != nil:
		return reachability.Unknown
	case probeCtx.Err() != nil || timedOut(err):
		return r.silenceVerdict(ctx, id)
	}
	return r.refusalVerdict(probeCtx, id)
}

// refusalVerdict returns the verdict on a server that has refused a connection.
func (r *Relay) refusalVerdict(ctx context.Context, id string) reachability.Verdict {
	return containment.RefusalVerdict(r.State.otherServers(id, controlServers), r.accepts(ctx))
}

// accepts returns a function that reports whether a server accepts a connection.
func (r *Relay) accepts(ctx context.Context) func(backend.Server) bool {
	return func(s backend.Server) bool { return r.backend.Probe(ctx, s, false) == nil }
}

// checkTermination checks in the background whether a server that has refused a connection has
// terminated, unless that is known. Concurrent refusals of a server share one check.
func (r *Relay) checkTermination(t *target) {
	id := t.server.ID
	if r.State.KnowsTermination(xxhash.Sum64String(id)) || r.State.linkFailed(t) {
		return
	}
	if _, running := r.terminationChecks.LoadOrStore(id, true); running {
		return
	}
	r.background.Go(func() {
		defer r.terminationChecks.Delete(id)
		if r.confirmTermination(context.Background(), id) {
			r.RecordTermination(id)
		}
	})
}

// confirmsEnd reports whether a server that has refused a connection has terminated, and records it.
func (r *Relay) confirmsEnd(t *target) bool {
	if r.State.linkFailed(t) || !r.confirmTermination(context.Background(), t.server.ID) {
		return false
	}
	if !r.State.KnowsTermination(xxhash.Sum64String(t.server.ID)) {
		r.RecordTermination(t.server.ID)
	}
	return true
}

// server returns a known server.
func (s *State) server(id string) (backend.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.ByID(id, s.bootTime())
}

// otherServers returns up to n random servers other than one: those of its service first, and of these
// the ones that are not known to have terminated.
func (s *State) otherServers(id string, n int) []backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, elsewhere, terminated := s.groupOthers(id)
	all := slices.Concat(running, elsewhere, terminated)
	return all[:min(n, len(all))]
}

// serversBeside returns up to n random servers of the service of one, and as many of other services,
// since all servers of a service may be silent at once.
func (s *State) serversBeside(id string, n int) []backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	running, elsewhere, _ := s.groupOthers(id)
	return slices.Concat(running[:min(n, len(running))], elsewhere[:min(n, len(elsewhere))])
}

// groupOthers returns the servers other than one in random order: those of its service, of other
// services, and those of its service that are known to have terminated. Callers hold mu.
func (s *State) groupOthers(id string) (running, elsewhere, terminated []backend.Server) {
	own, known := s.registry.ByID(id, s.bootTime())
	if known {
		s.serviceFor(own.Service) // which this daemon may not have used yet
	}
	for name := range s.services {
		sv := s.serviceFor(name)
		for _, i := range s.rng.Perm(len(sv.members)) {
			m := sv.members[i]
			switch {
			case m.ID == id:
			case name != own.Service:
				elsewhere = append(elsewhere, sv.servers[m.ID])
			case s.gate.HasTerminated(xxhash.Sum64String(m.ID)):
				terminated = append(terminated, sv.servers[m.ID])
			default:
				running = append(running, sv.servers[m.ID])
			}
		}
	}
	s.rng.Shuffle(len(elsewhere), func(i, j int) { elsewhere[i], elsewhere[j] = elsewhere[j], elsewhere[i] })
	return running, elsewhere, terminated
}

// linkFailureMemory is how long a refused connection of a running server shows that the link to it
// has failed.
const linkFailureMemory = 2 * time.Second

// recordLinkFailure records that this daemon's link to a server has failed.
func (s *State) recordLinkFailure(id string) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkFailures[id] = now
	maps.DeleteFunc(s.linkFailures, func(_ string, at time.Duration) bool { return now-at > linkFailureMemory })
}

// linkFailed reports whether this daemon's link to a server has failed lately.
func (s *State) linkFailed(t *target) bool {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	at, failed := s.linkFailures[t.server.ID]
	return failed && now-at <= linkFailureMemory || s.reachability.Lost(t.service)
}
