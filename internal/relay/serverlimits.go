package relay

import (
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
	if limit, changed := r.State.observeLimit(t, s); changed {
		r.log.Info("server limit", "server", t.server.ID, "service", t.service, "per_second", limit, "by", "response")
	}
}

// observeLimit returns the rate that the server now has, zero for none, and whether it has changed.
func (s *State) observeLimit(t *target, statement serverlimit.Statement) (perSecond float64, changed bool) {
	now, server := s.bootTime(), serverlimit.Key(t.server.Incarnation.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.gate.Limits().Observe(server, statement, t.pickedAt, now)
	return s.gate.Limits().Reported(server), changed
}

// MergeServerLimits applies the request rates of servers that another daemon reported.
func (r *Relay) MergeServerLimits(updates []serverlimit.Update) {
	for _, server := range r.State.mergeServerLimits(updates) {
		r.log.Info("server limit", "server", server.id, "per_second", server.perSecond, "by", "peer")
	}
}

// limitedServer is a server whose stated rate has changed.
type limitedServer struct {
	id        string
	perSecond float64
}

// mergeServerLimits returns the known servers whose rate has changed.
func (s *State) mergeServerLimits(updates []serverlimit.Update) (changed []limitedServer) {
	if len(updates) == 0 {
		return nil
	}
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := map[uint64]float64{}
	for _, change := range s.gate.Limits().Merge(updates, now) {
		rates[change.Server] = change.PerSecond
	}
	if len(rates) == 0 {
		return nil
	}
	for _, sv := range s.services {
		for id, server := range sv.servers {
			if rate, any := rates[serverlimit.Key(server.Incarnation.Name)]; any {
				changed = append(changed, limitedServer{id, rate})
			}
		}
	}
	return changed
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

// sweepLimits drops the limits of servers without an entry. Callers hold mu.
func (s *State) sweepLimits(now time.Duration) {
	if !s.gate.Limits().SweepDue(now) {
		return
	}
	known := map[uint64]bool{}
	for _, name := range s.registry.Names() {
		known[serverlimit.Key(name)] = true
	}
	s.gate.Limits().Sweep(known, now)
}
