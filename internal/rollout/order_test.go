package rollout

import (
	"testing"
	"time"
)

// evidenceOf returns evidence spread over three servers of each version.
func evidenceOf(newBad, newRequests, oldBad, oldRequests int64, slow bool) Evidence {
	var e Evidence
	add := func(name string, isNew bool, n, bad int64) {
		c := Counts{Requests: n, Timed: n}
		if slow {
			c.Slow = bad
		} else {
			c.Errors = bad
		}
		e = append(e, ServerCounts{Server: name, FailureDomain: "d" + name[1:], New: isNew, Counts: c})
	}
	for i, name := range []string{"1", "2", "3"} {
		add("n"+name, true, splitByThree(newRequests, i), splitByThree(newBad, i))
		add("o"+name, false, splitByThree(oldRequests, i), splitByThree(oldBad, i))
	}
	return e
}

func splitByThree(n int64, i int) int64 {
	part := n / 3
	if int64(i) < n%3 {
		part++
	}
	return part
}

func TestNextPhase(t *testing.T) {
	o := Order{Duration: 24 * time.Second}
	good := evidenceOf(0, 60, 3, 600, false)
	few := evidenceOf(0, 20, 3, 200, false)
	for _, tt := range []struct {
		name       string
		at         Phase
		since      time.Duration
		evidence   Evidence
		oldRunning int
		want       Phase
	}{
		{"canary before its end", Canary, 5 * time.Second, good, 9, Canary},
		{"canary at its end", Canary, 12 * time.Second, good, 9, Ramp},
		{"canary without evidence", Canary, 13 * time.Second, nil, 9, Canary},
		{"canary with few requests at its latest end", Canary, 15 * time.Second, few, 9, Ramp},
		{"ramp with few requests at its end", Ramp, 14 * time.Second, few, 9, Ramp},
		{"ramp with few requests at its latest end", Ramp, 18 * time.Second, few, 9, Full},
		{"ramp without evidence at its latest end", Ramp, 18 * time.Second, nil, 9, Ramp},
		{"deadline without evidence", Canary, 24 * time.Second, nil, 9, RolledBack},
		{"ramp", Ramp, 13 * time.Second, good, 9, Ramp},
		{"ramp at its end", Ramp, 14 * time.Second, good, 9, Full},
		{"old servers busy", Full, 19 * time.Second, good, 9, Full},
		{"old servers idle before the minimum full phase", Full, 17 * time.Second, good, 0, Full},
		{"old servers idle", Full, 19 * time.Second, good, 0, Completed},
		{"old servers busy at CompleteBy", Full, 22500 * time.Millisecond, good, 9, Completed},
		{"errors", Canary, 3 * time.Second, evidenceOf(8, 20, 0, 200, false), 9, RolledBack},
		{"errors in the full phase", Full, 15 * time.Second, evidenceOf(30, 90, 3, 600, false), 9, RolledBack},
		{"few errors", Canary, 3 * time.Second, evidenceOf(3, 20, 0, 200, false), 9, Canary},
		{"errors on both versions", Canary, 3 * time.Second, evidenceOf(8, 20, 80, 200, false), 9, Canary},
		{"slow", Canary, 3 * time.Second, evidenceOf(24, 30, 50, 200, true), 9, RolledBack},
		{"as slow as the old version", Canary, 3 * time.Second, evidenceOf(5, 20, 50, 200, true), 9, Canary},
		{"already completed", Completed, 30 * time.Second, evidenceOf(30, 90, 3, 600, false), 0, Completed},
	} {
		if got, reason := DefaultOrderPolicy().NextPhase(o, tt.at, tt.since, tt.evidence, tt.oldRunning); got != tt.want {
			t.Errorf("%s: %s (%s), want %s", tt.name, got, reason, tt.want)
		}
	}
}

// Slow answers caused by full load must not roll back a good version, since there is no
// old version to compare with.
func TestNoRollBackForSlownessUnderFullLoad(t *testing.T) {
	o := Order{Duration: 24 * time.Second}
	e := evidenceOf(102, 676, 10, 700, true)
	if got, reason := DefaultOrderPolicy().NextPhase(o, Full, 20*time.Second, e, 3); got != Full {
		t.Fatalf("went to %s: %s", got, reason)
	}
}

func TestOneFailingServerDoesNotRollBack(t *testing.T) {
	e := evidenceOf(0, 60, 0, 600, false)
	e[0].Counts.Errors = 12
	if got, reason := DefaultOrderPolicy().NextPhase(Order{Duration: 24 * time.Second}, Canary, 5*time.Second, e, 3); got != Canary {
		t.Fatalf("went to %s: %s", got, reason)
	}
}

// An order must not complete before every session has moved, or a following order finds
// sessions on the old version.
func TestOrderCompletesAfterSessionIdleTimeout(t *testing.T) {
	o := Order{Duration: 16 * time.Second, SessionIdleTimeout: 5 * time.Second}
	good := evidenceOf(0, 60, 3, 600, false)
	if got, _ := DefaultOrderPolicy().NextPhase(o, Full, 13*time.Second, good, 0); got != Full {
		t.Errorf("%s 3.7 s into the full phase, want full", got)
	}
	if got, _ := DefaultOrderPolicy().NextPhase(o, Full, 14400*time.Millisecond, good, 0); got != Completed {
		t.Errorf("%s after the session window, want completed", got)
	}
}

// Guards against completing an order right after a late start of its full phase, since some
// faults show under full load only.
func TestLateFullPhaseHasItsMinimumLength(t *testing.T) {
	o := Order{Duration: 24 * time.Second, FullSince: 17 * time.Second}
	good := evidenceOf(0, 60, 3, 600, false)
	for at, want := range map[time.Duration]Phase{20 * time.Second: Full, 22 * time.Second: Completed} {
		if got, _ := DefaultOrderPolicy().NextPhase(o, Full, at, good, 0); got != want {
			t.Errorf("%s at %s, want %s", got, at, want)
		}
	}
}
