package relay

// recordReached records contact with a server.
func (r *Relay) recordReached(t *target) {
	now := r.State.bootTime()
	r.State.mu.Lock()
	regained, lostFor := r.State.reachability.Reached(t.service, now)
	lost := len(r.State.reachability.LostServices())
	r.State.mu.Unlock()
	if !regained {
		return
	}
	r.Metrics.ServicesOutOfReach.Update(float64(lost))
	r.log.Info("service in reach again", "service", t.service, "server", t.server.ID, "after_ms", lostFor.Milliseconds())
}

// recordUnreached records that a server could not be reached.
func (r *Relay) recordUnreached(t *target, err error) {
	now := r.State.bootTime()
	r.State.mu.Lock()
	servers := len(r.State.serviceFor(t.service).members)
	becameLost := r.State.reachability.Unreached(t.service, t.server.ID, servers, now)
	unreached, lost := r.State.reachability.UnreachedServers(t.service), len(r.State.reachability.LostServices())
	r.State.mu.Unlock()
	if !becameLost {
		return
	}
	r.Metrics.ServicesOutOfReach.Update(float64(lost))
	r.log.Warn("service out of reach", "service", t.service, "server", t.server.ID, "unreached", unreached, "servers", servers, "err", err)
}
