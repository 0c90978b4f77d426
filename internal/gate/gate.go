// Package gate decides whether a request may be sent to a backend server now. Every send of
// both routers passes it: the first, repeats, larger models, streams that go on elsewhere. It
// does no I/O and reads no clock; its owner guards it with a lock.
package gate

import (
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

// Reason says why a send is refused.
type Reason string

// The reasons. The list is closed: they are the values of a counter.
const (
	// Open is no reason to refuse.
	Open Reason = ""
	// Held requests are kept from all servers because servers ended that ran them.
	Held Reason = "held"
	// Leaving servers finish what they run.
	Leaving Reason = "leaving"
	// Evacuated servers stand in a failure domain that an operator has evacuated.
	Evacuated Reason = "evacuated"
	// Warming servers have started a moment ago and have had what they bear.
	Warming Reason = "warming"
	// Excluded servers stand in a region that the request may not be sent to.
	Excluded Reason = "region_excluded"
)

// Reasons returns all reasons to refuse, the one that tells a caller most first.
func Reasons() []Reason { return []Reason{Held, Excluded, Evacuated, Warming, Leaving} }

// Server is what the gate goes by of one run of a backend server.
type Server struct {
	ID string
	// Hash is the hash of ID, the same at all daemons.
	Hash          uint64
	FailureDomain string
	Region        string
	Leaving       bool
	// WarmAt is when the server has warmed up by its entry; zero if it is warm.
	WarmAt time.Duration
	// Limit is what it bears until then.
	Limit slowstart.Limit
}

// Request is what the gate goes by of a request.
type Request struct {
	Held bool
	// Regions are those that the request may be sent to; none allows all.
	Regions []string
}

// Gate is one daemon's state. Times are readings of a clock that counts while the VM is
// suspended.
type Gate struct {
	evacuated map[string]time.Duration
	// lifted is when the evacuation of a domain was taken back.
	lifted map[string]time.Duration
	view   slowstart.View
	meters map[string]*meter
	// ended are servers that have ended and may start again under their name.
	ended map[string]*restart
}

// restart is what is known of a server's next start under the same name.
type restart struct {
	at time.Duration
	// answered says that the server has answered since, and warmAt when it is then warm.
	answered bool
	warmAt   time.Duration
}

// endedRetention is how long the end of a server is remembered that does not come back.
const endedRetention = time.Minute

// meter is the count of sends to a warming server, with the choice of its senders.
type meter struct {
	slowstart.Pacer
	share  slowstart.Share
	sender bool
	warmAt time.Duration
}

// New returns a gate that knows of no evacuation and no other daemon.
func New() *Gate {
	return &Gate{evacuated: map[string]time.Duration{}, lifted: map[string]time.Duration{}, meters: map[string]*meter{}, ended: map[string]*restart{}}
}

// Evacuate closes a failure domain and reports whether it was open.
func (g *Gate) Evacuate(domain string, now time.Duration) bool {
	if _, closed := g.evacuated[domain]; closed {
		return false
	}
	g.evacuated[domain] = now
	return true
}

// Readmit opens a failure domain again and reports whether it was closed. Its servers count
// as just started: they have served nothing, and their entries tell of it some time later.
func (g *Gate) Readmit(domain string, now time.Duration) bool {
	if _, closed := g.evacuated[domain]; !closed {
		return false
	}
	delete(g.evacuated, domain)
	g.lifted[domain] = now
	return true
}

// Evacuation is a failure domain that is closed, and since when this daemon knows.
type Evacuation struct {
	FailureDomain string
	Since         time.Duration
}

// Evacuations lists the domains that are closed, by name.
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

// ServerTerminated takes it that a server has ended. If it comes back under its name it counts as just
// started from its first answer on, whatever its entry said before.
func (g *Gate) ServerTerminated(id string, now time.Duration) { g.ended[id] = &restart{at: now} }

// ServerResponded takes it that a server has answered.
func (g *Gate) ServerResponded(id string, limit slowstart.Limit, now time.Duration) {
	if r := g.ended[id]; r != nil && !r.answered {
		r.answered, r.warmAt = true, now+limit.WarmupPeriod
	}
}

// SetView takes who shares the limits of warming servers.
func (g *Gate) SetView(v slowstart.View, now time.Duration) {
	g.view = v
	for id, m := range g.meters {
		if now >= m.warmAt {
			delete(g.meters, id)
		}
	}
	for _, m := range g.meters {
		m.share = slowstart.Share{}
	}
	for id, r := range g.ended {
		if r.answered && now >= r.warmAt || now-r.at > endedRetention {
			delete(g.ended, id)
		}
	}
}

// WarmAt returns when a server has warmed up, as seen now; a past time for one that is warm.
func (g *Gate) WarmAt(s Server, now time.Duration) time.Duration {
	if !s.Limit.Limited() {
		return 0
	}
	at := s.WarmAt
	if r := g.ended[s.ID]; r != nil && r.answered {
		at = max(at, r.warmAt)
	} else if r != nil {
		at = max(at, now+s.Limit.WarmupPeriod)
	}
	if lifted, any := g.lifted[s.FailureDomain]; any {
		at = max(at, lifted+s.Limit.WarmupPeriod)
	}
	return at
}

// Check returns why a request may not be sent to a server, or Open.
func (g *Gate) Check(r Request, s Server, now time.Duration) Reason {
	switch {
	case r.Held:
		return Held
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, s.Region):
		return Excluded
	case g.closed(s.FailureDomain):
		return Evacuated
	case s.Leaving:
		return Leaving
	}
	if warmAt := g.WarmAt(s, now); now < warmAt && !g.ready(s, warmAt, now) {
		return Warming
	}
	return Open
}

