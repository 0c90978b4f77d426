package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

var running = fleet.Rollout{Model: "m", TargetVersion: "v2", Stages: []float64{10, 100}, State: fleet.RolloutRunning}

// spread makes evidence of both versions on n servers in 2 failure domains.
func spread(n int, fresh, old Counts) Evidence {
	var e Evidence
	for i := range n {
		s, d := fmt.Sprint("s", i), fmt.Sprint("fd", i%2)
		e = append(e, ServerCounts{s, d, true, fresh}, ServerCounts{s, d, false, old})
	}
	return e
}

func TestJudge(t *testing.T) {
	good := Counts{Requests: 50, Timed: 50}
	old := Counts{Requests: 450, Errors: 1, Timed: 450}
	onOne := spread(4, good, old)
	onOne[0].Counts.Errors = 40
	both := spread(4, good, old)
	both[0].Counts.Errors, both[1].Counts.Errors = 25, 225
	held := running
	held.State = fleet.RolloutHeld
	cases := []struct {
		name string
		ro   fleet.Rollout
		e    Evidence
		want Step
	}{
		{"a good version", running, spread(4, good, old), Advance},
		{"too few requests", running, spread(4, Counts{Requests: 2}, old), Wait},
		{"no evidence", running, nil, Wait},
		{"errors everywhere", running, spread(4, Counts{Requests: 50, Errors: 5}, old), RollBack},
		{"slow everywhere", running, spread(4, Counts{Requests: 50, Timed: 50, Slow: 20}, old), RollBack},
		{"wrong by rating", running, spread(4, Counts{Requests: 50, Rated: 20, Bad: 10}, Counts{Requests: 450, Rated: 100, Bad: 4}), RollBack},
		{"the same errors on both sides", running, spread(4, Counts{Requests: 50, Errors: 10}, Counts{Requests: 450, Errors: 90}), Advance},
		{"errors of the new version on one server", running, onOne, Hold},
		{"a server that fails both", running, both, Advance},
		{"a held roll-out does not advance", held, spread(4, good, old), Wait},
		{"a held roll-out is rolled back", held, spread(4, Counts{Requests: 50, Errors: 5}, old), RollBack},
		{"ratings not in yet", running, spread(4, Counts{Requests: 50}, Counts{Requests: 450, Rated: 100, Bad: 4}), Wait},
	}
	for _, c := range cases {
		if v := DefaultStagePolicy().Evaluate(c.ro, c.e, time.Minute); v.Step != c.want {
			t.Errorf("%s: %s (%s), want %s", c.name, v.Step, v.Reason, c.want)
		}
	}
	starved := DefaultStagePolicy().Evaluate(running, spread(4, Counts{Requests: 2}, old), time.Hour)
	if starved.Step != Hold {
		t.Errorf("a starved stage: %+v", starved)
	}
}

// Symptom: a good version is rolled back for a server that fails whatever it runs.
// Sequence: the server fails half of its runs, and by chance got more than its
// share of the new version's traffic.
// Cause: pooled over servers, its errors lean towards the new version.
func TestServerShareDoesNotCondemnAVersion(t *testing.T) {
	e := spread(4, Counts{Requests: 50}, Counts{Requests: 950})
	e[0].Counts = Counts{Requests: 150, Errors: 75}
	e[1].Counts = Counts{Requests: 850, Errors: 425}
	if l := e.LogE(Errors, nil); l > 1 {
		t.Fatalf("evidence %v", l)
	}
}

// The naive comparison of rates halts good versions often when it is looked at
// after every event; the e-value must not.
func TestWatchedEValueRaisesFewFalseAlarms(t *testing.T) {
	alarms := 0
	const runs = 400
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		e := spread(3, Counts{}, Counts{})
		for range 2000 {
			at := 2*rng.IntN(3) + 1
			if rng.IntN(10) == 0 {
				at--
			}
			e[at].Counts.Requests++
			if rng.IntN(50) == 0 {
				e[at].Counts.Errors++
				if e.LogE(Errors, nil) > 4.6 { // an e-value of 100
					alarms++
					break
				}
			}
		}
	}
	if alarms > runs/100 {
		t.Fatalf("%d of %d runs raised an alarm", alarms, runs)
	}
}

func TestNextAndRatingShare(t *testing.T) {
	ro := ApplyStep(running, Advance)
	if ro.Stage != 1 || ro.State != fleet.RolloutRunning {
		t.Fatalf("%+v", ro)
	}
	if ro = ApplyStep(ro, Advance); ro.State != fleet.RolloutDone || ro.Percent() != 100 {
		t.Fatalf("%+v", ro)
	}
	if ro = ApplyStep(running, RollBack); ro.Percent() != 0 {
		t.Fatalf("%+v", ro)
	}
	for _, percent := range []float64{1, 10, 50, 90} {
		fresh, old := RatingShare(0.05, percent, true), RatingShare(0.05, percent, false)
		spent := fresh*percent/100 + old*(1-percent/100)
		if spent > 0.05001 || fresh > 1 || old < 0 {
			t.Errorf("at %v%%: new %v, running %v, spent %v", percent, fresh, old, spent)
		}
	}
}
