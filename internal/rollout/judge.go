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
	// Alarm is the e-value at which the fleet rolls back. The chance of a
	// false alarm is at most 1/Alarm for each signal.
	Alarm float64
	// LocalAlarm is the e-value at which one daemon stops by itself, on its own
	// evidence alone, before the fleet has decided.
	LocalAlarm float64
	// RobustAlarm is the e-value that must be left without any one server or
	// failure domain for a roll-back. It can be low: the false alarms are
	// bounded by Alarm already, and waiting here hurts callers.
	RobustAlarm float64
	// HoldAlarm is the e-value at which evidence that stems from one server or
	// failure domain holds the roll-out. Until then the next bad event elsewhere
	// may still turn it into a roll-back.
	HoldAlarm float64
	// MinStageDuration is the shortest time between two stages.
	MinStageDuration time.Duration
	// MinRequests is the evidence a stage needs when its roll-out states none.
	MinRequests int64
	// MinRated is the number of rated answers of the new version a stage needs
	// while answers of the running one are being rated.
	MinRated int64
	// Doubt is the e-value above which a stage waits for more evidence.
	Doubt float64
	// MaxWait ends the waiting of a doubtful or starved stage by a hold.
	MaxWait time.Duration
}

// DefaultStagePolicy returns the rules in use; docs/design/rollout.md has the figures.
func DefaultStagePolicy() StagePolicy {
	return StagePolicy{
		Alarm:            1000,
		LocalAlarm:       1000,
		RobustAlarm:      30,
		HoldAlarm:        1e9,
		MinStageDuration: 10 * time.Second,
		MinRequests:      30,
		MinRated:         15,
		Doubt:            10,
		MaxWait:          30 * time.Minute,
	}
}

// Evaluate decides the next step of a roll-out from the fleet's evidence of its
// current stage and the time the stage has lasted. A held roll-out still carries
// traffic, so it can be rolled back, but it does not advance.
func (r StagePolicy) Evaluate(ro fleet.Rollout, e Evidence, lasted time.Duration) Decision {
	if !CarriesTraffic(ro) {
		return Decision{Wait, "the roll-out is " + string(ro.State)}
	}
	doubt := 0.0
	for s := range signalCount {
		v, level := r.signal(e, s)
		if v.Step == RollBack || v.Step == Hold && ro.State == fleet.RolloutRunning {
			return v
		}
		doubt = math.Max(doubt, level)
	}
	if ro.State == fleet.RolloutHeld {
		return Decision{Wait, "held"}
	}
	return r.progress(ro, e, lasted, doubt)
}

// CarriesTraffic reports whether a roll-out carries traffic that may speak against it.
func CarriesTraffic(ro fleet.Rollout) bool {
	return ro.State == fleet.RolloutRunning || ro.State == fleet.RolloutHeld
}

// signal judges one signal and returns how far it speaks against the version.
func (r StagePolicy) signal(e Evidence, s Signal) (Decision, float64) {
	all := e.LogE(s, nil)
	alarm := math.Log(r.Alarm)
	if all < alarm {
		return Decision{}, all
	}
	robust, blame := e.Robust(s)
	if robust >= math.Log(r.RobustAlarm) {
		return Decision{RollBack, fmt.Sprintf("%s: e-value 10^%.1f", s, all/math.Ln10)}, all
	}
	if all < math.Log(r.HoldAlarm) {
		return Decision{}, all
	}
	return Decision{Hold, fmt.Sprintf("%s: e-value 10^%.1f, but 10^%.1f without %s", s, all/math.Ln10, robust/math.Ln10, blame)}, all
}

func (r StagePolicy) progress(ro fleet.Rollout, e Evidence, lasted time.Duration, doubt float64) Decision {
	fresh, running := e.Totals(nil)
	need := ro.MinRequests
	if need == 0 {
		need = r.MinRequests
	}
	switch {
	case fresh.Requests < need && lasted >= r.MaxWait:
		return Decision{Hold, fmt.Sprintf("only %d of %d requests in %s", fresh.Requests, need, lasted)}
	case fresh.Requests < need:
		return Decision{Wait, fmt.Sprintf("%d of %d requests", fresh.Requests, need)}
	case running.Rated > 0 && fresh.Rated < r.MinRated && lasted < r.MaxWait:
		return Decision{Wait, fmt.Sprintf("%d of %d ratings", fresh.Rated, r.MinRated)}
	case doubt > math.Log(r.Doubt) && lasted >= r.MaxWait:
		return Decision{Hold, fmt.Sprintf("still in doubt after %s", lasted)}
	case doubt > math.Log(r.Doubt):
		return Decision{Wait, fmt.Sprintf("in doubt: e-value %.1f", math.Exp(doubt))}
	case lasted < r.MinStageDuration:
		return Decision{Wait, "the stage is young"}
	}
	return Decision{Advance, fmt.Sprintf("%d requests, e-value %.2f", fresh.Requests, math.Exp(doubt))}
}

// ShouldStopLocally reports whether one daemon's own evidence suffices to stop using the new
// version for sessions that are not pinned to it, before the fleet decides.
func (r StagePolicy) ShouldStopLocally(own Evidence) (Signal, bool) {
	for s := range signalCount {
		if own.LogE(s, nil) >= math.Log(r.LocalAlarm) {
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
	fresh := min(1, newRatingShare*budget/share)
	if isNew {
		return fresh
	}
	return max(0, (budget-fresh*share)/(1-share))
}

// ApplyStep returns the roll-out after a step, as it goes into a patch.
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
