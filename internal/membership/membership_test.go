package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// fleet is daemons that exchange probes in virtual time. Cut returns whether two
// of them do not reach each other.
type fleet struct {
	tables []*Table
	cut    func(a, b int) bool
	down   map[int]bool
	now    time.Time
}

func beatOf(i, incarnation int) DaemonInfo {
	return DaemonInfo{ID: fmt.Sprintf("d%03d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), PeerAddress: fmt.Sprintf("10.0.0.%d:81", i),
		FailureDomain: fmt.Sprint("fd", i%5), Incarnation: uint64(incarnation), Serving: true}
}

func newFleet(n int) *fleet {
	f := &fleet{cut: func(int, int) bool { return false }, down: map[int]bool{}, now: start}
	for i := range n {
		f.tables = append(f.tables, NewTable(beatOf(i, 1), rand.New(rand.NewPCG(uint64(i), 1))))
		f.tables[i].Merge([]Rumor{{Info: beatOf(0, 1)}}, f.now)
		if i > 0 {
			f.tables[i].Merge(f.tables[0].Snapshot(), f.now)
			f.tables[0].MarkAlive(beatOf(i, 1), f.now)
		}
	}
	for i := range n {
		f.tables[i].Merge(f.tables[0].Snapshot(), f.now)
	}
	return f
}

// round lets every daemon probe once, as the daemon's loop does.
func (f *fleet) round() {
	f.now = f.now.Add(ProbeInterval)
	for i, t := range f.tables {
		if f.down[i] {
			continue
		}
		t.Tick(f.now)
		for _, m := range t.ProbeTargets() {
			var j int
			_, _ = fmt.Sscanf(m.ID, "d%d", &j)
			ok := !f.down[j] && !f.cut(i, j)
			if ok {
				f.exchange(t, f.tables[j])
			}
			t.RecordProbe(m.ID, ok, f.now)
		}
	}
}

func (f *fleet) exchange(a, b *Table) {
	b.MarkAlive(a.Self(), f.now)
	for _, r := range a.NextRumors() {
		b.ApplyRumor(r, f.now)
	}
	a.MarkAlive(b.Self(), f.now)
	for _, r := range b.NextRumors() {
		a.ApplyRumor(r, f.now)
	}
}

// seen counts the daemons that believe a state of daemon i.
func (f *fleet) seen(i int, s State) int {
	n := 0
	for j, t := range f.tables {
		if m, ok := t.Find(beatOf(i, 1).ID); ok && j != i && !f.down[j] && m.State == s {
			n++
		}
	}
	return n
}

func TestLostDaemonIsFoundEverywhere(t *testing.T) {
	for _, n := range []int{6, 100, 520} {
		f := newFleet(n)
		for range 3 {
			f.round()
		}
		f.down[n-1] = true
		rounds := 0
		for ; f.seen(n-1, Alive) > 0 && rounds < 30; rounds++ {
			f.round()
		}
		if rounds > 14 {
			t.Errorf("%d daemons: some still take the lost one for alive after %d rounds", n, rounds)
		}
		for range 15 {
			f.round()
		}
		if got := f.seen(n-1, Gone); got != n-1 {
			t.Errorf("%d daemons: %d of %d know that it is gone", n, got, n-1)
		}
		for i := range n - 1 {
			if f.seen(i, Gone) > 0 {
				t.Fatalf("%d daemons: healthy daemon %d is taken for gone", n, i)
			}
		}
	}
}

// Symptom: a healthy daemon loses its roles for good after one lost probe.
// Sequence: a probe of it fails; the suspicion spreads.
// Cause: it must hear of the suspicion and refute it in time, everywhere.
func TestSuspectRefutes(t *testing.T) {
	f := newFleet(100)
	f.tables[0].RecordProbe("d050", false, f.now)
	for range int(RefuteTime/ProbeInterval) + 6 {
		f.round()
	}
	if n := f.seen(50, Alive); n != 99 {
		t.Fatalf("%d of 99 take it for alive; gone for %d", n, f.seen(50, Gone))
	}
}

// Symptom: after a partition both halves go on for themselves for ever, or the
// smaller one goes on by an old configuration.
// Sequence: 6 daemons part into 4 and 2, and meet again.
// Cause: gone daemons must count as unheard, and be probed on.
func TestPartitionAndHealing(t *testing.T) {
	f := newFleet(6)
	for range 5 {
		f.round()
	}
	f.cut = func(a, b int) bool { return (a < 4) != (b < 4) }
	for range 120 {
		f.round()
	}
	for i, table := range f.tables {
		if got := table.InMajority(f.now); got != (i < 4) {
			t.Errorf("daemon %d hears most: %v", i, got)
		}
	}
	f.cut = func(int, int) bool { return false }
	for range 12 {
		f.round()
	}
	for i := range 6 {
		if f.seen(i, Alive) != 5 || !f.tables[i].InMajority(f.now) {
			t.Errorf("daemon %d after healing: alive for %d", i, f.seen(i, Alive))
		}
	}
}

// Symptom: work and copies of bills go to a daemon that no longer exists.
// Sequence: a VM is replaced at the same address under a new id; then a beat of
// the old one, long under way, arrives.
// Cause: the newer incarnation owns the address.
func TestReplacementAtTheSameAddress(t *testing.T) {
	table := NewTable(beatOf(0, 1), rand.New(rand.NewPCG(1, 1)))
	old, fresh := beatOf(1, 1), beatOf(2, 9)
	fresh.PeerAddress = old.PeerAddress
	table.MarkAlive(old, start)
	table.MarkAlive(fresh, start)
	table.ApplyRumor(Rumor{Info: old}, start)
	if _, ok := table.Find(old.ID); ok {
		t.Error("the replaced daemon is back")
	}
	if m, ok := table.Find(fresh.ID); !ok || m.State != Alive {
		t.Error("the new daemon is missing")
	}
	again := old
	again.ID, again.PeerAddress, again.Incarnation = "d003", "10.0.0.3:81", 5
	table.MarkAlive(again, start)
	stale := again
	stale.Incarnation, stale.Leaving = 4, true
	table.ApplyRumor(Rumor{Info: stale, State: Gone}, start)
	if m, _ := table.Find("d003"); m.State != Alive || m.Leaving {
		t.Error("a rumor of an earlier incarnation counts")
	}
}

func TestEndpointsSpreadAndSkipLeaving(t *testing.T) {
	f := newFleet(10)
	table := f.tables[0]
	self := table.Self()
	self.Leaving = true
	table.SetSelf(self)
	leaving := beatOf(5, 1)
	leaving.Sequence, leaving.Leaving = 1, true
	table.MarkAlive(leaving, f.now)
	starting := beatOf(6, 1)
	starting.Sequence, starting.Serving = 1, false
	table.MarkAlive(starting, f.now)
	got := table.Endpoints(4)
	domains := map[byte]bool{}
	for _, a := range got {
		if a == self.Address || a == leaving.Address || a == starting.Address {
			t.Errorf("a leaving or starting daemon is named: %v", got)
		}
		domains[(a[len(a)-4]-'0')%5] = true
	}
	if len(got) != 4 || len(domains) != 4 {
		t.Errorf("%v in %d failure domains", got, len(domains))
	}
}

func TestServe(t *testing.T) {
	at := start.Add(time.Hour)
	ago := func(s int) time.Time { return at.Add(-time.Duration(s) * time.Second) }
	cases := []struct {
		name  string
		sight Readiness
		want  bool
	}{
		{"fresh from log and peers", Readiness{LogReadAt: ago(1), MajorityAt: ago(1), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"nothing loaded", Readiness{LogReadAt: ago(1), MajorityAt: ago(1), ServersUpdatedAt: ago(1)}, false},
		{"log down, most peers heard", Readiness{LogReadAt: ago(3600), MajorityAt: ago(1), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"the same, log needed", Readiness{LogReadAt: ago(3600), MajorityAt: ago(1), ServersUpdatedAt: ago(1), ConfigLoaded: true, RequireLog: true}, false},
		{"peers cut, log heard", Readiness{LogReadAt: ago(1), MajorityAt: ago(3600), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"alone for 14 s", Readiness{LogReadAt: ago(14), MajorityAt: ago(14), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"alone for 16 s", Readiness{LogReadAt: ago(16), MajorityAt: ago(16), ServersUpdatedAt: ago(1), ConfigLoaded: true}, false},
		{"woken after a pause", Readiness{LogReadAt: ago(5), MajorityAt: ago(5), ServersUpdatedAt: ago(5), ConfigLoaded: true}, false},
		{"leaving servers unknown", Readiness{LogReadAt: ago(1), MajorityAt: ago(1), ConfigLoaded: true}, false},
	}
	for _, c := range cases {
		if got := c.sight.CanServe(at); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
