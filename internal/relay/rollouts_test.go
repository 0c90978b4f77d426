package relay

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

func testRollouts() *Rollouts {
	r := NewRollouts(5*time.Second, time.Now, log.New(io.Discard))
	r.AddOrder(rollout.Order{Service: "s", Target: "v2", Duration: 24 * time.Second, Offset: 7})
	return r
}

// Symptom: one daemon refused every request of a service until its end, while the
// others served.
// Sequence: a daemon's own judgement stops the new version; at the same moment the
// daemon that writes decides that the order is completed; the old servers stop.
// Cause: a daemon's own stop outranked the store's word.
func TestStoreGoesBeforeOwnBrake(t *testing.T) {
	r := testRollouts()
	r.ApplyStoredPhase(StoredPhase{Service: "s", OrderOffset: 7, Phase: rollout.Full, OrderAge: 15 * time.Second})
	r.Suspend("s", 7, "slow")
	if c := r.Admits("s", "", 1); !c.Prefer("v1") || c.Prefer("v2") {
		t.Fatal("a braked version is still preferred")
	}
	r.ApplyStoredPhase(StoredPhase{Service: "s", OrderOffset: 7, Phase: rollout.Completed, OrderAge: 20 * time.Second})
	if c := r.Admits("s", "", 1); !c.Prefer("v2") || c.Prefer("v1") {
		t.Fatal("after the store's word the old version is still preferred")
	}
	r.Suspend("s", 7, "slow")
	if c := r.Admits("s", "", 1); !c.Prefer("v2") {
		t.Fatal("an order that is over was braked")
	}
}

// Symptom: a good version was rolled back at its deadline for want of evidence.
// Sequence: every request carries a session; sessions were held on the old version
// for as long as the canary lasted.
// Cause: sessions that began after the order were held, too.
func TestNewSessionsCarryTheCanary(t *testing.T) {
	r := testRollouts()
	r.orders["s"].since = time.Now().Add(-2 * canaryDelay)
	fresh := 0
	for i := range 1000 {
		if r.Admits("s", fmt.Sprint("session-", i), 0).Prefer("v2") {
			fresh++
		}
	}
	if fresh < 60 || fresh > 140 {
		t.Fatalf("%d of 1000 new sessions went to the new version, want about 100", fresh)
	}
}

// Symptom: sessions ran on the old version and seconds later on the new one, in
// the first half of an order.
// Sequence: a session is served by one daemon; the order comes; the session's next
// request comes to another daemon.
// Cause: the second daemon did not know that the session had begun before.
func TestSessionsSeenElsewhereStay(t *testing.T) {
	one, other := testRollouts(), testRollouts()
	name := canarySession(t)
	one.Admits("s", name, 0)
	none := func(string, string) int { return 0 }
	other.ApplyReports("one/1", one.Reports(none, true, false))
	for _, r := range []*Rollouts{one, other} {
		r.orders["s"].since = time.Now().Add(-2 * canaryDelay)
		if r.Admits("s", name, 0).Prefer("v2") {
			t.Fatal("a session that began on the old version was moved")
		}
	}
}

// canarySession returns the name of a session that the canary's share moves.
func canarySession(t *testing.T) string {
	t.Helper()
	for i := range 10000 {
		name := fmt.Sprint("session-", i)
		if float64(xxhash.Sum64String(name)>>versionShift%shareGrain) < rollout.DefaultOrderPolicy().CanaryShare*shareGrain {
			return name
		}
	}
	t.Fatal("no such session")
	return ""
}

