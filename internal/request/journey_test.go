package request

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"pgregory.net/rapid"
)

// Whatever happens, a request that may not be repeated runs once at most, none runs
// on more servers than allowed, and a refusal that promises not to have run is true.
func TestJourneyKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		j := ProxyRetryState{
			Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(0, 4).Draw(t, "runs"),
			Deadline: now.Add(time.Second),
		}
		mayHaveRun := 0
		for {
			j.RecordSend()
			o := SendOutcome(rapid.IntRange(int(NotStarted), int(Truncated)).Draw(t, "outcome"))
			if o != NotStarted {
				mayHaveRun++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			refusal := j.Next(o, now, func() bool { return rapid.Bool().Draw(t, "allowed") })
			if refusal == nil {
				continue
			}
			row := fault.Lookup(refusal.Kind)
			if mayHaveRun > 0 && (refusal.ExecutionState() == fault.NotRun || row.Execution == fault.NotRun) {
				t.Fatalf("%s promises that a request did not run which may have", refusal.Kind)
			}
			if mayHaveRun == 0 && refusal.ExecutionState() != fault.NotRun {
				t.Fatalf("%s does not say that the request did not run", refusal.Kind)
			}
			break
		}
		if !j.Repeatable && mayHaveRun > 1 {
			t.Fatalf("ran %d times", mayHaveRun)
		}
		if mayHaveRun > max(1, j.MaxRuns) {
			t.Fatalf("ran on %d servers of %d", mayHaveRun, j.MaxRuns)
		}
	})
}

func TestDeadlineEndsTheJourney(t *testing.T) {
	j := ProxyRetryState{Repeatable: true, MaxRuns: 3, Deadline: time.Unix(1, 0)}
	j.RecordSend()
	if e := j.Next(ResponseLost, time.Unix(1, 0), func() bool { return true }); e == nil || e.Kind != fault.DeadlineExceeded {
		t.Fatalf("got %v", e)
	}
}

// Symptom: in a window of ten seconds a service got more repeats than allowed.
// Sequence: an outage makes every request a candidate for a repeat on all daemons.
// Cause: a budget that refills by rate allows its reserve and a window's worth.
func TestSharesOfAllDaemonsKeepTheLimitInEveryWindow(t *testing.T) {
	const daemons, window, ratio, reserve = 6, 10 * time.Second, 0.9, 52.0
	rapid.Check(t, func(t *rapid.T) {
		shares := make([]WindowedRetryBudget, daemons)
		for i := range shares {
			shares[i] = WindowedRetryBudget{Window: window, Ratio: ratio, Reserve: reserve / daemons}
		}
		type point struct {
			at     time.Duration
			repeat bool
		}
		var all []point
		now := time.Duration(0)
		for range rapid.IntRange(200, 1200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond
			s := &shares[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				s.Deposit(now)
				all = append(all, point{now, false})
			}
			if s.TryWithdraw(now, 0) {
				all = append(all, point{now, true})
			}
		}
		for from := range all {
			first, repeats := 0, 0
			for _, p := range all[from:] {
				if p.at-all[from].at >= window {
					break
				}
				if p.repeat {
					repeats++
				}
			}
			for _, p := range all {
				if d := all[from].at - p.at; !p.repeat && d < window && d > -window {
					first++
				}
			}
			if float64(repeats) > ratio*float64(first)+reserve {
				t.Fatalf("%d repeats for %d first sends from %s on", repeats, first, all[from].at)
			}
		}
	})
}

// Symptom: a caller was told by its status that its request had not run, and it had.
// Sequence: a run is lost; the next server takes no connection, and no further one may be
// asked.
// Cause: the kind of the last event was answered, whatever had happened before.
func TestLifeIsNotRefusedAsNotRunAfterARun(t *testing.T) {
	now := time.Now()
	l := &RetryState{Repeatable: true}
	budget := NewRetryBudget()
	l.RecordAttempt()
	l.RecordExecution()
	if d := l.Next(RunNotFound, now, budget); d.Action != Retry {
		t.Fatalf("decided %+v", d)
	}
	for range MaxAttempts - 1 {
		l.RecordAttempt()
	}
	d := l.Next(ConnectFailed, now, budget)
	if d.Action != Fail || fault.Lookup(d.Error.Kind).Execution == fault.NotRun || d.Error.ExecutionState() != fault.Ran {
		t.Errorf("refused with %v, %s", d.Error, d.Error.ExecutionState())
	}
}
