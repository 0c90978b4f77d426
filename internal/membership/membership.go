// Package membership is a daemon's view of the other daemons: who is alive,
// suspect, leaving or gone, which roles each holds, and which addresses callers
// should use. It does no I/O.
package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what one daemon believes of another.
type State uint8

const (
	// Alive daemons answered lately.
	Alive State = iota
	// Suspect daemons missed heartbeats; they hold no role but are still tried.
	Suspect
	// Gone daemons were silent for long, or were replaced.
	Gone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "gone"}[s] }

const (
	// HeartbeatEvery is the period of heartbeats.
	HeartbeatEvery = time.Second
	// SuspectAfter is the silence that makes a daemon suspect.
	SuspectAfter = 3 * time.Second
	// GoneAfter is the silence after which a daemon is taken for gone.
	GoneAfter = 10 * time.Second
	// ForgetAfter is when a gone daemon's row is dropped.
	ForgetAfter = 60 * time.Second
	// Fanout is how many daemons one heartbeat round reaches; at 520 daemons
	// news reaches all in about log(520)/log(1+Fanout) rounds.
	Fanout = 5
	// GossipRows is how many rows of the table ride on one heartbeat.
	GossipRows = 6
)

// Beat is what a daemon says of itself, or what others pass on of it.
type Beat struct {
	ID            string `cbor:"1,keyasint" json:"id"`
	Address       string `cbor:"2,keyasint" json:"address"`
	PeerAddress   string `cbor:"3,keyasint" json:"peer_address"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
	Region        string `cbor:"5,keyasint" json:"region"`
	// Incarnation is the daemon's start time in Unix nanoseconds. A higher one
	// replaces a lower one at the same id or address.
	Incarnation uint64 `cbor:"6,keyasint" json:"incarnation"`
	// Sequence rises with every beat of one incarnation.
	Sequence uint64 `cbor:"7,keyasint" json:"sequence"`
	// Number is the configuration number in force there.
	Number  uint64 `cbor:"8,keyasint" json:"number"`
	Leaving bool   `cbor:"9,keyasint" json:"leaving"`
	// InFlight is the number of requests there, for spreading callers.
	InFlight int `cbor:"10,keyasint" json:"in_flight"`
	// LogAgeMillis is how long ago the daemon heard the log, in ms.
	LogAgeMillis int64 `cbor:"11,keyasint" json:"log_age_ms"`
}

// Member is a row of the table.
type Member struct {
	Beat
	State State     `json:"state"`
	Heard time.Time `json:"heard"`
}

// Table is one daemon's view. It is owned by one goroutine or its owner's lock.
type Table struct {
	self string
	rows map[string]*Member
	turn int
}

// NewTable returns a table that knows only its own daemon.
func NewTable(self Beat) *Table {
	t := &Table{self: self.ID, rows: map[string]*Member{}}
	t.rows[self.ID] = &Member{Beat: self}
	return t
}

// SetSelf replaces the own row.
func (t *Table) SetSelf(b Beat, now time.Time) {
	t.rows[t.self] = &Member{Beat: b, Heard: now}
}

// Self returns the own row.
func (t *Table) Self() Beat { return t.rows[t.self].Beat }

// Heard takes a beat, own or passed on, and reports whether it was news. Older
// incarnations and sequences are dropped: a beat that wandered long through
// others must not bring a replaced daemon back to life.
func (t *Table) Heard(b Beat, now time.Time) bool {
	if b.ID == t.self || b.ID == "" {
		return false
	}
	old := t.rows[b.ID]
	if old != nil && (b.Incarnation < old.Incarnation || b.Incarnation == old.Incarnation && b.Sequence <= old.Sequence) {
		return false
	}
	if !t.takesAddress(b) {
		return false
	}
	t.rows[b.ID] = &Member{Beat: b, Heard: now}
	return true
}

// takesAddress settles which daemon owns a peer address. A VM replaced at the
// same address shows up under a new id; keeping both rows would send the old
// one's share of work to a daemon that knows nothing of it.
func (t *Table) takesAddress(b Beat) bool {
	for id, m := range t.rows {
		if id == b.ID || id == t.self || m.PeerAddress != b.PeerAddress {
			continue
		}
		if m.Incarnation > b.Incarnation {
			return false
		}
		delete(t.rows, id)
	}
	return true
}

// Tick ages the rows and returns those whose state changed.
func (t *Table) Tick(now time.Time) []Member {
	var changed []Member
	for id, m := range t.rows {
		if id == t.self {
			continue
		}
		state := Alive
		switch silence := now.Sub(m.Heard); {
		case silence >= ForgetAfter:
			delete(t.rows, id)
			continue
		case silence >= GoneAfter:
			state = Gone
		case silence >= SuspectAfter:
			state = Suspect
		}
		if state != m.State {
			m.State = state
			changed = append(changed, *m)
		}
	}
	return changed
}

// Members returns all rows by id.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Find returns the row of a daemon.
func (t *Table) Find(id string) (Member, bool) {
	m := t.rows[id]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// usable rows may hold roles and get callers.
func usable(m Member) bool { return m.State == Alive && !m.Leaving }

// Targets returns the daemons for the next round of heartbeats. Rounds walk
// through all rows, gone ones included, so that a healed partition is noticed.
func (t *Table) Targets() []Member {
	others := slices.DeleteFunc(t.Members(), func(m Member) bool { return m.ID == t.self })
	return t.window(others, Fanout)
}

// Gossip returns the rows to pass on with the next heartbeat.
func (t *Table) Gossip() []Beat {
	live := slices.DeleteFunc(t.Members(), func(m Member) bool { return m.ID == t.self || m.State != Alive })
	rows := t.window(live, GossipRows)
	out := make([]Beat, len(rows))
	for i, m := range rows {
		out[i] = m.Beat
	}
	return out
}

func (t *Table) window(rows []Member, n int) []Member {
	if len(rows) <= n {
		return rows
	}
	t.turn += n
	out := make([]Member, n)
	for i := range n {
		out[i] = rows[(t.turn+i)%len(rows)]
	}
	return out
}

// Homes returns the n best usable daemons for a key by rendezvous hashing, best
// first, own daemon included.
func (t *Table) Homes(key string, n int) []Member {
	return t.ranked(key, n, usable)
}

// HomesIn returns the n best usable daemons of one failure domain for a key.
func (t *Table) HomesIn(domain, key string, n int) []Member {
	return t.ranked(key, n, func(m Member) bool { return usable(m) && m.FailureDomain == domain })
}

// Keepers returns up to n usable daemons outside the own failure domain that
// keep copies for the own one.
func (t *Table) Keepers(n int) []Member {
	domain := t.Self().FailureDomain
	away := t.ranked(t.self, n, func(m Member) bool { return usable(m) && m.FailureDomain != domain })
	if len(away) > 0 {
		return away
	}
	return t.ranked(t.self, n, func(m Member) bool { return usable(m) && m.ID != t.self })
}

func (t *Table) ranked(key string, n int, keep func(Member) bool) []Member {
	var rows []Member
	for _, m := range t.rows {
		if keep(*m) {
			rows = append(rows, *m)
		}
	}
	rank := func(m Member) uint64 { return xxhash.Sum64String(key + "\x00" + m.ID) }
	slices.SortFunc(rows, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), strings.Compare(a.ID, b.ID))
	})
	return rows[:min(n, len(rows))]
}

// Endpoints returns up to n addresses for a caller: usable daemons, one failure
// domain after the other, the least loaded of each first. The own daemon's
// leaving mark counts too, so a leaving daemon never names itself.
func (t *Table) Endpoints(n int) []string {
	byDomain := map[string][]Member{}
	for _, m := range t.Members() {
		if usable(m) {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
		}
	}
	domains := make([]string, 0, len(byDomain))
	for d, rows := range byDomain {
		slices.SortStableFunc(rows, func(a, b Member) int { return cmp.Compare(a.InFlight, b.InFlight) })
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(byDomain[a][0].InFlight, byDomain[b][0].InFlight), strings.Compare(a, b))
	})
	var out []string
	for round := 0; len(out) < n; round++ {
		before := len(out)
		for _, d := range domains {
			if round < len(byDomain[d]) && len(out) < n {
				out = append(out, byDomain[d][round].Address)
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
