package quarantine

import (
	"slices"
	"testing"
	"time"
)

// crashTogether records crashes with the same suspects, one at each of the times 0, 1, 2 ms and so on.
func crashTogether(tr *Tracker, crashes int, suspects ...Fingerprint) {
	for i := range crashes {
		recordCrash(tr, IncarnationKey(i), i, suspects...)
	}
}

// Guards against holding for long a harmless request that has the same crashes as a crashing one.
func TestRequestsWithTheSameCrashesAreSentInTurn(t *testing.T) {
	for name, succeedsFirst := range map[string]bool{"success first": true, "crash first": false} {
		t.Run(name, func(t *testing.T) {
			const first, second, turn = 7, 8, 1100
			tr := NewTracker()
			crashTogether(tr, 4, first, second)
			if !held(tr, first, 900) || !held(tr, second, 900) || held(tr, first, turn) || !held(tr, second, turn) {
				t.Fatal("not held in turn")
			}
			crashing, harmless := Fingerprint(first), Fingerprint(second)
			if succeedsFirst {
				crashing, harmless = harmless, crashing
				tr.RecordSuccess(harmless, turn*time.Millisecond)
			} else {
				recordCrash(tr, 9, turn, crashing)
			}
			if held(tr, harmless, turn) || tr.Status(crashing, turn*time.Millisecond).Remaining < time.Minute {
				t.Errorf("harmless %+v, crashing %+v", tr.Status(harmless, turn*time.Millisecond), tr.Status(crashing, turn*time.Millisecond))
			}
		})
	}
}

// Guards against releasing the other crashing request of a group when the first one is held.
func TestSecondCrashingRequestOfGroupIsHeldAfterOneCrash(t *testing.T) {
	tr := NewTracker()
	crashTogether(tr, 4, 7, 8, 9)
	recordCrash(tr, 20, 1100, 7)
	recordCrash(tr, 22, 1110, 7)
	recordCrash(tr, 21, 2200, 9)
	tr.RecordSuccess(8, 3*time.Second)
	for f, want := range map[Fingerprint]bool{7: true, 8: false, 9: true} {
		if got := tr.Status(f, 10*time.Second); got.Held != want || got.InTurn {
			t.Errorf("%s: %+v, want held %v", f, got, want)
		}
	}
}

// Guards against many crashes, or a long wait, until one crashing request among many with the same
// crashes is found.
func TestCrashingRequestIsFoundAmongManyWithTheSameCrashes(t *testing.T) {
	const suspects, servers, common = 64, 6, 4
	const runTime, timeToCrash, step = 650 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond
	for _, crashing := range []Fingerprint{1, 8, 33, suspects} {
		tr, all, startedAt := NewTracker(), []Fingerprint{}, map[Fingerprint]time.Duration{}
		for f := Fingerprint(1); f <= suspects; f++ {
			all = append(all, f)
		}
		crashTogether(tr, common, all...)
		crashes, now := common, time.Duration(0)
		for len(all) > 1 && now < time.Minute {
			now += step
			for _, f := range slices.Clone(all) {
				at, running := startedAt[f]
				switch {
				case !running && !tr.Status(f, now).Held:
					startedAt[f] = now
				case running && f != crashing && now-at >= runTime:
					tr.RecordSuccess(f, now)
					all = slices.DeleteFunc(all, func(o Fingerprint) bool { return o == f })
				case running && f == crashing && now-at >= timeToCrash:
					var there []Fingerprint
					for o := range startedAt {
						if o%servers == f%servers && slices.Contains(all, o) {
							there = append(there, o)
							delete(startedAt, o)
						}
					}
					tr.RecordCrash(IncarnationKey(100+crashes), now, there, now)
					crashes++
				}
			}
		}
		if crashes > common+2 || now > maxSlots*turnPeriod+turnDelay+2*turnPeriod || !tr.Status(crashing, now).Held {
			t.Errorf("request %d: %d crashes, found after %s", crashing, crashes, now)
		}
	}
}

// Guards against a place that goes on after a clearance of the earlier crashes alone.
func TestMemberClearedOfEarlierCrashesLeavesItsGroup(t *testing.T) {
	tr := NewTracker()
	crashTogether(tr, 4, 7, 8)
	tr.ApplyClearance(8, time.Millisecond, time.Second)
	if held(tr, 8, 1100) || tr.Status(7, 1100*time.Millisecond).Remaining < time.Minute {
		t.Errorf("cleared %+v, other %+v", tr.Status(8, 1100*time.Millisecond), tr.Status(7, 1100*time.Millisecond))
	}
}
