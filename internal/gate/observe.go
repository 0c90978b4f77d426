package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// Response is a response of a server, as far as it tells about the server.
type Response struct {
	// ServerID and ServerName are those of the server that the request was sent to.
	ServerID, ServerName string
	serverstatus.Statements
	// Succeeded is set if the server has handled the request. Errors and refusals may be written
	// by something that does not know the server's limit.
	Succeeded bool
	// SentAt is when the request was sent.
	SentAt time.Duration
	// Service and Slots are those of the server. Rejected is set if it rejected the request for want
	// of room, with InFlight known requests of all daemons in flight.
	Service         string
	Slots, InFlight int
	Rejected        bool
}

// Change is the effect of a response on what is known of its server.
type Change struct {
	// Leaving is set if the server was not known to leave.
	Leaving bool
	// Pause is the remaining pause if the server has begun or notably prolonged one.
	Pause time.Duration
	// LimitChanged is set if the server has another limit now: PerSecond, or zero for none.
	LimitChanged bool
	PerSecond    float64
	// ToleranceChanged is set if the service has begun or ended to state a tolerance of rejections,
	// and RejectionObserved if the server's rejection is news.
	ToleranceChanged, RejectionObserved bool
}

// minPauseChange is the least prolongation of a pause that is reported as a change.
const minPauseChange = 500 * time.Millisecond

// Observe applies what a response says about its server. The response must be one of the server
// that the request was sent to, unless Replaced is set.
func (g *Gate) Observe(r Response, now time.Duration) (c Change) {
	if r.Replaced {
		c.Leaving = g.departures.Observe(xxhash.Sum64String(r.ServerID), now)
		return c
	}
	if r.Leaving == serverstatus.Stated {
		c.Leaving = g.departures.Observe(xxhash.Sum64String(r.ServerID), now)
	}
	g.observeTolerance(r, &c, now)
	server := serverlimit.Key(r.ServerName)
	if r.Pause.Kind == serverstatus.Stated && g.pauses.Observe(server, r.Pause.Duration, now) >= minPauseChange {
		c.Pause = g.pauses.Remaining(server, now)
	}
	if r.Limit.Kind != serverlimit.None || r.Succeeded {
		c.LimitChanged = g.limits.Observe(server, r.Limit, r.SentAt, now)
		c.PerSecond = g.limits.Reported(server)
	}
	return c
}

// Departures returns the servers that have stated that they leave.
func (g *Gate) Departures() *serverstatus.Departures { return g.departures }

// observeTolerance applies what a response says of the rejections that its server tolerates.
func (g *Gate) observeTolerance(r Response, c *Change, now time.Duration) {
	server := xxhash.Sum64String(r.ServerID)
	switch r.Tolerance.Kind {
	case serverstatus.Stated:
		c.ToleranceChanged = g.concurrency.ObserveStatement(r.Service, server, r.Tolerance.PerSecond, now)
	case serverstatus.None:
		c.ToleranceChanged = g.concurrency.ObserveNoStatement(r.Service, server, now)
	}
	if r.Rejected {
		c.RejectionObserved = g.concurrency.ObserveRejection(r.Service, server, r.Slots, r.InFlight, now)
	}
}
