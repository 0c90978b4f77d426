// Package gate decides whether a request may be sent to a backend server. All sends of both
// routers are checked, including retries, escalations to larger models and resumed streams.
// The package does no I/O and does not read the clock. A Gate is not safe for concurrent use.
package gate

import (
	"fmt"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/concurrencylimit"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// Reason is the reason for refusing a send.
type Reason string

// The reasons are label values of a metric, so the set is fixed.
const (
	// Allowed means that the send is not refused.
	Allowed Reason = ""
	// Held requests are refused for all servers because they crashed servers.
	Held Reason = "held"
	// Leaving servers finish their running requests and accept no new ones, by their entry or by
	// their own statement.
	Leaving Reason = "leaving"
	// Evacuated servers are in a failure domain that an operator has evacuated.
	Evacuated Reason = "evacuated"
	// Warming servers have started recently, and this daemon has no share of their limit left.
	Warming Reason = "warming"
	// Limited servers have stated a request rate, and this daemon has no share of it left.
	Limited Reason = "limited"
	// Paused servers want no requests from this daemon for a while, or have just wanted none and
	// this daemon has no share left of what they get then.
	Paused Reason = "paused"
	// Saturated servers tolerate few rejections, and this daemon's share of the requests that they
	// may have in flight is in use.
	Saturated Reason = "saturated"
	// RegionExcluded servers are in a region that the request must not be sent to.
	RegionExcluded Reason = "region_excluded"
)

// Reasons returns all reasons for refusal, the most informative for callers first.
func Reasons() []Reason {
	return []Reason{Held, RegionExcluded, Evacuated, Warming, Limited, Paused, Saturated, Leaving}
}

// Server is the state of one incarnation of a backend server.
type Server struct {
	ID string
	// Name identifies the server across its incarnations.
	Name string
	// Hash is the xxhash of ID. It is the same on all daemons.
	Hash          uint64
	FailureDomain string
	Region        string
	Leaving       bool
	// WarmAt is when the server is warm according to its entry; zero if it is warm.
	WarmAt time.Duration
	// Limit is the request limit during warmup.
	Limit slowstart.Limit
	// Service is the service of the server, Slots the number of requests that it runs at a time,
	// and InFlight the number that this daemon has in flight there.
	Service         string
	Slots, InFlight int
	// Shards is the number of parts of the fleet of which one uses the server; 0 means 1.
	Shards int
	// Permitted is set if a send to the server is reserved, by this daemon or another one. Its stated
	// rate is not checked then.
	Permitted bool
}

// Request holds the properties of a request that the gate checks.
type Request struct {
	Held bool
	// Regions are the allowed regions; empty allows all.
	Regions []string
}

// Gate is the state of one daemon. Times are readings of a clock that advances while the VM
// is suspended.
type Gate struct {
	evacuated map[string]time.Duration
	// readmitted is when the evacuation of a domain ended.
	readmitted map[string]time.Duration
	view       slowstart.View
	pacers     map[string]*pacer
	// restarts are servers that have terminated and may restart under the same name, by the hash
	// of their ID.
	restarts map[uint64]*restart
	// limits are the request rates that servers state, and limitPacers the pacers of sends to
	// such servers, both by the hash of the server's name: a server that restarts may still be
	// in need.
	limits      *serverlimit.Table
	limitPacers map[uint64]*ratePacer
	// departures are the incarnations that have stated that they leave, and pauses the servers
	// that want no requests from this daemon.
	departures *serverstatus.Departures
	pauses     *serverstatus.Pauses
	// returnPacers are the pacers of sends to servers whose pause has ended, by the hash of the
	// server's name.
	returnPacers map[uint64]*ratePacer
	// concurrency limits the requests in flight at servers that tolerate few rejections, and ranks
	// holds this daemon's rank among those that use a server, by the hash of its ID.
	concurrency *concurrencylimit.Table
	ranks       map[uint64]rank
	permits     permits
	// fleetSize is the largest number of daemons in a recent view, at fleetSizeAt.
	fleetSize   int
	fleetSizeAt time.Duration
	sweptAt     time.Duration
}

// fleetSizeMemory is how long stated rates are divided among daemons that left the view. They
// may still send, unknown to this daemon.
const fleetSizeMemory = 10 * time.Second

// sweepInterval is the time between two sweeps.
const sweepInterval = 15 * time.Second

// pacer paces the sends of this daemon to a warming server.
type pacer struct {
	slowstart.Pacer
	share  slowstart.Share
	warmAt time.Duration
}

// ratePacer paces the sends of this daemon to a server with a rate that daemons share.
type ratePacer struct {
	slowstart.Pacer
	// share is this daemon's share of the rate perSecond; zero computes it anew.
	share     slowstart.Share
	perSecond float64
	// interval is the current interval of sends, at most that of share.
	interval time.Duration
}

// New returns a gate without evacuations and with an empty view.
func New() *Gate {
	return &Gate{evacuated: map[string]time.Duration{}, readmitted: map[string]time.Duration{}, pacers: map[string]*pacer{}, restarts: map[uint64]*restart{}, limits: serverlimit.NewTable(), limitPacers: map[uint64]*ratePacer{}, departures: serverstatus.NewDepartures(), pauses: serverstatus.NewPauses(), returnPacers: map[uint64]*ratePacer{}, concurrency: concurrencylimit.NewTable(), ranks: map[uint64]rank{}, permits: permits{noRoomUntil: map[senderOf]time.Duration{}}}
}

// Limits returns the request rates that servers state. They apply to the following checks.
func (g *Gate) Limits() *serverlimit.Table { return g.limits }

// Evacuate stops sends to a failure domain and reports whether they were allowed before.
func (g *Gate) Evacuate(domain string, now time.Duration) bool {
	if _, evacuated := g.evacuated[domain]; evacuated {
		return false
	}
	g.evacuated[domain] = now
	return true
}

// Readmit ends the evacuation of a failure domain and reports whether there was one. Its
// servers are treated as just started, because they are idle.
func (g *Gate) Readmit(domain string, now time.Duration) bool {
	if _, evacuated := g.evacuated[domain]; !evacuated {
		return false
	}
	delete(g.evacuated, domain)
	g.readmitted[domain] = now
	return true
}

// Evacuation is an evacuated failure domain. Since is when this daemon applied it.
type Evacuation struct {
	FailureDomain string
	Since         time.Duration
}

// Evacuations lists the evacuated domains, sorted by name.
func (g *Gate) Evacuations() []Evacuation {
	out := make([]Evacuation, 0, len(g.evacuated))
	for d, since := range g.evacuated {
		out = append(out, Evacuation{d, since})
	}
	slices.SortFunc(out, func(a, b Evacuation) int {
		if a.FailureDomain < b.FailureDomain {
			return -1
		}
		return 1
	})
	return out
}

// SetView sets the daemons that share the limits of servers.
func (g *Gate) SetView(v slowstart.View, now time.Duration) {
	g.view = v
	clear(g.ranks)
	g.expirePermits(now)
	for id, p := range g.pacers {
		if now >= p.warmAt {
			delete(g.pacers, id)
		}
	}
	for _, p := range g.pacers {
		p.share = slowstart.Share{}
	}
	g.recordFleetSize(len(v.Peers)+1, now)
	g.resetRatePacers(now)
	for id, r := range g.restarts {
		if r.responded && now >= r.warmAt || now-r.terminatedAt > restartRetention {
			delete(g.restarts, id)
		}
	}
}

// SweepDue reports whether it is time for a sweep.
func (g *Gate) SweepDue(now time.Duration) bool {
	return g.limits.Len()+g.departures.Len()+g.pauses.Len()+g.concurrency.Len() > 0 && now-g.sweptAt >= sweepInterval
}

// Sweep drops what servers have stated that are not known any more, and pauses that have ended;
// known yields the IDs and names of servers. The limit of a known server is kept however long it
// gets no requests: only its responses show that it has ended.
func (g *Gate) Sweep(known iter.Seq2[string, string], now time.Duration) {
	g.sweptAt = now
	for id, name := range known {
		g.limits.MarkKnown(serverlimit.Key(name), now)
		g.departures.MarkKnown(xxhash.Sum64String(id), now)
	}
	g.limits.Sweep(now)
	g.departures.Sweep(now)
	g.pauses.Sweep(now)
	g.concurrency.Sweep(now)
}

// recordFleetSize keeps the largest number of daemons within fleetSizeMemory.
func (g *Gate) recordFleetSize(size int, now time.Duration) {
	if size >= g.fleetSize || now-g.fleetSizeAt > fleetSizeMemory {
		g.fleetSize, g.fleetSizeAt = size, now
	}
}

// resetRatePacers makes the pacers of rates compute their shares anew, and removes those of servers
// without a limit or pause.
func (g *Gate) resetRatePacers(now time.Duration) {
	for server, p := range g.limitPacers {
		p.perSecond = 0
		if g.limits.Limit(server, now).PerSecond == 0 {
			delete(g.limitPacers, server)
		}
	}
	for server, p := range g.returnPacers {
		p.perSecond = 0
		if _, limited := g.pauses.ReturnRate(server, now); !limited {
			delete(g.returnPacers, server)
		}
	}
}

// WarmAt returns when a server is warm; a time in the past for a warm server.
func (g *Gate) WarmAt(s Server, now time.Duration) time.Duration {
	if !s.Limit.Limited() {
		return 0
	}
	at := s.WarmAt
	if r := g.restart(s.ID); r != nil && r.responded {
		at = max(at, r.warmAt)
	} else if r != nil {
		at = max(at, now+s.Limit.WarmupPeriod)
	}
	if readmittedAt, any := g.readmitted[s.FailureDomain]; any {
		at = max(at, readmittedAt+s.Limit.WarmupPeriod)
	}
	return at
}

// Check returns why a request must not be sent to a server, or Allowed.
func (g *Gate) Check(r Request, s Server, now time.Duration) Reason {
	switch {
	case r.Held:
		return Held
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, s.Region):
		return RegionExcluded
	case g.isEvacuated(s.FailureDomain):
		return Evacuated
	case s.Leaving || g.departures.Leaving(s.Hash):
		return Leaving
	}
	if warmAt := g.WarmAt(s, now); now < warmAt && !g.warmupReady(s, warmAt, now) {
		return Warming
	}
	if g.pauseRemaining(s, now) > 0 {
		return Paused
	}
	if p := g.limitPacer(s, now); p != nil && !s.Permitted && !p.ready(now) {
		return Limited
	}
	if g.saturated(s, now) {
		return Saturated
	}
	return Allowed
}

