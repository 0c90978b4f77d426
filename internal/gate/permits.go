package gate

import (
	"math/rand/v2"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// This file lets a daemon use the share that another one has of a stated rate: the sender reserves
// its next send as a permit. The rate stays divided among the senders.

const (
	// PermitHorizon is how far ahead a sender may reserve a send.
	PermitHorizon = 500 * time.Millisecond
	// minAsksPerSecond is the rate at which a daemon may always ask for permits, and asksPerPermit
	// the number of further asks for its part of the stated rates.
	minAsksPerSecond = 1.0
	asksPerPermit    = 1.25
	// minAskBurst is the least number of asks in a burst.
	minAskBurst = 3.0
	// noRoomRetention is the time after which a sender is asked again at the latest.
	noRoomRetention = 10 * time.Second
)

// permits is what a daemon knows of the senders that it asks for permits.
type permits struct {
	// noRoomUntil is when a sender has room for a server again.
	noRoomUntil map[senderOf]time.Duration
	// asks is the number of asks left at asksAt.
	asks   float64
	asksAt time.Duration
}

// senderOf is a sender of a server, by the hash of the daemon's name and the server's Key.
type senderOf struct{ daemon, server uint64 }

// Reserve takes this daemon's next send to a server with a stated rate, and returns the time until
// then. It reserves none if that exceeds the horizon, and if this daemon does not send to the server
// or does not know its rate.
func (g *Gate) Reserve(s Server, now, horizon time.Duration) (wait time.Duration, reserved bool) {
	p := g.limitPacer(s, now)
	if p == nil || !p.Sender() {
		return 0, false
	}
	if wait = p.remaining(now); wait > min(horizon, PermitHorizon) {
		return wait, false
	}
	p.RecordSend(now + wait)
	return wait, true
}

// PickSender picks another daemon to ask for a permit for one of some servers. A daemon asks for
// little more than its part of the stated rates, and no sender that is known to have no room.
func (g *Gate) PickSender(servers []Server, now, horizon time.Duration, rng *rand.Rand) (s Server, daemon uint64, found bool) {
	g.refillAsks(servers, now)
	if g.permits.asks < 1 {
		return s, 0, false
	}
	for _, i := range rng.Perm(len(servers)) {
		senders := g.sendersOf(servers[i], now)
		for _, j := range rng.Perm(len(senders)) {
			key := senderOf{senders[j], serverlimit.Key(servers[i].Name)}
			if g.permits.noRoomUntil[key] <= now+horizon {
				g.permits.asks--
				return servers[i], senders[j], true
			}
		}
	}
	return s, 0, false
}

// ToConfirm returns the servers whose limit may have ended, of the servers that admit a request or
// that only their stated rate keeps it from. It returns none if all are limited: they get the
// request anyway. Otherwise requests would go to the other servers, and too few responses of the
// limited ones would show the end.
func (g *Gate) ToConfirm(servers []Server, r Request, now time.Duration) (inDoubt []Server) {
	unlimited := false
	for _, s := range servers {
		reason := g.Check(r, s, now)
		if reason != Allowed && reason != Limited {
			continue
		}
		server := serverlimit.Key(s.Name)
		unlimited = unlimited || g.limits.Limit(server, now).PerSecond == 0
		if g.limits.InDoubt(server) {
			inDoubt = append(inDoubt, s)
		}
	}
	if !unlimited {
		return nil
	}
	return inDoubt
}

// refillAsks adds the asks since the last call, in proportion to the rates of some servers.
func (g *Gate) refillAsks(servers []Server, now time.Duration) {
	perSecond := minAsksPerSecond
	for _, s := range servers {
		rate := g.limits.Limit(serverlimit.Key(s.Name), now).PerSecond
		perSecond += asksPerPermit * rate / float64(max(1, g.fleetSize))
	}
	added := perSecond * (now - g.permits.asksAt).Seconds()
	g.permits.asks, g.permits.asksAt = min(max(minAskBurst, perSecond), g.permits.asks+added), now
}

// sendersOf returns the other daemons that have a share of a server's stated rate.
func (g *Gate) sendersOf(s Server, now time.Duration) []uint64 {
	p := g.limitPacer(s, now)
	if p == nil {
		return nil
	}
	return g.view.Senders(serverlimit.Key(s.Name), p.share.Senders)
}

// RecordNoRoom records that a sender has no room for a server for a while.
func (g *Gate) RecordNoRoom(daemon uint64, s Server, wait, now time.Duration) {
	g.permits.noRoomUntil[senderOf{daemon, serverlimit.Key(s.Name)}] = now + min(wait, noRoomRetention)
}

// expirePermits drops what is outdated.
func (g *Gate) expirePermits(now time.Duration) {
	for key, until := range g.permits.noRoomUntil {
		if until <= now {
			delete(g.permits.noRoomUntil, key)
		}
	}
}
