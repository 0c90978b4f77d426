package rollout

import (
	"testing"
	"time"
)

// cells returns evidence spread over three servers of each version.
func cells(freshBad, fresh, oldBad, old int64, slow bool) Evidence {
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
		add("n"+name, true, part(fresh, i), part(freshBad, i))
		add("o"+name, false, part(old, i), part(oldBad, i))
	}
	return e
}

func part(n int64, i int) int64 {
	p := n / 3
	if int64(i) < n%3 {
		p++
	}
	return p
}

func TestOrderGoesItsCourse(t *testing.T) {
	o := Order{Duration: 24 * time.Second}
	good := cells(0, 60, 3, 600, false)
	for _, tt := range []struct {
		name       string
		at         Phase
		since      time.Duration
		evidence   Evidence
		oldRunning int
		want       Phase
	}{
		{"young canary", Canary, 5 * time.Second, good, 9, Canary},
		{"canary at half", Canary, 12 * time.Second, good, 9, Ramp},
		{"canary without evidence", Canary, 13 * time.Second, nil, 9, Canary},
		{"deadline without evidence", Canary, 24 * time.Second, nil, 9, RolledBack},
		{"ramp", Ramp, 13 * time.Second, good, 9, Ramp},
		{"ramp over", Ramp, 14 * time.Second, good, 9, Full},
		{"old servers busy", Full, 19 * time.Second, good, 9, Full},
		{"old servers idle too soon", Full, 17 * time.Second, good, 0, Full},
		{"old servers idle", Full, 19 * time.Second, good, 0, Completed},
		{"latest moment", Full, 22500 * time.Millisecond, good, 9, Completed},
		{"errors", Canary, 3 * time.Second, cells(8, 20, 0, 200, false), 9, RolledBack},
		{"errors in the whole phase", Full, 15 * time.Second, cells(30, 90, 3, 600, false), 9, RolledBack},
		{"few errors", Canary, 3 * time.Second, cells(3, 20, 0, 200, false), 9, Canary},
		{"errors on both", Canary, 3 * time.Second, cells(8, 20, 80, 200, false), 9, Canary},
		{"slow", Canary, 3 * time.Second, cells(24, 30, 50, 200, true), 9, RolledBack},
		{"as slow as the old", Canary, 3 * time.Second, cells(5, 20, 50, 200, true), 9, Canary},
		{"over", Completed, 30 * time.Second, cells(30, 90, 3, 600, false), 0, Completed},
	} {
		if got, why := DefaultOrderPolicy().NextPhase(o, tt.at, tt.since, tt.evidence, tt.oldRunning); got != tt.want {
			t.Errorf("%s: %s (%s), want %s", tt.name, got, why, tt.want)
		}
	}
}

// Symptom: a good version was rolled back when it had carried all requests for
// eight seconds, and one daemon had no server left.
// Sequence: under the whole load 102 of 676 answers took over three times the time
// that was usual while the old version carried most of it.
// Cause: the load made them slow, and there is no old version to compare with.
func TestLoadIsNotTakenForASlowVersion(t *testing.T) {
	o := Order{Duration: 24 * time.Second}
	e := cells(102, 676, 10, 700, true)
	if got, why := DefaultOrderPolicy().NextPhase(o, Full, 20*time.Second, e, 3); got != Full {
		t.Fatalf("went to %s: %s", got, why)
	}
}

func TestOneBadServerDoesNotCondemnAVersion(t *testing.T) {
	e := cells(0, 60, 0, 600, false)
	e[0].Counts.Errors = 12
	if got, why := DefaultOrderPolicy().NextPhase(Order{Duration: 24 * time.Second}, Canary, 5*time.Second, e, 3); got != Canary {
		t.Fatalf("went to %s: %s", got, why)
	}
}

// Symptom: sessions ran on two versions within seconds, in the first half of an order.
// Sequence: an order is completed; the next one comes at once; a session whose last
// request ran before the first order's whole phase sends another.
// Cause: the first order was completed before all sessions had moved.
func TestOrderIsNotCompletedBeforeAllSessionsMoved(t *testing.T) {
	o := Order{Duration: 16 * time.Second, SessionWindow: 5 * time.Second}
	good := cells(0, 60, 3, 600, false)
	if got, _ := DefaultOrderPolicy().NextPhase(o, Full, 13*time.Second, good, 0); got != Full {
		t.Errorf("%s 3.7 s into the whole phase", got)
	}
	if got, _ := DefaultOrderPolicy().NextPhase(o, Full, 14400*time.Millisecond, good, 0); got != Completed {
		t.Errorf("%s when all sessions had moved", got)
	}
}