// StillAdmits reports whether a request for which Check returned Allowed may still be sent. It does
// not take a share of a rate again.
func (g *Gate) StillAdmits(s Server, now time.Duration) bool {
	leaves := s.Leaving || g.departures.Leaving(s.Hash)
	return !leaves && !g.isEvacuated(s.FailureDomain) && g.pauses.Remaining(serverlimit.Key(s.Name), now) == 0
}

// Admit reports whether a request may be sent to a server, and counts a refusal.
func (g *Gate) Admit(r Request, s Server, now time.Duration, refusals *Refusals) bool {
	reason := g.Check(r, s, now)
	switch reason {
	case Allowed:
		return true
	case Warming:
		refusals.Add(Refusal{reason, s.Name, g.WarmAt(s, now) - now})
	case Limited:
		refusals.Add(Refusal{reason, s.Name, g.limitPacer(s, now).remaining(now)})
	case Paused:
		refusals.Add(Refusal{reason, s.Name, g.pauseRemaining(s, now)})
	case Saturated:
		refusals.Add(Refusal{reason, s.Name, max(minSaturatedDelay, g.concurrency.PauseRemaining(s.Hash, now))})
	default:
		refusals.Add(Refusal{Reason: reason, Server: s.Name})
	}
	return false
}

func (g *Gate) isEvacuated(domain string) bool {
	_, evacuated := g.evacuated[domain]
	return evacuated
}