// Admit reports whether a request may be sent to a server, and counts why not.
func (g *Gate) Admit(r Request, s Server, now time.Duration, refused *Refusals) bool {
	reason := g.Check(r, s, now)
	if reason != Open {
		refused.Add(reason, g.WarmAt(s, now)-now)
	}
	return reason == Open
}

func (g *Gate) closed(domain string) bool {
	_, closed := g.evacuated[domain]
	return closed
}

// ready reports whether this daemon may send to a warming server.
func (g *Gate) ready(s Server, warmAt, now time.Duration) bool {
	m := g.meters[s.ID]
	if m == nil {
		m = &meter{}
		g.meters[s.ID] = m
	}
	m.warmAt = warmAt
	if m.share.Senders == 0 {
		m.share = s.Limit.Share()
		m.sender = g.view.IsSender(s.Hash, m.share.Senders)
	}
	return m.sender && m.Ready(m.share, now)
}

// RecordSend records a send to a server that Check has let through.
func (g *Gate) RecordSend(s Server, now time.Duration) {
	if now >= g.WarmAt(s, now) {
		return
	}
	if m := g.meters[s.ID]; m != nil {
		m.RecordSend(now)
	}
}

// Refusals counts why the servers of a service were refused, for the answer to a request that no
// server is left for.
type Refusals struct {
	counts map[Reason]int
	// warm is the time until the first of the warming servers has warmed up.
	warm time.Duration
}

// Add counts a refused server. Warm is the time until it has warmed up, if it is warming.
func (t *Refusals) Add(r Reason, warm time.Duration) {
	if t.counts == nil {
		t.counts = map[Reason]int{}
	}
	t.counts[r]++
	if r == Warming && (t.warm == 0 || warm < t.warm) {
		t.warm = warm
	}
}

// Primary returns the reason that tells the caller most, or Open if none was counted, and the
// time until it ends, if that is known.
func (t *Refusals) Primary() (Reason, time.Duration) {
	for _, r := range Reasons() {
		if t.counts[r] == 0 {
			continue
		}
		if r == Warming {
			return r, t.warm
		}
		return r, 0
	}
	return Open, 0
}