// Evidence is told to a daemon that judges, and to no other; what it was told once holds
// when a report without it comes.
func TestEvidenceIsToldWhereItIsAskedFor(t *testing.T) {
	one, judge := testRollouts(), testRollouts()
	none := func(string, string) int { return 0 }
	one.observe(&target{service: "s", server: backend.Server{ID: "a", Version: "v2"}}, true, 0)
	with, without := one.Reports(none, true, false), one.Reports(none, false, false)
	if len(with[0].Cells) != 1 || without[0].Cells != nil {
		t.Fatalf("with evidence %+v, without %+v", with[0].Cells, without[0].Cells)
	}
	judge.ApplyReports("one/1", with)
	judge.ApplyReports("one/1", without)
	if got := judge.orders["s"].peers["one/1"].Cells; len(got) != 1 {
		t.Errorf("the evidence is gone: %v", got)
	}
}

// Symptom: daemons that do not judge by the evidence of all would send to a bad version for
// as long as the store is away.
// Sequence: one that judges stops the version, and cannot write that.
// Cause: only the store's word reached the others.
func TestStopOfAJudgeHoldsForAll(t *testing.T) {
	judge, other, third := testRollouts(), testRollouts(), testRollouts()
	none := func(string, string) int { return 0 }
	judge.Suspend("s", 7, "errors")
	other.ApplyReports("judge/1", judge.Reports(none, false, true))
	if c := other.Admits("s", "", 1); c.Prefer("v2") {
		t.Error("the version is preferred still")
	}
	third.ApplyReports("other/1", other.Reports(none, false, false))
	if third.orders["s"].braked {
		t.Error("the stop of a daemon that does not judge was told on")
	}
}

// Symptom: a roll-out that had been completed began anew.
// Sequence: the store comes back from an older copy; the order is read again, or written again,
// at a later position; the copy holds an earlier phase of it, or none.
// Cause: an order was known by its offset, and its phase by the store's last word.
func TestOrderThatIsOverStaysOverWhenTheStoreReturns(t *testing.T) {
	later := uint64(feed.NewPosition(1, 9))
	for name, said := range map[string]*StoredPhase{
		"nothing said":          nil,
		"an earlier phase said": {Service: "s", Target: "v2", OrderOffset: 7, Phase: rollout.Full},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRollouts(0, time.Now, log.New(io.Discard))
			order := rollout.Order{Service: "s", Target: "v2", Offset: 7}
			r.AddOrder(order)
			r.ApplyStoredPhase(StoredPhase{Service: "s", Target: "v2", OrderOffset: 7, Phase: rollout.Completed})
			r.StoreRestored()
			if said != nil {
				r.ApplyStoredPhase(*said)
			}
			order.Offset = later
			r.AddOrder(order)
			if due := r.NextPhases(func(string) bool { return true }); len(due) != 0 {
				t.Fatalf("goes on: %+v", due)
			}
			again := r.LostPhases(0)
			if len(again) != 1 || again[0].Phase != rollout.Completed || again[0].Order.Offset != later {
				t.Fatalf("to be written again: %+v", again)
			}
			r.ApplyStoredPhase(StoredPhase{Service: "s", Target: "v2", OrderOffset: later, Phase: rollout.Completed})
			if again := r.LostPhases(0); len(again) != 0 {
				t.Errorf("still to be written: %+v", again)
			}
		})
	}
}

// A daemon that starts after the return knows the order at its later position, and the phase
// that was written of the earlier one.
func TestPhaseOfAnEarlierEraIsOfTheSameOrder(t *testing.T) {
	r := NewRollouts(0, time.Now, log.New(io.Discard))
	r.ApplyStoredPhase(StoredPhase{Service: "s", Target: "v2", OrderOffset: 7, Phase: rollout.Completed})
	r.AddOrder(rollout.Order{Service: "s", Target: "v2", Offset: uint64(feed.NewPosition(1, 9))})
	if due := r.NextPhases(func(string) bool { return true }); len(due) != 0 {
		t.Errorf("goes on: %+v", due)
	}
	r.AddOrder(rollout.Order{Service: "s", Target: "v3", Offset: uint64(feed.NewPosition(1, 12))})
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders["s"]; o.Target != "v3" || o.phase.Final() {
		t.Errorf("another target is the same order: %+v", o)
	}
}