// warmupReady reports whether this daemon may send to a warming server now.
func (g *Gate) warmupReady(s Server, warmAt, now time.Duration) bool {
	p := g.pacers[s.ID]
	if p == nil {
		p = &pacer{}
		g.pacers[s.ID] = p
	}
	p.warmAt = warmAt
	if p.share.Senders == 0 {
		p.share = s.Limit.Share()
		p.SetSender(g.view.IsSender(s.Hash, p.share.Senders), p.share, now)
	}
	return p.Ready(p.share, now)
}

// limitPacer returns the pacer of a server with a stated rate, or nil.
func (g *Gate) limitPacer(s Server, now time.Duration) *ratePacer {
	if g.limits.Len() == 0 {
		return nil
	}
	server := serverlimit.Key(s.Name)
	limit := g.limits.Limit(server, now)
	if limit.PerSecond == 0 {
		return nil
	}
	p := g.limitPacers[server]
	if p == nil {
		p = &ratePacer{}
		g.limitPacers[server] = p
	}
	g.setRate(p, server, limit.PerSecond, now)
	p.interval = limit.Interval(p.share.Interval)
	return p
}

// setRate sets the rate that a pacer divides.
func (g *Gate) setRate(p *ratePacer, server uint64, perSecond float64, now time.Duration) {
	if p.perSecond == perSecond {
		return
	}
	p.perSecond = perSecond
	p.share = serverlimit.ShareOf(perSecond, g.fleetSize)
	p.interval = p.share.Interval
	p.SetSender(g.view.IsSender(server, p.share.Senders), p.share, now)
}

