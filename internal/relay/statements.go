package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/concurrencylimit"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// observe records what a response says about its server. A response counts if it is one of the
// server that the request was sent to: it bears that server's proof, or states that the request
// was not run.
func (x *exchange) observe(t *target, reply *BackendResponse, succeeded bool) {
	if !reply.Replaced && (reply.Misdirected || !reply.Authenticated && !reply.NotRun) {
		return
	}
	x.logUnreadable(t, reply.Statements)
	change, urgent := x.relay.State.observe(t, reply, succeeded)
	if urgent {
		x.relay.limitBroadcast.Request()
	}
	switch {
	case change.Leaving && reply.Replaced:
		x.logEvent("server replaced", t, "address", t.server.Address)
	case change.Leaving:
		x.logEvent("server leaving", t, "by", "response")
	}
	if change.Pause > 0 {
		x.relay.Metrics.Pauses.Inc(1)
		x.logEvent("server pause", t, "pause_ms", change.Pause.Milliseconds())
	}
	if change.ToleranceChanged {
		x.relay.log.Info("rejection tolerance", "service", t.service, "server", t.server.ID, "stated", reply.Tolerance.Kind == serverstatus.Stated, "per_second", reply.Tolerance.PerSecond)
	}
	if change.RejectionObserved {
		x.relay.Metrics.Rejections.Inc(1)
		x.logEvent("server rejected request", t)
	}
	if t.permitFrom != 0 && succeeded && reply.Limit.Kind == serverlimit.None {
		x.reportUnstated(t)
	}
	if change.LimitChanged {
		x.relay.log.Info("server limit", "server", t.server.ID, "service", t.service, "per_second", change.PerSecond, "by", "response")
	}
}

// logUnreadable logs and counts the statements of a response that could not be parsed.
func (x *exchange) logUnreadable(t *target, s serverstatus.Statements) {
	if s.Limit.Kind == serverlimit.Unreadable {
		x.relay.Metrics.UnreadableLimits.Inc(1)
		x.relay.log.Warn("server limit unreadable", "server", t.server.ID, "service", t.service)
	}
	if s.Leaving == serverstatus.Unreadable || s.Pause.Kind == serverstatus.Unreadable || s.Tolerance.Kind == serverstatus.Unreadable {
		x.relay.Metrics.UnreadableStatements.Inc(1)
		x.logEvent("server statement unreadable", t, "leaving", s.Leaving == serverstatus.Unreadable, "pause", s.Pause.Kind == serverstatus.Unreadable, "tolerance", s.Tolerance.Kind == serverstatus.Unreadable)
	}
}

// observe applies what a response says about its server. Urgent is set if there are reports to
// broadcast.
func (s *State) observe(t *target, reply *BackendResponse, succeeded bool) (change gate.Change, urgent bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	change = s.gate.Observe(gate.Response{
		ServerID: t.server.ID, ServerName: t.server.Incarnation.Name, Statements: reply.Statements, Succeeded: succeeded, SentAt: t.pickedAt,
		Service: t.service, Slots: t.server.Slots, InFlight: t.inFlight, Rejected: reply.NotRun && reply.Status == http.StatusServiceUnavailable,
	}, now)
	if change.Leaving {
		s.registryVersion++
	}
	urgent = s.gate.Limits().TakeUrgent()
	return change, urgent || change.RejectionObserved || change.ToleranceChanged
}

// MergeConcurrencyLimits applies the reports of another daemon of servers that tolerate few
// rejections, and passes on new ones.
func (r *Relay) MergeConcurrencyLimits(reports []concurrencylimit.Report) {
	if len(reports) == 0 {
		return
	}
	now := r.State.bootTime()
	r.State.mu.Lock()
	added := r.State.gate.Concurrency().Merge(reports, now)
	r.State.mu.Unlock()
	if added {
		r.limitBroadcast.Request()
	}
}

