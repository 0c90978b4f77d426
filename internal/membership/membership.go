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
	self         string
	members      map[string]*Member
	rumors       map[string]*pendingRumor
	probeQueue   []string
	probeResults []probeResult
	rng          *rand.Rand
}

type pendingRumor struct {
	state     State
	transmits int
}

type probeResult struct {
	at time.Time
	ok bool
}

// NewTable returns a table that knows only its own daemon. The source orders the
// probes, so that daemons do not all probe the same ones.
func NewTable(self DaemonInfo, rng *rand.Rand) *Table {
	t := &Table{self: self.ID, members: map[string]*Member{}, rumors: map[string]*pendingRumor{}, rng: rng}
	t.members[self.ID] = &Member{DaemonInfo: self}
	t.enqueueRumor(self.ID, Alive)
	return t
}

// Self returns the own row.
func (t *Table) Self() DaemonInfo { return t.members[t.self].DaemonInfo }

// SetSelf refreshes what the own row says. Starting to leave, to serve or to
// refuse is news.
func (t *Table) SetSelf(b DaemonInfo) {
	own := t.members[t.self]
	b.Sequence = own.Sequence
	if b.Leaving != own.Leaving || b.Serving != own.Serving {
		b.Sequence++
		t.enqueueRumor(t.self, Alive)
	}
	own.DaemonInfo = b
}

// enqueueRumor makes the state of a daemon a rumor to pass on.
func (t *Table) enqueueRumor(id string, s State) { t.rumors[id] = &pendingRumor{state: s} }

// MarkAlive takes what a daemon said of itself, in a probe or its answer. A
// daemon that speaks is alive here, whatever others say; whether it is for them
// is for it to refute.
func (t *Table) MarkAlive(b DaemonInfo, now time.Time) {
	old, known := t.admit(b)
	if !known {
		return
	}
	if old == nil || b.supersedes(old.DaemonInfo) {
		t.setMember(b, Alive, now)
		t.enqueueRumor(b.ID, Alive)
		return
	}
	if old.supersedes(b) {
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
	if b.ID == t.self || b.ID == "" || !t.claimAddress(b) {
		return nil, false
	}
	return t.members[b.ID], true
}

func (t *Table) setMember(b DaemonInfo, s State, now time.Time) {
	t.members[b.ID] = &Member{DaemonInfo: b, State: s, Since: now}
}

// ApplyRumor applies a rumor and passes it on if it was news. A rumor of lower
// incarnation or sequence is dropped: one that wandered long through others
// must not bring a replaced daemon back to life.
func (t *Table) ApplyRumor(r Rumor, now time.Time) {
	if r.Beat.ID == t.self {
		t.refute(r)
		return
	}
	old, known := t.admit(r.Beat)
	if !known {
		return
	}
	switch {
	case old == nil && r.State == Gone:
		return
	case old == nil || r.Beat.supersedes(old.DaemonInfo):
	case old.supersedes(r.Beat) || r.State <= old.State:
		return
	}
	t.setMember(r.Beat, r.State, now)
	t.enqueueRumor(r.Beat.ID, r.State)
}

// Merge takes another daemon's whole table. Its rows are no rumors: whoever has
// this daemon's news has them too.
func (t *Table) Merge(rows []Rumor, now time.Time) {
	for _, r := range rows {
		old, known := t.admit(r.Beat)
		if !known || r.State == Gone || old != nil && !r.Beat.supersedes(old.DaemonInfo) {
			continue
		}
		t.setMember(r.Beat, r.State, now)
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
	own := t.members[t.self]
	if r.State == Alive || r.Beat.Incarnation != own.Incarnation || r.Beat.Sequence < own.Sequence {
		return
	}
	own.Sequence = r.Beat.Sequence + 1
	t.enqueueRumor(t.self, Alive)
}

// claimAddress settles which daemon owns a peer address. A VM replaced at the
// same address shows up under a new id; keeping both rows would send the old
// one's share of work to a daemon that knows nothing of it.
func (t *Table) claimAddress(b DaemonInfo) bool {
	if old := t.members[b.ID]; old != nil && old.PeerAddress == b.PeerAddress {
		return true
	}
	for id, m := range t.members {
		if id == b.ID || id == t.self || m.PeerAddress != b.PeerAddress {
			continue
		}
		if m.Incarnation > b.Incarnation {
			return false
		}
		t.remove(id)
	}
	return true
}

func (t *Table) remove(id string) {
	delete(t.members, id)
	delete(t.rumors, id)
}

// RecordProbe records the outcome of a probe. A daemon that did not answer becomes
// suspect, which is news.
func (t *Table) RecordProbe(id string, ok bool, now time.Time) {
	t.probeResults = append(t.probeResults, probeResult{now, ok})
	if over := len(t.probeResults) - probeHistorySize; over > 0 {
		t.probeResults = t.probeResults[over:]
	}
	m := t.members[id]
	if ok || m == nil || id == t.self || m.State != Alive {
		return
	}
	m.State, m.Since = Suspect, now
	t.enqueueRumor(id, Suspect)
}

// Tick ages the rows and returns those that went.
func (t *Table) Tick(now time.Time) []Member {
	var gone []Member
	for id, m := range t.members {
		age := now.Sub(m.Since)
		switch {
		case id == t.self:
		case m.State == Suspect && age >= SuspicionTimeout:
			m.State, m.Since = Gone, now
			t.enqueueRumor(id, Gone)
			gone = append(gone, *m)
		case m.State == Gone && (m.Leaving || age >= GoneRetention):
			t.remove(id)
		}
	}
	return gone
}

// Members returns all rows by id.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// AliveCount returns the number of daemons believed alive, the own one included.
func (t *Table) AliveCount() int {
	n := 0
	for _, m := range t.members {
		if m.State == Alive {
			n++
		}
	}
	return n
}

// Find returns the row of a daemon.
func (t *Table) Find(id string) (Member, bool) {
	m := t.members[id]
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
		if len(t.probeQueue) == 0 {
			if len(out) > 0 || len(t.members) == 1 {
				return out
			}
			t.refillProbeQueue()
		}
		id := t.probeQueue[0]
		t.probeQueue = t.probeQueue[1:]
		if m := t.members[id]; m != nil {
			out = append(out, *m)
		}
	}
	return out
}

func (t *Table) refillProbeQueue() {
	for _, m := range t.Members() {
		if m.ID != t.self {
			t.probeQueue = append(t.probeQueue, m.ID)
		}
	}
	t.rng.Shuffle(len(t.probeQueue), func(i, j int) { t.probeQueue[i], t.probeQueue[j] = t.probeQueue[j], t.probeQueue[i] })
}

// NextRumors returns the rumors for the next message, the least told first. A rumor
// is told often enough to reach everybody with near certainty, then dropped.
func (t *Table) NextRumors() []Rumor {
	ids := make([]string, 0, len(t.rumors))
	for id := range t.rumors {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.rumors[a].transmits, t.rumors[b].transmits), strings.Compare(a, b))
	})
	limit := retransmitMultiplier * bits.Len(uint(len(t.members)))
	var out []Rumor
	for _, id := range ids[:min(MaxRumorsPerMessage, len(ids))] {
		r := t.rumors[id]
		out = append(out, Rumor{t.members[id].DaemonInfo, r.state})
		if r.transmits++; r.transmits >= limit {
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
	for _, c := range t.probeResults {
		if now.Sub(c.at) > probeHistoryMaxAge {
			continue
		}
		asked++
		if c.ok {
			answered++
		}
	}
	others := len(t.members) - 1
	return answered > 0 && 2*answered >= asked && 2*(t.AliveCount()-1) >= others
}