// ready reports whether this daemon may send to the server now.
func (p *ratePacer) ready(now time.Duration) bool { return p.Ready(p.currentShare(), now) }

func (p *ratePacer) currentShare() slowstart.Share {
	return slowstart.Share{Senders: p.share.Senders, Interval: p.interval}
}

// remaining returns the time until the server has capacity for a request: of this daemon, or
// of another if this one does not send to it.
func (p *ratePacer) remaining(now time.Duration) time.Duration {
	if !p.Sender() {
		return p.share.Interval / time.Duration(p.share.Senders)
	}
	return p.Remaining(p.currentShare(), now)
}

// DescribeLimit describes the limit of a refused server, for the log.
func (g *Gate) DescribeLimit(r Refusal, now time.Duration) string {
	limit := g.limits.Limit(serverlimit.Key(r.Server), now)
	return fmt.Sprintf("%s stated %g requests a second %s ago and has room in %s", r.Server, limit.PerSecond, (now - limit.StatedAt).Round(time.Millisecond), r.Remaining.Round(time.Millisecond))
}

// RecordSend records a send to a server for which Check returned Allowed.
func (g *Gate) RecordSend(s Server, now time.Duration) {
	if p := g.returnPacer(s, now); p != nil {
		p.RecordSend(now)
	}
	if p := g.limitPacer(s, now); p != nil && !s.Permitted {
		p.RecordSend(now)
	}
	if now >= g.WarmAt(s, now) {
		return
	}
	if p := g.pacers[s.ID]; p != nil {
		p.RecordSend(now)
	}
}

// Refusals counts why the servers of a service were refused, to explain a request without a
// usable server.
type Refusals struct {
	// nearest is the refused server that is usable first, by reason.
	nearest map[Reason]Refusal
}

// Refusal is a refused server.
type Refusal struct {
	Reason Reason
	Server string
	// Remaining is the time until the reason ends, or zero if that is unknown.
	Remaining time.Duration
}

// Add counts a refused server.
func (rs *Refusals) Add(r Refusal) {
	if rs.nearest == nil {
		rs.nearest = map[Reason]Refusal{}
	}
	if nearest, any := rs.nearest[r.Reason]; !any || nearest.Remaining == 0 || r.Remaining < nearest.Remaining {
		rs.nearest[r.Reason] = r
	}
}

// Primary returns the refusal with the most informative reason, and of these the server that is
// usable first. Of servers that are limited and paused, the one that is usable first counts. The
// reason is Allowed if no server was refused.
func (rs *Refusals) Primary() Refusal {
	for _, reason := range Reasons() {
		r, any := rs.nearest[reason]
		if !any {
			continue
		}
		if paused, any := rs.nearest[Paused]; any && reason == Limited && paused.Remaining < r.Remaining {
			return paused
		}
		return r
	}
	return Refusal{}
}
