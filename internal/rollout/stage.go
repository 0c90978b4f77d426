package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// Step is an action on a rollout.
type Step uint8

const (
	// Wait changes nothing.
	Wait Step = iota
	// Advance starts the next stage, or completes the rollout after the last.
	Advance
	// Hold stops at the current stage until an operator decides.
	Hold
	// RollBack sends no more requests to the new version.
	RollBack
)

// String returns the name of the step.
func (s Step) String() string { return [...]string{"wait", "advance", "hold", "roll_back"}[s] }

// Decision is a step with its reason.
type Decision struct {
	Step   Step
	Reason string
}

// StagePolicy holds the thresholds for advancing, holding and rolling back a staged
// rollout.
type StagePolicy struct {
	// RollBackThreshold is the e-value at which the fleet rolls back. The false alarm rate
	// of each signal is at most its inverse.
	RollBackThreshold float64
	// SuspendThreshold is the e-value of a daemon's own evidence at which it stops using the
	// new version before the fleet rolls back.
	SuspendThreshold float64
	// LeaveOneOutThreshold is the e-value that must remain for a rollback without any one
	// server or failure domain. It may be low, since RollBackThreshold bounds the false
	// alarms.
	LeaveOneOutThreshold float64
	// HoldThreshold is the e-value at which evidence from a single server or failure
	// domain holds the rollout. Until then, a bad event elsewhere may still turn the
	// evidence into a rollback.
	HoldThreshold float64
	// MinStageDuration is the minimum duration of a stage.
	MinStageDuration time.Duration
	// MinRequests is the minimum number of requests to the new version per stage, if the
	// rollout sets none.
	MinRequests int64
	// MinRated is the minimum number of rated answers of the new version per stage, if
	// answers of the running version are rated.
	MinRated int64
	// AdvanceThreshold is the e-value above which a stage waits for more evidence.
	AdvanceThreshold float64
	// MaxWait is how long a stage waits for evidence before it is held.
	MaxWait time.Duration
}

// DefaultStagePolicy returns the default policy; see docs/design/rollout.md.
func DefaultStagePolicy() StagePolicy {
	return StagePolicy{
		RollBackThreshold:    1000,
		SuspendThreshold:     1000,
		LeaveOneOutThreshold: 30,
		HoldThreshold:        1e9,
		MinStageDuration:     10 * time.Second,
		MinRequests:          30,
		MinRated:             15,
		AdvanceThreshold:     10,
		MaxWait:              30 * time.Minute,
	}
}

// Evaluate returns the next step of a rollout from the fleet's evidence of its current
// stage and the time since the stage began. A held rollout can be rolled back but does
// not advance.
func (p StagePolicy) Evaluate(ro fleet.Rollout, e Evidence, elapsed time.Duration) Decision {
	if !CarriesTraffic(ro) {
		return Decision{Wait, "the roll-out is " + string(ro.State)}
	}
	maxLogE := 0.0
	for s := range signalCount {
		v, logE := p.evaluateSignal(e, s)
		if v.Step == RollBack || v.Step == Hold && ro.State == fleet.RolloutRunning {
			return v
		}
		maxLogE = math.Max(maxLogE, logE)
	}
	if ro.State == fleet.RolloutHeld {
		return Decision{Wait, "held"}
	}
	return p.evaluateProgress(ro, e, elapsed, maxLogE)
}

// CarriesTraffic reports whether the new version of a rollout may receive requests.
func CarriesTraffic(ro fleet.Rollout) bool {
	return ro.State == fleet.RolloutRunning || ro.State == fleet.RolloutHeld
}

// evaluateSignal returns the decision for one signal and its log e-value.
func (p StagePolicy) evaluateSignal(e Evidence, s Signal) (Decision, float64) {
	logE := e.LogEValue(s, nil)
	threshold := math.Log(p.RollBackThreshold)
	if logE < threshold {
		return Decision{}, logE
	}
	leaveOneOut, omitted := e.MinLeaveOneOut(s)
	if leaveOneOut >= math.Log(p.LeaveOneOutThreshold) {
		return Decision{RollBack, fmt.Sprintf("%s: e-value 10^%.1f", s, logE/math.Ln10)}, logE
	}
	if logE < math.Log(p.HoldThreshold) {
		return Decision{}, logE
	}
	return Decision{Hold, fmt.Sprintf("%s: e-value 10^%.1f, but 10^%.1f without %s", s, logE/math.Ln10, leaveOneOut/math.Ln10, omitted)}, logE
}

func (p StagePolicy) evaluateProgress(ro fleet.Rollout, e Evidence, elapsed time.Duration, maxLogE float64) Decision {
	newCounts, runningCounts := e.Totals(nil)
	required := ro.MinRequests
	if required == 0 {
		required = p.MinRequests
	}
	switch {
	case newCounts.Requests < required && elapsed >= p.MaxWait:
		return Decision{Hold, fmt.Sprintf("only %d of %d requests in %s", newCounts.Requests, required, elapsed)}
	case newCounts.Requests < required:
		return Decision{Wait, fmt.Sprintf("%d of %d requests", newCounts.Requests, required)}
	case runningCounts.Rated > 0 && newCounts.Rated < p.MinRated && elapsed < p.MaxWait:
		return Decision{Wait, fmt.Sprintf("%d of %d ratings", newCounts.Rated, p.MinRated)}
	case maxLogE > math.Log(p.AdvanceThreshold) && elapsed >= p.MaxWait:
		return Decision{Hold, fmt.Sprintf("still in doubt after %s", elapsed)}
	case maxLogE > math.Log(p.AdvanceThreshold):
		return Decision{Wait, fmt.Sprintf("in doubt: e-value %.1f", math.Exp(maxLogE))}
	case elapsed < p.MinStageDuration:
		return Decision{Wait, "the stage is young"}
	}
	return Decision{Advance, fmt.Sprintf("%d requests, e-value %.2f", newCounts.Requests, math.Exp(maxLogE))}
}

// ShouldSuspend reports whether a daemon's own evidence suffices to stop using the new
// version for sessions that are not pinned to it, and by which signal.
func (p StagePolicy) ShouldSuspend(own Evidence) (Signal, bool) {
	for s := range signalCount {
		if own.LogEValue(s, nil) >= math.Log(p.SuspendThreshold) {
			return s, true
		}
	}
	return 0, false
}

// newRatingShare is the fraction of the rating budget spent on the new version. Equal
// parts detect a difference soonest.
const newRatingShare = 0.5

// RatingShare returns the fraction of a version's answers to rate, given the budget as a
// fraction of all the model's answers and the percentage of answers from the new version.
// Uniform sampling would yield too few ratings of the new version in the first stages.
func RatingShare(budget, percent float64, isNew bool) float64 {
	share := percent / 100
	if share <= 0 || share >= 1 {
		return budget
	}
	newShare := min(1, newRatingShare*budget/share)
	if isNew {
		return newShare
	}
	return max(0, (budget-newShare*share)/(1-share))
}

// ApplyStep returns the rollout after a step.
func ApplyStep(ro fleet.Rollout, s Step) fleet.Rollout {
	switch s {
	case Advance:
		if ro.Stage+1 >= len(ro.Stages) {
			ro.State = fleet.RolloutDone
			return ro
		}
		ro.Stage++
	case Hold:
		ro.State = fleet.RolloutHeld
	case RollBack:
		ro.State = fleet.RolloutRolledBack
	}
	return ro
}
