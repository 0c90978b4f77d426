package relay

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// observeLimit records what a response says about the limit of its server. Only a successful
// response shows that a server states none: errors and refusals may be written by something
// that does not know its limit.
func (r *Relay) observeLimit(t *target, s serverlimit.Statement, ok bool) {
	switch {
	case s.Kind == serverlimit.Unreadable:
		r.Metrics.UnreadableLimits.Inc(1)
		r.log.Warn("server limit unreadable", "server", t.server.ID, "service", t.service)
		return
	case s.Kind == serverlimit.None && !ok:
		return
	}
	change := r.State.observeLimit(t, s)
	if change.urgent {
		r.limitBroadcast.Request()
	}
	if change.changed {
		r.log.Info("server limit", "server", t.server.ID, "service", t.service, "per_second", change.perSecond, "by", "response")
	}
}

// limitChange is the effect of a response on the limit of its server.
type limitChange struct {
	changed bool
	// perSecond is the rate that the server now has, zero for none.
	perSecond float64
	// urgent is set if the change is to be broadcast.
	urgent bool
}

func (s *State) observeLimit(t *target, statement serverlimit.Statement) limitChange {
	now, server := s.bootTime(), serverlimit.Key(t.server.Incarnation.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.gate.Limits()
	changed := limits.Observe(server, statement, t.pickedAt, now)
	return limitChange{changed, limits.Reported(server), limits.TakeUrgent()}
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
