package relay

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

const (
	// maxPermitTries is the number of permits that a request may try to get.
	maxPermitTries = 3
	// permitTimeout bounds the wait for the response to an ask.
	permitTimeout = 100 * time.Millisecond
	// permitTimeDivisor is the part of the remaining time, as a divisor, that a request may wait for
	// its permit.
	permitTimeDivisor = 4
	// unknownRoom is the time for which a sender is not asked again that did not tell when it has
	// room.
	unknownRoom = 2 * time.Second
	// maxReportedAge is the greatest age of a response that another daemon reports.
	maxReportedAge = time.Minute
)

// PermitSource asks other daemons for their next sends to servers with stated rates.
type PermitSource interface {
	// RequestPermit asks the daemon whose name has a hash.
	RequestPermit(ctx context.Context, daemon uint64, req peer.PermitRequest) (peer.PermitResponse, error)
	// ReportUnstated reports to that daemon that a response states no rate.
	ReportUnstated(ctx context.Context, daemon uint64, report peer.UnstatedLimit) error
}

// permitOption is a way to send to a server with a stated rate: with this daemon's own next send, if
// reserved is set, or with one of another daemon, to be asked.
type permitOption struct {
	server   gate.Server
	reserved bool
	wait     time.Duration
	daemon   uint64
}

// selectWithPermit selects a server after a refusal because of stated rates, if a send is reserved
// for the request. It waits until then.
func (x *exchange) selectWithPermit(ctx context.Context, refusal *fault.Error) (*target, *fault.Error) {
	if refusal.Kind != fault.ServerLimited || x.quarantineStatus.Crashes > 0 {
		return nil, refusal
	}
	req := x.requirements(x.effectiveModel())
	for range maxPermitTries {
		horizon := min(gate.PermitHorizon, time.Until(x.deadline)/permitTimeDivisor)
		option, found := x.relay.State.permitOption(&req, horizon)
		if !found {
			return nil, refusal
		}
		wait, granted := option.wait, option.reserved
		if !granted {
			wait, granted = x.askForPermit(ctx, option, horizon)
		}
		if !granted {
			continue
		}
		if !x.relay.sleep(ctx, wait) {
			return nil, refusal
		}
		if t, held := x.usePermit(option, wait); t != nil || held != nil {
			return t, held
		}
	}
	return nil, refusal
}

// usePermit selects the server to which a send is reserved. It returns neither a server nor a
// refusal if the request may not use that server any more.
func (x *exchange) usePermit(o permitOption, waited time.Duration) (*target, *fault.Error) {
	if held := x.checkHold(); held != nil {
		return nil, held
	}
	// What the request may use can have changed during the wait.
	req := x.requirements(x.effectiveModel())
	req.permitted = o.server.ID
	t, err := x.relay.State.pick(&req, x.service.MaxConnections)
	if err != nil {
		x.logEvent("permit not used", nil, "server", o.server.ID, "err", err)
		return nil, nil
	}
	x.selected, t.permitFrom = t, o.daemon
	x.relay.Metrics.PermitsUsed.Inc(1)
	x.logEvent("permit used", t, "own", o.reserved, "waited_ms", waited.Milliseconds())
	return t, nil
}

// selectToConfirm selects a server whose limit may have ended, if a send to it is due, although
// others have no limit. It returns neither a server nor a refusal if there is none.
func (x *exchange) selectToConfirm(ctx context.Context) (*target, *fault.Error) {
	if x.quarantineStatus.Crashes > 0 || time.Until(x.deadline) < permitTimeDivisor*permitTimeout {
		return nil, nil
	}
	req := x.requirements(x.effectiveModel())
	option, found := x.relay.State.confirmationOption(&req)
	if !found {
		return nil, nil
	}
	if !option.reserved {
		if _, granted := x.askForPermit(ctx, option, 0); !granted {
			return nil, nil
		}
	}
	return x.usePermit(option, 0)
}

// askForPermit asks a sender for a permit, and returns the time until it applies.
func (x *exchange) askForPermit(ctx context.Context, o permitOption, horizon time.Duration) (wait time.Duration, granted bool) {
	if x.relay.Permits == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	x.relay.Metrics.PermitsAsked.Inc(1)
	resp, err := x.relay.Permits.RequestPermit(ctx, o.daemon, peer.PermitRequest{Server: o.server.ID, HorizonMillis: horizon.Milliseconds()})
	wait = time.Duration(resp.WaitMillis) * time.Millisecond
	if err != nil || wait < 0 || resp.Granted && wait > horizon {
		x.logEvent("no valid response to ask for permit", nil, "server", o.server.ID, "wait_ms", resp.WaitMillis, "err", err)
		x.relay.State.recordNoRoom(o, unknownRoom)
		return 0, false
	}
	if !resp.Granted {
		if wait == 0 {
			wait = unknownRoom
		}
		x.relay.State.recordNoRoom(o, wait)
	}
	return wait, resp.Granted
}

// reportUnstated reports a response without a stated rate to the daemon that gave the permit. Its
// successive responses show the end of a limit, which those to many daemons would show late.
func (x *exchange) reportUnstated(t *target) {
	report := peer.UnstatedLimit{Server: t.server.ID, AgeMillis: (x.relay.State.bootTime() - t.pickedAt).Milliseconds()}
	x.relay.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		if err := x.relay.Permits.ReportUnstated(ctx, t.permitFrom, report); err != nil {
			x.logEvent("response without limit not reported", t, "err", err)
		}
	})
}

