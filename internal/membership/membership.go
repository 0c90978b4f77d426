package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Member is a row of the table.
type Member struct {
	DaemonInfo
	State State `json:"state"`
	// Since is when the state was taken.
	Since time.Time `json:"since"`
}

// Table is one daemon's view. It is owned by one goroutine or its owner's lock.
type Table struct {
	self     string
	rows     map[string]*Member
	rumors   map[string]*rumor
	order    []string
	contacts []contact
	rng      *rand.Rand
}

type rumor struct {
	state State
	sent  int
}

type contact struct {
	at time.Time
	ok bool
}

// NewTable returns a table that knows only its own daemon. The source orders the
// probes, so that daemons do not all probe the same ones.
func NewTable(self DaemonInfo, rng *rand.Rand) *Table {
	t := &Table{self: self.ID, rows: map[string]*Member{}, rumors: map[string]*rumor{}, rng: rng}
	t.rows[self.ID] = &Member{DaemonInfo: self}
	t.spread(self.ID, Alive)
	return t
}

// Self returns the own row.
func (t *Table) Self() DaemonInfo { return t.rows[t.self].DaemonInfo }

// SetSelf refreshes what the own row says. Starting to leave, to serve or to
// refuse is news.
func (t *Table) SetSelf(b DaemonInfo) {
	own := t.rows[t.self]
	b.Sequence = own.Sequence
	if b.Leaving != own.Leaving || b.Serving != own.Serving {
		b.Sequence++
		t.spread(t.self, Alive)
	}
	own.DaemonInfo = b
}

// spread makes the state of a daemon a rumor to pass on.
func (t *Table) spread(id string, s State) { t.rumors[id] = &rumor{state: s} }

// MarkAlive takes what a daemon said of itself, in a probe or its answer. A
// daemon that speaks is alive here, whatever others say; whether it is for them
// is for it to refute.
func (t *Table) MarkAlive(b DaemonInfo, now time.Time) {
	old, known := t.admit(b)
	if !known {
		return
	}
	if old == nil || b.newer(old.DaemonInfo) {
		t.set(b, Alive, now)
		t.spread(b.ID, Alive)
		return
	}
	if old.newer(b) {
		return
	}
	old.DaemonInfo = b
	if old.State != Alive {
		old.State, old.Since = Alive, now
	}
}

// admit finds the row of a foreign daemon. It refuses beats without identity,
// of the own id, and of daemons that were replaced at their address.
func (t *Table) admit(b DaemonInfo) (*Member, bool) {
	if b.ID == t.self || b.ID == "" || !t.takesAddress(b) {
		return nil, false
	}
	return t.rows[b.ID], true
}

func (t *Table) set(b DaemonInfo, s State, now time.Time) {
	t.rows[b.ID] = &Member{DaemonInfo: b, State: s, Since: now}
}

// ApplyRumor applies a rumor and passes it on if it was news. A rumor of lower
// incarnation or sequence is dropped: one that wandered long through others
// must not bring a replaced daemon back to life.
func (t *Table) ApplyRumor(r Rumor, now time.Time) {
	if r.Info.ID == t.self {
		t.refute(r)
		return
	}
	old, known := t.admit(r.Info)
	if !known {
		return
	}
	switch {
	case old == nil && r.State == Gone:
		return
	case old == nil || r.Info.newer(old.DaemonInfo):
	case old.newer(r.Info) || r.State <= old.State:
		return
	}
	t.set(r.Info, r.State, now)
	t.spread(r.Info.ID, r.State)
}

// Merge takes another daemon's whole table. Its rows are no rumors: whoever has
// this daemon's news has them too.
func (t *Table) Merge(rows []Rumor, now time.Time) {
	for _, r := range rows {
		old, known := t.admit(r.Info)
		if !known || r.State == Gone || old != nil && !r.Info.newer(old.DaemonInfo) {
			continue
		}
		t.set(r.Info, r.State, now)
	}
}

// Snapshot returns the whole table for another daemon to adopt.
func (t *Table) Snapshot() []Rumor {
	var out []Rumor
	for _, m := range t.Members() {
		out = append(out, Rumor{m.DaemonInfo, m.State})
	}
	return out
}

// refute answers a rumor that this daemon is not alive with a higher sequence.
func (t *Table) refute(r Rumor) {
	own := t.rows[t.self]
	if r.State == Alive || r.Info.Incarnation != own.Incarnation || r.Info.Sequence < own.Sequence {
		return
	}
	own.Sequence = r.Info.Sequence + 1
	t.spread(t.self, Alive)
}

