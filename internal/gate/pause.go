package gate

import (
	"fmt"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// IsPaused reports whether the server with a name wants no requests from this daemon.
func (g *Gate) IsPaused(name string, now time.Duration) bool {
	return g.pauses.Remaining(serverlimit.Key(name), now) > 0
}

// PausedServers counts the servers that want no requests from this daemon.
func (g *Gate) PausedServers(now time.Duration) int { return g.pauses.Count(now) }

// pauseRemaining returns the time until this daemon may send to a server that has asked for a
// pause, or zero.
func (g *Gate) pauseRemaining(s Server, now time.Duration) time.Duration {
	if g.pauses.Len() == 0 {
		return 0
	}
	if remaining := g.pauses.Remaining(serverlimit.Key(s.Name), now); remaining > 0 {
		return remaining
	}
	p := g.returnPacer(s, now)
	if p == nil || p.ready(now) {
		return 0
	}
	return p.remaining(now)
}

// returnPacer returns the pacer of a server whose pause has just ended, or nil.
func (g *Gate) returnPacer(s Server, now time.Duration) *ratePacer {
	if g.pauses.Len() == 0 {
		return nil
	}
	server := serverlimit.Key(s.Name)
	perSecond, limited := g.pauses.ReturnRate(server, now)
	if !limited {
		return nil
	}
	p := g.returnPacers[server]
	if p == nil {
		p = &ratePacer{}
		g.returnPacers[server] = p
	}
	g.setRate(p, server, perSecond, now)
	return p
}

// DescribePause describes the pause of a refused server, for the log.
func (g *Gate) DescribePause(r Refusal, now time.Duration) string {
	askedAt, _ := g.pauses.AskedAt(serverlimit.Key(r.Server))
	return fmt.Sprintf("%s asked for a pause %s ago and is back in %s", r.Server, (now - askedAt).Round(time.Millisecond), r.Remaining.Round(time.Millisecond))
}
