package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Member is an entry of the table.
type Member struct {
	DaemonInfo
	State State `json:"state"`
	// Since is when the member entered its state.
	Since time.Time `json:"since"`
}

// Table is one daemon's view of the fleet. It is not safe for concurrent use.
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

// NewTable returns a table that holds only its own daemon. The rng shuffles the probe
// order, so that daemons do not probe the same targets at the same time.
func NewTable(self DaemonInfo, rng *rand.Rand) *Table {
	t := &Table{self: self.ID, members: map[string]*Member{}, rumors: map[string]*pendingRumor{}, rng: rng}
	t.members[self.ID] = &Member{DaemonInfo: self}
	t.enqueueRumor(self.ID, Alive)
	return t
}

// Self returns the info of the own daemon.
func (t *Table) Self() DaemonInfo { return t.members[t.self].DaemonInfo }

// SetSelf replaces the info of the own daemon. A change of Leaving or Serving is
// announced as a rumor.
func (t *Table) SetSelf(info DaemonInfo) {
	own := t.members[t.self]
	info.Sequence = own.Sequence
	if info.Leaving != own.Leaving || info.Serving != own.Serving {
		info.Sequence++
		t.enqueueRumor(t.self, Alive)
	}
	own.DaemonInfo = info
}

// enqueueRumor schedules the state of a daemon for dissemination.
func (t *Table) enqueueRumor(id string, s State) { t.rumors[id] = &pendingRumor{state: s} }

// MarkAlive applies the info that a daemon sent itself, in a probe or its response. Direct
// contact marks it alive in this table only; it refutes a suspicion to the others itself.
func (t *Table) MarkAlive(info DaemonInfo, now time.Time) {
	old, admitted := t.admit(info)
	if !admitted {
		return
	}
	if old == nil || info.supersedes(old.DaemonInfo) {
		t.setMember(info, Alive, now)
		t.enqueueRumor(info.ID, Alive)
		return
	}
	if old.supersedes(info) {
		return
	}
	old.DaemonInfo = info
	if old.State != Alive {
		old.State, old.Since = Alive, now
	}
}

// admit returns the entry of another daemon, if there is one. It rejects info without an
// ID, of the own daemon, and of a daemon that was replaced at its address.
func (t *Table) admit(info DaemonInfo) (*Member, bool) {
	if info.ID == t.self || info.ID == "" || !t.claimAddress(info) {
		return nil, false
	}
	return t.members[info.ID], true
}

func (t *Table) setMember(info DaemonInfo, s State, now time.Time) {
	t.members[info.ID] = &Member{DaemonInfo: info, State: s, Since: now}
}

// ApplyRumor applies a rumor and forwards it if it changed the table. Rumors of a lower
// incarnation or sequence are dropped: a delayed one must not revive a replaced daemon.
func (t *Table) ApplyRumor(r Rumor, now time.Time) {
	if r.Info.ID == t.self {
		t.refute(r)
		return
	}
	old, admitted := t.admit(r.Info)
	if !admitted {
		return
	}
	switch {
	case old == nil && r.State == Gone:
		return
	case old == nil || r.Info.supersedes(old.DaemonInfo):
	case old.supersedes(r.Info) || r.State <= old.State:
		return
	}
	t.setMember(r.Info, r.State, now)
	t.enqueueRumor(r.Info.ID, r.State)
}

// Merge applies the whole table of another daemon. Its entries are not forwarded as
// rumors.
func (t *Table) Merge(entries []Rumor, now time.Time) {
	for _, r := range entries {
		old, admitted := t.admit(r.Info)
		if !admitted || r.State == Gone || old != nil && !r.Info.supersedes(old.DaemonInfo) {
			continue
		}
		t.setMember(r.Info, r.State, now)
	}
}

// Snapshot returns the whole table for another daemon to merge.
func (t *Table) Snapshot() []Rumor {
	var out []Rumor
	for _, m := range t.Members() {
		out = append(out, Rumor{m.DaemonInfo, m.State})
	}
	return out
}

// refute overrides a rumor that this daemon is not alive by raising its sequence.
func (t *Table) refute(r Rumor) {
	own := t.members[t.self]
	if r.State == Alive || r.Info.Incarnation != own.Incarnation || r.Info.Sequence < own.Sequence {
		return
	}
	own.Sequence = r.Info.Sequence + 1
	t.enqueueRumor(t.self, Alive)
}

// claimAddress reports whether info owns its peer address, and removes the entry that it
// replaces. A VM replaced at the same address has a new ID; keeping both entries would
// assign work to a daemon that no longer exists.
func (t *Table) claimAddress(info DaemonInfo) bool {
	if old := t.members[info.ID]; old != nil && old.PeerAddress == info.PeerAddress {
		return true
	}
	for id, m := range t.members {
		if id == info.ID || id == t.self || m.PeerAddress != info.PeerAddress {
			continue
		}
		if m.Incarnation > info.Incarnation {
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

// RecordProbe records the outcome of a probe. An alive daemon that did not respond becomes
// suspect, and the suspicion is announced.
func (t *Table) RecordProbe(id string, ok bool, now time.Time) {
	t.probeResults = append(t.probeResults, probeResult{now, ok})
	if excess := len(t.probeResults) - probeHistorySize; excess > 0 {
		t.probeResults = t.probeResults[excess:]
	}
	m := t.members[id]
	if ok || m == nil || id == t.self || m.State != Alive {
		return
	}
	m.State, m.Since = Suspect, now
	t.enqueueRumor(id, Suspect)
}

// Tick expires suspicions and retained entries, and returns the daemons that became gone.
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

// Members returns all entries, sorted by ID.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// AliveCount returns the number of alive daemons, including the own one.
func (t *Table) AliveCount() int {
	n := 0
	for _, m := range t.members {
		if m.State == Alive {
			n++
		}
	}
	return n
}

// Find returns the entry of a daemon.
func (t *Table) Find(id string) (Member, bool) {
	m := t.members[id]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// ProbeTargets returns the daemons to probe in the next round. Each cycle covers all
// entries in a new random order, including gone ones, so that every daemon is probed in
// bounded time and a healed partition is detected.
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

// NextRumors returns the rumors for the next message, least transmitted first. A rumor is
// dropped once it reached its retransmit limit.
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

// InMajority reports whether the daemon is in the majority of the fleet: at least half of
// its recent probes were answered, and at least half of the other daemons are alive. A
// daemon without others is never in the majority and depends on the log.
func (t *Table) InMajority(now time.Time) bool {
	answered, probed := 0, 0
	for _, result := range t.probeResults {
		if now.Sub(result.at) > probeHistoryMaxAge {
			continue
		}
		probed++
		if result.ok {
			answered++
		}
	}
	others := len(t.members) - 1
	return answered > 0 && 2*answered >= probed && 2*(t.AliveCount()-1) >= others
}
