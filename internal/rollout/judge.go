package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// Step is what to do with a roll-out.
type Step uint8

const (
	// Wait changes nothing.
	Wait Step = iota
	// Advance starts the next stage, or ends the roll-out after the last.
	Advance
	// Hold stops at the stage for an operator to look at.
	Hold
	// RollBack sends nobody to the new version any more.
	RollBack
)

// String returns the step's name.
func (s Step) String() string { return [...]string{"wait", "advance", "hold", "roll_back"}[s] }

// Decision is a step with its reason.
type Decision struct {
	Step   Step
	Reason string
}

// StagePolicy are the constants of the judgement; DefaultRules gives the measured ones.
type StagePolicy struct {
	// RollBackThreshold is the e-value at which the fleet rolls back. The chance of a
	// false alarm is at most 1/Alarm for each signal.
	RollBackThreshold float64
	// LocalThreshold is the e-value at which one daemon stops by itself, on its own
	// evidence alone, before the fleet has decided.
	LocalThreshold float64
	// LeaveOneOutThreshold is the e-value that must be left without any one server or
	// failure domain for a roll-back. It can be low: the false alarms are
	// bounded by Alarm already, and waiting here hurts callers.
	LeaveOneOutThreshold float64
	// HoldThreshold is the e-value at which evidence that stems from one server or
	// failure domain holds the roll-out. Until then the next bad event elsewhere
	// may still turn it into a roll-back.
	HoldThreshold float64
	// MinStageDuration is the shortest time between two stages.
	MinStageDuration time.Duration
	// MinRequests is the evidence a stage needs when its roll-out states none.
	MinRequests int64
	// MinRated is the number of rated answers of the new version a stage needs
	// while answers of the running one are being rated.
	MinRated int64
	// AdvanceThreshold is the e-value above which a stage waits for more evidence.
	AdvanceThreshold float64
	// MaxWait ends the waiting of a doubtful or starved stage by a hold.
	MaxWait time.Duration
}

// DefaultStagePolicy returns the rules in use; docs/design/rollout.md has the figures.
func DefaultStagePolicy() StagePolicy {
	return StagePolicy{
		RollBackThreshold:    1000,
		LocalThreshold:       1000,
		LeaveOneOutThreshold: 30,
		HoldThreshold:        1e9,
		MinStageDuration:     10 * time.Second,
		MinRequests:          30,
		MinRated:             15,
		AdvanceThreshold:     10,
		MaxWait:              30 * time.Minute,
	}
}

// Evaluate decides the next step of a roll-out from the fleet's evidence of its
// current stage and the time the stage has lasted. A held roll-out still carries
// traffic, so it can be rolled back, but it does not advance.
func (p StagePolicy) Evaluate(ro fleet.Rollout, e Evidence, elapsed time.Duration) Decision {
	if !CarriesTraffic(ro) {
		return Decision{Wait, "the roll-out is " + string(ro.State)}
	}
	maxLogE := 0.0
	for s := range signalCount {
		v, logE := p.evaluateSignal(e, s)
		if v.Step == RollBack || v.Step == Hold && ro.State == fleet.Running {
			return v
		}
		maxLogE = math.Max(maxLogE, logE)
	}
	if ro.State == fleet.Held {
		return Decision{Wait, "held"}
	}
	return p.evaluateProgress(ro, e, elapsed, maxLogE)
}

// CarriesTraffic reports whether a roll-out carries traffic that may speak against it.
func CarriesTraffic(ro fleet.Rollout) bool {
	return ro.State == fleet.Running || ro.State == fleet.Held
}

// evaluateSignal judges one signal and returns how far it speaks against the version.
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

// ShouldStopLocally reports whether one daemon's own evidence suffices to stop using the new
// version for sessions that are not pinned to it, before the fleet decides.
func (p StagePolicy) ShouldStopLocally(own Evidence) (Signal, bool) {
	for s := range signalCount {
		if own.LogEValue(s, nil) >= math.Log(p.LocalThreshold) {
			return s, true
		}
	}
	return 0, false
}

// newRatingShare is the part of the rating budget spent on the new version while
// a roll-out runs. Equal parts tell a difference soonest.
const newRatingShare = 0.5

// RatingShare returns the fraction of a version's answers to have rated, when a
// fraction budget of all the model's answers may be and percent of them come
// from the new version. Sampling both alike would leave the first stages, where
// a bad version should be caught, with hardly a rating.
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

// ApplyStep returns the roll-out after a step, as it goes into a patch.
func ApplyStep(ro fleet.Rollout, s Step) fleet.Rollout {
	switch s {
	case Advance:
		if ro.Stage+1 >= len(ro.Stages) {
			ro.State = fleet.Done
			return ro
		}
		ro.Stage++
	case Hold:
		ro.State = fleet.Held
	case RollBack:
		ro.State = fleet.RolledBack
	}
	return ro
}