// takesAddress settles which daemon owns a peer address. A VM replaced at the
// same address shows up under a new id; keeping both rows would send the old
// one's share of work to a daemon that knows nothing of it.
func (t *Table) takesAddress(b DaemonInfo) bool {
	if old := t.rows[b.ID]; old != nil && old.PeerAddress == b.PeerAddress {
		return true
	}
	for id, m := range t.rows {
		if id == b.ID || id == t.self || m.PeerAddress != b.PeerAddress {
			continue
		}
		if m.Incarnation > b.Incarnation {
			return false
		}
		t.forget(id)
	}
	return true
}

func (t *Table) forget(id string) {
	delete(t.rows, id)
	delete(t.rumors, id)
}

// RecordProbe records the outcome of a probe. A daemon that did not answer becomes
// suspect, which is news.
func (t *Table) RecordProbe(id string, ok bool, now time.Time) {
	t.contacts = append(t.contacts, contact{now, ok})
	if over := len(t.contacts) - contactsKept; over > 0 {
		t.contacts = t.contacts[over:]
	}
	m := t.rows[id]
	if ok || m == nil || id == t.self || m.State != Alive {
		return
	}
	m.State, m.Since = Suspect, now
	t.spread(id, Suspect)
}

// Tick ages the rows and returns those that went.
func (t *Table) Tick(now time.Time) []Member {
	var gone []Member
	for id, m := range t.rows {
		age := now.Sub(m.Since)
		switch {
		case id == t.self:
		case m.State == Suspect && age >= RefuteTime:
			m.State, m.Since = Gone, now
			t.spread(id, Gone)
			gone = append(gone, *m)
		case m.State == Gone && (m.Leaving || age >= ForgetAfter):
			t.forget(id)
		}
	}
	return gone
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

// AliveCount returns the number of daemons believed alive, the own one included.
func (t *Table) AliveCount() int {
	n := 0
	for _, m := range t.rows {
		if m.State == Alive {
			n++
		}
	}
	return n
}

// Find returns the row of a daemon.
func (t *Table) Find(id string) (Member, bool) {
	m := t.rows[id]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// ProbeTargets returns the daemons to probe in the next round. Each cycle goes
// through all rows in a new random order, gone ones included, so that every
// daemon is probed in bounded time and a healed partition is noticed.
func (t *Table) ProbeTargets() []Member {
	var out []Member
	for len(out) < Fanout {
		if len(t.order) == 0 {
			if len(out) > 0 || len(t.rows) == 1 {
				return out
			}
			t.shuffle()
		}
		id := t.order[0]
		t.order = t.order[1:]
		if m := t.rows[id]; m != nil {
			out = append(out, *m)
		}
	}
	return out
}

func (t *Table) shuffle() {
	for _, m := range t.Members() {
		if m.ID != t.self {
			t.order = append(t.order, m.ID)
		}
	}
	t.rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// NextRumors returns the rumors for the next message, the least told first. A rumor
// is told often enough to reach everybody with near certainty, then dropped.
func (t *Table) NextRumors() []Rumor {
	ids := make([]string, 0, len(t.rumors))
	for id := range t.rumors {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.rumors[a].sent, t.rumors[b].sent), strings.Compare(a, b))
	})
	limit := rumorFactor * bits.Len(uint(len(t.rows)))
	var out []Rumor
	for _, id := range ids[:min(RumorRows, len(ids))] {
		r := t.rumors[id]
		out = append(out, Rumor{t.rows[id].DaemonInfo, r.state})
		if r.sent++; r.sent >= limit {
			delete(t.rumors, id)
		}
	}
	return out
}

// InMajority reports whether the daemon is in the larger part of the fleet: at
// least half of its newest probes were answered, and at least half of the
// daemons it knows are alive. A lone daemon hears nobody and relies on the log.
func (t *Table) InMajority(now time.Time) bool {
	answered, asked := 0, 0
	for _, c := range t.contacts {
		if now.Sub(c.at) > contactFresh {
			continue
		}
		asked++
		if c.ok {
			answered++
		}
	}
	others := len(t.rows) - 1
	return answered > 0 && 2*answered >= asked && 2*(t.AliveCount()-1) >= others
}