// ConcurrencyLimits returns the recent reports of servers that tolerate few rejections.
func (s *State) ConcurrencyLimits() []concurrencylimit.Report {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Concurrency().Reports(now)
}

// RejectionSensitiveServices counts the services whose servers tolerate few rejections.
func (s *State) RejectionSensitiveServices() int {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Concurrency().LimitedServices(now)
}

// MergeDepartures applies the reports of another daemon of servers that have stated that they leave.
func (r *Relay) MergeDepartures(reports []serverstatus.DepartureReport) {
	for _, server := range r.State.mergeDepartures(reports) {
		r.log.Info("server leaving", "server", server, "by", "peer")
	}
}

// mergeDepartures returns the known servers that were not known to leave.
func (s *State) mergeDepartures(reports []serverstatus.DepartureReport) (leaving []string) {
	if len(reports) == 0 {
		return nil
	}
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	added := s.gate.Departures().Merge(reports, now)
	if len(added) == 0 {
		return nil
	}
	s.registryVersion++
	for _, sv := range s.services {
		for id := range sv.servers {
			if slices.Contains(added, xxhash.Sum64String(id)) {
				leaving = append(leaving, id)
			}
		}
	}
	return leaving
}

// Departures returns the recent reports of servers that have stated that they leave, or all for a
// daemon that just joined.
func (s *State) Departures(recentlyJoined bool) []serverstatus.DepartureReport {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Departures().Reports(recentlyJoined, now)
}

// MergeServerLimits applies the request rates of servers that another daemon reported.
func (r *Relay) MergeServerLimits(updates []serverlimit.Update) {
	changed, urgent := r.State.mergeServerLimits(updates)
	if urgent {
		r.limitBroadcast.Request()
	}
	for _, server := range changed {
		r.log.Info("server limit", "server", server.id, "per_second", server.perSecond, "by", "peer")
	}
}

// BroadcastLimits calls send whenever there are urgent reports of limits, with a pause after each
// call, until the context ends.
func (r *Relay) BroadcastLimits(ctx context.Context, pause time.Duration, send func(ctx context.Context)) {
	r.limitBroadcast.Run(ctx, pause, send)
}

// limitedServer is a server whose stated rate has changed.
type limitedServer struct {
	id        string
	perSecond float64
}

// mergeServerLimits returns the known servers whose rate has changed, and whether there are
// changes to broadcast.
func (s *State) mergeServerLimits(updates []serverlimit.Update) (changed []limitedServer, urgent bool) {
	if len(updates) == 0 {
		return nil, false
	}
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.gate.Limits().Merge(updates, now)
	return s.limitedServers(changes), s.gate.Limits().TakeUrgent()
}

// limitedServers returns the known servers of some changes. Callers hold mu.
func (s *State) limitedServers(changes []serverlimit.Change) (out []limitedServer) {
	if len(changes) == 0 {
		return nil
	}
	rates := map[uint64]float64{}
	for _, change := range changes {
		rates[change.Server] = change.PerSecond
	}
	for _, sv := range s.services {
		for id, server := range sv.servers {
			if rate, any := rates[serverlimit.Key(server.Incarnation.Name)]; any {
				out = append(out, limitedServer{id, rate})
			}
		}
	}
	return out
}

// ServerLimits returns the recent changes of the servers' request rates for another daemon, or
// all rates for one that just joined.
func (s *State) ServerLimits(recentlyJoined bool) []serverlimit.Update {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Limits().Updates(recentlyJoined, now)
}

// LimitedServers counts the servers that state a request rate.
func (s *State) LimitedServers() int {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Limits().Limited(now)
}

// LeavingServers counts the servers that have stated that they leave.
func (s *State) LeavingServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Departures().Count()
}

// isPaused reports whether a server wants no requests from this daemon.
func (s *State) isPaused(t *target) bool {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.IsPaused(t.server.Incarnation.Name, now)
}

// PausedServers counts the servers that want no requests from this daemon.
func (s *State) PausedServers() int {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.PausedServers(now)
}
