package request

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"pgregory.net/rapid"
)

// A non-repeatable request runs at most once, no request runs on more servers than
// allowed, and an error that states not_run is returned only if nothing ran.
func TestProxyRetryStateLimitsRunsAndReportsThemCorrectly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		state := ProxyRetryState{
			Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(0, 4).Draw(t, "runs"),
			Deadline: now.Add(time.Second),
		}
		mayHaveRun := 0
		for {
			state.RecordSend()
			outcome := SendOutcome(rapid.IntRange(int(NotStarted), int(Truncated)).Draw(t, "outcome"))
			if outcome != NotStarted {
				mayHaveRun++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			err := state.Next(outcome, now, func() bool { return rapid.Bool().Draw(t, "allowed") })
			if err == nil {
				continue
			}
			spec := fault.Lookup(err.Kind)
			if mayHaveRun > 0 && (err.ExecutionState() == fault.NotRun || spec.Execution == fault.NotRun) {
				t.Fatalf("%s states not_run for a request that may have run", err.Kind)
			}
			if mayHaveRun == 0 && err.ExecutionState() != fault.NotRun {
				t.Fatalf("%s does not state not_run for a request that did not run", err.Kind)
			}
			break
		}
		if !state.Repeatable && mayHaveRun > 1 {
			t.Fatalf("ran %d times", mayHaveRun)
		}
		if mayHaveRun > max(1, state.MaxRuns) {
			t.Fatalf("ran on %d servers, maximum %d", mayHaveRun, state.MaxRuns)
		}
	})
}

func TestProxyRetryStateFailsAtDeadline(t *testing.T) {
	state := ProxyRetryState{Repeatable: true, MaxRuns: 3, Deadline: time.Unix(1, 0)}
	state.RecordSend()
	if err := state.Next(ResponseLost, time.Unix(1, 0), func() bool { return true }); err == nil || err.Kind != fault.DeadlineExceeded {
		t.Fatalf("got %v", err)
	}
}

// Guards against exceeding the shared retry limit in any window when all daemons retry
// as often as their own budgets allow.
func TestWindowedRetryBudgetsKeepSharedLimit(t *testing.T) {
	const daemons, window, ratio, reserve = 6, 10 * time.Second, 0.9, 52.0
	rapid.Check(t, func(t *rapid.T) {
		budgets := make([]WindowedRetryBudget, daemons)
		for i := range budgets {
			budgets[i] = WindowedRetryBudget{Window: window, Ratio: ratio, Reserve: reserve / daemons}
		}
		type send struct {
			at    time.Duration
			retry bool
		}
		var sends []send
		now := time.Duration(0)
		for range rapid.IntRange(200, 1200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond
			budget := &budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				budget.Deposit(now)
				sends = append(sends, send{now, false})
			}
			if budget.TryWithdraw(now, 0) {
				sends = append(sends, send{now, true})
			}
		}
		for from := range sends {
			firsts, retries := 0, 0
			for _, s := range sends[from:] {
				if s.at-sends[from].at >= window {
					break
				}
				if s.retry {
					retries++
				}
			}
			for _, s := range sends {
				if d := sends[from].at - s.at; !s.retry && d < window && d > -window {
					firsts++
				}
			}
			if float64(retries) > ratio*float64(firsts)+reserve {
				t.Fatalf("%d retries for %d first sends in the window from %s", retries, firsts, sends[from].at)
			}
		}
	})
}

// Guards against an error that states not_run when an earlier attempt ran and the last
// one failed to connect.
func TestRetryStateErrorAccountsForEarlierAttempts(t *testing.T) {
	now := time.Now()
	state := &RetryState{Repeatable: true}
	budget := NewRetryBudget()
	state.RecordAttempt()
	state.RecordExecution()
	if decision := state.Next(RunNotFound, now, budget); decision.Action != Retry {
		t.Fatalf("decision %+v", decision)
	}
	for range MaxAttempts - 1 {
		state.RecordAttempt()
	}
	decision := state.Next(ConnectFailed, now, budget)
	if decision.Action != Fail || fault.Lookup(decision.Error.Kind).Execution == fault.NotRun || decision.Error.ExecutionState() != fault.Ran {
		t.Errorf("error %v, state %s", decision.Error, decision.Error.ExecutionState())
	}
}
