package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var startTime = time.Unix(1000, 0)

// testFleet simulates daemons that exchange probes in virtual time. Partitioned reports
// whether two of them cannot reach each other.
type testFleet struct {
	tables      []*Table
	partitioned func(a, b int) bool
	down        map[int]bool
	now         time.Time
}

func testInfo(i, incarnation int) DaemonInfo {
	return DaemonInfo{ID: fmt.Sprintf("d%03d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), PeerAddress: fmt.Sprintf("10.0.0.%d:81", i),
		FailureDomain: fmt.Sprint("fd", i%5), Incarnation: uint64(incarnation), Serving: true}
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{partitioned: func(int, int) bool { return false }, down: map[int]bool{}, now: startTime}
	for i := range n {
		f.tables = append(f.tables, NewTable(testInfo(i, 1), rand.New(rand.NewPCG(uint64(i), 1))))
		f.tables[i].Merge([]Rumor{{Info: testInfo(0, 1)}}, f.now)
		if i > 0 {
			f.tables[i].Merge(f.tables[0].Snapshot(), f.now)
			f.tables[0].MarkAlive(testInfo(i, 1), f.now)
		}
	}
	for i := range n {
		f.tables[i].Merge(f.tables[0].Snapshot(), f.now)
	}
	return f
}

// round runs one probe round of every daemon.
func (f *testFleet) round() {
	f.now = f.now.Add(ProbeInterval)
	for i, t := range f.tables {
		if f.down[i] {
			continue
		}
		t.Tick(f.now)
		for _, m := range t.ProbeTargets() {
			var j int
			_, _ = fmt.Sscanf(m.ID, "d%d", &j)
			ok := !f.down[j] && !f.partitioned(i, j)
			if ok {
				f.exchange(t, f.tables[j])
			}
			t.RecordProbe(m.ID, ok, f.now)
		}
	}
}

func (f *testFleet) exchange(a, b *Table) {
	b.MarkAlive(a.Self(), f.now)
	for _, r := range a.NextRumors() {
		b.ApplyRumor(r, f.now)
	}
	a.MarkAlive(b.Self(), f.now)
	for _, r := range b.NextRumors() {
		a.ApplyRumor(r, f.now)
	}
}

// countSeeing counts the daemons that see daemon i in a state.
func (f *testFleet) countSeeing(i int, s State) int {
	n := 0
	for j, t := range f.tables {
		if m, ok := t.Find(testInfo(i, 1).ID); ok && j != i && !f.down[j] && m.State == s {
			n++
		}
	}
	return n
}

func TestFailedDaemonIsDetectedEverywhere(t *testing.T) {
	for _, n := range []int{6, 100, 520} {
		f := newTestFleet(n)
		for range 3 {
			f.round()
		}
		f.down[n-1] = true
		rounds := 0
		for ; f.countSeeing(n-1, Alive) > 0 && rounds < 30; rounds++ {
			f.round()
		}
		if rounds > 14 {
			t.Errorf("%d daemons: some still see the failed one as alive after %d rounds", n, rounds)
		}
		for range 15 {
			f.round()
		}
		if got := f.countSeeing(n-1, Gone); got != n-1 {
			t.Errorf("%d daemons: %d of %d see the failed one as gone", n, got, n-1)
		}
		for i := range n - 1 {
			if f.countSeeing(i, Gone) > 0 {
				t.Fatalf("%d daemons: healthy daemon %d is seen as gone", n, i)
			}
		}
	}
}

// A healthy daemon must not be declared gone after one lost probe: it has to learn of the
// suspicion and refute it in time.
func TestSuspectRefutesInTime(t *testing.T) {
	f := newTestFleet(100)
	f.tables[0].RecordProbe("d050", false, f.now)
	for range int(SuspicionTimeout/ProbeInterval) + 6 {
		f.round()
	}
	if n := f.countSeeing(50, Alive); n != 99 {
		t.Fatalf("%d of 99 see it as alive, %d as gone", n, f.countSeeing(50, Gone))
	}
}

// Only the larger side of a partition is in the majority, and after healing all daemons
// are alive again: gone ones count as unreachable and are still probed.
func TestPartitionAndHealing(t *testing.T) {
	f := newTestFleet(6)
	for range 5 {
		f.round()
	}
	f.partitioned = func(a, b int) bool { return (a < 4) != (b < 4) }
	for range 120 {
		f.round()
	}
	for i, table := range f.tables {
		if got := table.InMajority(f.now); got != (i < 4) {
			t.Errorf("daemon %d in majority: %v", i, got)
		}
	}
	f.partitioned = func(int, int) bool { return false }
	for range 12 {
		f.round()
	}
	for i := range 6 {
		if f.countSeeing(i, Alive) != 5 || !f.tables[i].InMajority(f.now) {
			t.Errorf("daemon %d after healing: alive for %d others", i, f.countSeeing(i, Alive))
		}
	}
}

// A delayed rumor about the previous VM at an address must not replace the present one: the
// higher incarnation owns the address.
func TestReplacementAtSameAddress(t *testing.T) {
	table := NewTable(testInfo(0, 1), rand.New(rand.NewPCG(1, 1)))
	old, replacement := testInfo(1, 1), testInfo(2, 9)
	replacement.PeerAddress = old.PeerAddress
	table.MarkAlive(old, startTime)
	table.MarkAlive(replacement, startTime)
	table.ApplyRumor(Rumor{Info: old}, startTime)
	if _, ok := table.Find(old.ID); ok {
		t.Error("the replaced daemon is back")
	}
	if m, ok := table.Find(replacement.ID); !ok || m.State != Alive {
		t.Error("the new daemon is missing")
	}
	restarted := old
	restarted.ID, restarted.PeerAddress, restarted.Incarnation = "d003", "10.0.0.3:81", 5
	table.MarkAlive(restarted, startTime)
	stale := restarted
	stale.Incarnation, stale.Leaving = 4, true
	table.ApplyRumor(Rumor{Info: stale, State: Gone}, startTime)
	if m, _ := table.Find("d003"); m.State != Alive || m.Leaving {
		t.Error("a rumor of an earlier incarnation was applied")
	}
}

func TestEndpointsSpreadAndSkipNotServing(t *testing.T) {
	f := newTestFleet(10)
	table := f.tables[0]
	self := table.Self()
	self.Leaving = true
	table.SetSelf(self)
	leaving := testInfo(5, 1)
	leaving.Sequence, leaving.Leaving = 1, true
	table.MarkAlive(leaving, f.now)
	starting := testInfo(6, 1)
	starting.Sequence, starting.Serving = 1, false
	table.MarkAlive(starting, f.now)
	got := table.Endpoints(4)
	domains := map[byte]bool{}
	for _, a := range got {
		if a == self.Address || a == leaving.Address || a == starting.Address {
			t.Errorf("a leaving or starting daemon is offered: %v", got)
		}
		domains[(a[len(a)-4]-'0')%5] = true
	}
	if len(got) != 4 || len(domains) != 4 {
		t.Errorf("%v in %d failure domains", got, len(domains))
	}
}

func TestCanServe(t *testing.T) {
	now := startTime.Add(time.Hour)
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	cases := []struct {
		name      string
		readiness Readiness
		want      bool
	}{
		{"log and majority fresh", Readiness{LogReadAt: ago(1), MajorityAt: ago(1), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"no configuration loaded", Readiness{LogReadAt: ago(1), MajorityAt: ago(1), ServersUpdatedAt: ago(1)}, false},
		{"log down, in majority", Readiness{LogReadAt: ago(3600), MajorityAt: ago(1), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"log down, in majority, log required", Readiness{LogReadAt: ago(3600), MajorityAt: ago(1), ServersUpdatedAt: ago(1), ConfigLoaded: true, RequireLog: true}, false},
		{"minority, log fresh", Readiness{LogReadAt: ago(1), MajorityAt: ago(3600), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"isolated for 14 s", Readiness{LogReadAt: ago(14), MajorityAt: ago(14), ServersUpdatedAt: ago(1), ConfigLoaded: true}, true},
		{"isolated for 16 s", Readiness{LogReadAt: ago(16), MajorityAt: ago(16), ServersUpdatedAt: ago(1), ConfigLoaded: true}, false},
		{"resumed after a pause", Readiness{LogReadAt: ago(5), MajorityAt: ago(5), ServersUpdatedAt: ago(5), ConfigLoaded: true}, false},
		{"leaving servers unknown", Readiness{LogReadAt: ago(1), MajorityAt: ago(1), ConfigLoaded: true}, false},
	}
	for _, tt := range cases {
		if got := tt.readiness.CanServe(now); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}