// ObserveUnstated applies another daemon's report of a response without a stated rate.
func (r *Relay) ObserveUnstated(report peer.UnstatedLimit) {
	age := time.Duration(report.AgeMillis) * time.Millisecond
	if age < 0 || age > maxReportedAge {
		r.log.Warn("report of response without limit ignored", "server", report.Server, "age_ms", report.AgeMillis)
		return
	}
	changed, urgent := r.State.observeUnstated(report.Server, age)
	if urgent {
		r.limitBroadcast.Request()
	}
	if changed {
		r.log.Info("server limit", "server", report.Server, "per_second", 0, "by", "response to another daemon")
	}
}

// observeUnstated applies a response without a stated rate to a request that was sent some time ago.
func (s *State) observeUnstated(id string, age time.Duration) (changed, urgent bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	b, known := s.registry.ByID(id, now)
	if !known {
		return false, false
	}
	changed = s.gate.Limits().Observe(serverlimit.Key(b.Incarnation.Name), serverlimit.Statement{}, now-age, now)
	return changed, s.gate.Limits().TakeUrgent()
}

// GivePermit reserves this daemon's next send to a server for another daemon.
func (r *Relay) GivePermit(req peer.PermitRequest) peer.PermitResponse {
	wait, granted := r.State.reserve(req.Server, time.Duration(req.HorizonMillis)*time.Millisecond)
	if granted {
		r.Metrics.PermitsGiven.Inc(1)
	}
	// Rounded up, so that the send is not early.
	return peer.PermitResponse{Granted: granted, WaitMillis: (wait + time.Millisecond - 1).Milliseconds()}
}

// reserve reserves this daemon's next send to a server.
func (s *State) reserve(id string, horizon time.Duration) (wait time.Duration, reserved bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	b, known := s.registry.ByID(id, now)
	if !known {
		return 0, false
	}
	return s.gate.Reserve(gate.Server{ID: b.ID, Name: b.Incarnation.Name}, now, horizon)
}

// permitOption returns a way to send a request to one of the servers that only their stated rates
// keep it from. An own send that it returns is reserved.
func (s *State) permitOption(req *requirements, horizon time.Duration) (o permitOption, found bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserveOrAsk(s.rateLimitedServers(req, now), now, horizon)
}

// reserveOrAsk reserves an own send to one of some servers, or else picks a sender to ask. Callers
// hold mu.
func (s *State) reserveOrAsk(servers []gate.Server, now, horizon time.Duration) (o permitOption, found bool) {
	for _, i := range s.rng.Perm(len(servers)) {
		if wait, reserved := s.gate.Reserve(servers[i], now, horizon); reserved {
			return permitOption{server: servers[i], reserved: true, wait: wait}, true
		}
	}
	o.server, o.daemon, found = s.gate.PickSender(servers, now, horizon, s.rng)
	return o, found
}

// confirmationOption returns a way to send a request at once to a server whose limit may have ended.
func (s *State) confirmationOption(req *requirements) (o permitOption, found bool) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.gate.Limits().AnyInDoubt() {
		return o, false
	}
	sv := s.serviceFor(req.service)
	sel := selection{service: sv, candidates: sv.tracker.Snapshot(s.candidateBuf[:0], time.Now())}
	s.candidateBuf = sel.candidates
	excludeUnsuitable(&sel.request, sel.candidates, sv, req, s.confirmedVersions(sv, req.versions.Preferred))
	limitToFraction(&sel.request, sel.candidates, sv.tracker.IndicesByHash(), req.versions.Fraction)
	var servers []gate.Server
	for i := range sel.candidates {
		if !sel.request.Tried.Has(i) && !sel.candidates[i].Suspect {
			servers = append(servers, sel.gateServer(i, req))
		}
	}
	return s.reserveOrAsk(s.gate.ToConfirm(servers, req.gateRequest, now), now, 0)
}

// rateLimitedServers returns the servers that only their stated rates keep a request from. Callers hold
// mu.
func (s *State) rateLimitedServers(req *requirements, now time.Duration) (out []gate.Server) {
	sv := s.serviceFor(req.service)
	sel := selection{service: sv, candidates: sv.tracker.Snapshot(s.candidateBuf[:0], time.Now())}
	s.candidateBuf = sel.candidates
	for _, versions := range []func(string) bool{s.confirmedVersions(sv, req.versions.Preferred), req.versions.Fallback} {
		excludeUnsuitable(&sel.request, sel.candidates, sv, req, versions)
		limitToFraction(&sel.request, sel.candidates, sv.tracker.IndicesByHash(), req.versions.Fraction)
		for i := range sel.candidates {
			if sel.request.Tried.Has(i) {
				continue
			}
			if server := sel.gateServer(i, req); s.gate.Check(req.gateRequest, server, now) == gate.Limited {
				out = append(out, server)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// recordNoRoom records that a sender has no room for a server for a while.
func (s *State) recordNoRoom(o permitOption, wait time.Duration) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordNoRoom(o.daemon, o.server, wait, now)
}
