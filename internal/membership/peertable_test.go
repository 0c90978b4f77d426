package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func peerRecord(i int) PeerRecord {
	return PeerRecord{Address: fmt.Sprintf("a%04d", i), Name: fmt.Sprintf("d%04d", i), Incarnation: fmt.Sprintf("d%04d/1", i), Started: 100, FailureDomain: fmt.Sprint("d", i%6), Ready: true}
}

// Guards against a table that depends on the order in which records arrive.
func TestPeerTablesConvergeInAnyOrder(t *testing.T) {
	base := peerRecord(1)
	later, gone, restarted := base, base, base
	later.Sequence, later.Ready = 3, false
	gone.Sequence, gone.Gone = 3, true
	restarted.Incarnation, restarted.Started = "d0001/2", 200
	records := []PeerRecord{base, later, gone, restarted}
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := NewPeerTable(peerRecord(0))
		for _, i := range rng.Perm(len(records)) {
			table.Merge(records[i], "x")
		}
		if got, _ := table.Get(base.Address); got != restarted {
			t.Fatalf("seed %d: %+v", seed, got)
		}
	}
}

// Guards against a daemon that stays gone for the others although it is alive.
func TestDaemonRefutesThatItIsGone(t *testing.T) {
	a, b := NewPeerTable(peerRecord(0)), NewPeerTable(peerRecord(1))
	a.Merge(b.Self(), "x")
	a.MarkGone(b.Self().Address)
	if a.Alive() != 1 {
		t.Fatalf("%d daemons alive", a.Alive())
	}
	for _, r := range must(a.Since(0, Receiver{Address: b.Self().Address, All: true}, 10)) {
		b.Merge(r, "x")
	}
	a.Merge(b.Self(), "x")
	if r, _ := a.Get(b.Self().Address); r.Gone || a.Alive() != 2 {
		t.Errorf("%+v, %d alive", r, a.Alive())
	}
}

// Guards against a daemon whose clock was set back between two runs, and whose new run the others
// would take for the older one.
func TestDaemonOutranksItsEarlierRun(t *testing.T) {
	earlier, now := peerRecord(1), peerRecord(1)
	now.Incarnation, now.Started = "d0001/2", earlier.Started-50
	own, other := NewPeerTable(now), NewPeerTable(peerRecord(0))
	other.Merge(earlier, "x")
	own.Merge(earlier, "x")
	other.Merge(own.Self(), "x")
	if r, _ := other.Get(now.Address); r.Incarnation != now.Incarnation {
		t.Errorf("others know the run %s", r.Incarnation)
	}
}

// Guards against changes that a partner gets twice or not at all.
func TestSinceReturnsEachChangeOnce(t *testing.T) {
	table := NewPeerTable(peerRecord(0))
	for i := range 300 {
		table.Merge(peerRecord(1+i%150), "x")
	}
	changed := peerRecord(7)
	changed.Sequence = 5
	table.Merge(changed, "y")
	seen, version := map[string]int{}, uint64(0)
	for rounds := 0; version < table.Version(); rounds++ {
		var records []PeerRecord
		records, version = table.Since(version, Receiver{Address: "y", FailureDomain: "d0"}, 16)
		for _, r := range records {
			seen[r.Address]++
		}
		if rounds > 20 {
			t.Fatal("no progress")
		}
	}
	if len(seen) != 150 || seen[changed.Address] != 0 {
		t.Errorf("%d records, the receiver's own %d times", len(seen), seen[changed.Address])
	}
	for address, n := range seen {
		if n != 1 {
			t.Errorf("%s sent %d times", address, n)
		}
	}
}

// Equal sets of records have equal digests, whatever led to them.
func TestDigestIdentifiesRecords(t *testing.T) {
	a, b := NewPeerTable(peerRecord(0)), NewPeerTable(peerRecord(0))
	for i := range 50 {
		a.Merge(peerRecord(1+i), "x")
		b.Merge(peerRecord(50-i), "y")
	}
	if a.Digest() != b.Digest() {
		t.Error("digests of equal tables differ")
	}
	a.MarkGone(peerRecord(3).Address)
	if a.Digest() == b.Digest() {
		t.Error("digests of different tables are equal")
	}
}

// Guards against a daemon that is remembered for good after it has gone, and against one that an
// older record brings back soon after.
func TestGoneDaemonIsForgottenLater(t *testing.T) {
	table, now := NewPeerTable(peerRecord(0)), time.Unix(1000, 0)
	table.Merge(peerRecord(1), "x")
	table.MarkGone(peerRecord(1).Address)
	table.Forget(now)
	if table.Merge(peerRecord(1), "x") {
		t.Error("an older record brought the daemon back")
	}
	table.Forget(now.Add(goneRetention + time.Second))
	if _, known := table.Get(peerRecord(1).Address); known {
		t.Error("the daemon is not forgotten")
	}
}

func must(records []PeerRecord, _ uint64) []PeerRecord { return records }

// Guards against a record that crosses to other failure domains over every link, and against one
// that crosses over none.
func TestFewDaemonsPassRecordsAcrossDomains(t *testing.T) {
	const daemons, records = 160, 50
	passed := map[string]int{}
	for d := range daemons {
		self := peerRecord(1000 + d)
		self.FailureDomain = "here"
		table := NewPeerTable(self)
		for i := range records {
			table.Merge(peerRecord(i), "x")
		}
		if got := must(table.Since(0, Receiver{Address: "y", FailureDomain: "d1"}, 1000)); len(got) != records+1 {
			t.Fatalf("%d records for a small failure domain", len(got))
		}
		for i := range minCrossedDomain {
			r := peerRecord(500 + i)
			r.FailureDomain = "there"
			table.Merge(r, "y")
		}
		for _, r := range must(table.Since(0, Receiver{Address: "y", FailureDomain: "there"}, 1000)) {
			passed[r.Address]++
		}
		if got := must(table.Since(0, Receiver{Address: "y", FailureDomain: "here"}, 1000)); len(got) != records+1 {
			t.Fatalf("%d records within the failure domain", len(got))
		}
	}
	for i := range records {
		if n := passed[peerRecord(i).Address]; n < 5 || n > daemons/4 {
			t.Errorf("%d of %d daemons pass on a record", n, daemons)
		}
	}
}
