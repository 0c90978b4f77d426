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

// Verdict is a step with its reason.
type Verdict struct {
	Step   Step
	Reason string
}

// Rules are the constants of the judgement; DefaultRules gives the measured ones.
type Rules struct {
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
	// MinStage is the shortest time between two stages.
	MinStage time.Duration
	// MinRequests is the evidence a stage needs when its roll-out states none.
	MinRequests int64
	// Doubt is the e-value above which a stage waits for more evidence.
	Doubt float64
	// MaxWait ends the waiting of a doubtful or starved stage by a hold.
	MaxWait time.Duration
}

// DefaultRules returns the rules in use; docs/design/rollout.md has the figures.
func DefaultRules() Rules {
	return Rules{
		Alarm:       1000,
		LocalAlarm:  1000,
		RobustAlarm: 10,
		HoldAlarm:   1e6,
		MinStage:    10 * time.Second,
		MinRequests: 200,
		Doubt:       3,
		MaxWait:     30 * time.Minute,
	}
}

// Judge decides the next step of a running roll-out from the fleet's evidence
// of its current stage and the time the stage has lasted.
func (r Rules) Judge(ro fleet.Rollout, e Evidence, lasted time.Duration) Verdict {
	if ro.State != fleet.Running {
		return Verdict{Wait, "the roll-out is " + string(ro.State)}
	}
	doubt := 0.0
	for s := range signalCount {
		v, level := r.signal(e, s)
		if v.Step != Wait {
			return v
		}
		doubt = math.Max(doubt, level)
	}
	return r.progress(ro, e, lasted, doubt)
}

// signal judges one signal and returns how far it speaks against the version.
func (r Rules) signal(e Evidence, s Signal) (Verdict, float64) {
	fresh, running := e.Totals(nil)
	all := LogE(fresh, running, s)
	alarm := math.Log(r.Alarm)
	if all < alarm {
		return Verdict{}, all
	}
	robust, blame := e.Robust(s)
	if robust >= math.Log(r.RobustAlarm) {
		return Verdict{RollBack, fmt.Sprintf("%s: e-value 10^%.1f", s, all/math.Ln10)}, all
	}
	if all < math.Log(r.HoldAlarm) {
		return Verdict{}, all
	}
	return Verdict{Hold, fmt.Sprintf("%s: e-value 10^%.1f, but 10^%.1f without %s", s, all/math.Ln10, robust/math.Ln10, blame)}, all
}

func (r Rules) progress(ro fleet.Rollout, e Evidence, lasted time.Duration, doubt float64) Verdict {
	fresh, _ := e.Totals(nil)
	need := ro.MinRequests
	if need == 0 {
		need = r.MinRequests
	}
	switch {
	case fresh.Requests < need && lasted >= r.MaxWait:
		return Verdict{Hold, fmt.Sprintf("only %d of %d requests in %s", fresh.Requests, need, lasted)}
	case fresh.Requests < need:
		return Verdict{Wait, fmt.Sprintf("%d of %d requests", fresh.Requests, need)}
	case doubt > math.Log(r.Doubt) && lasted >= r.MaxWait:
		return Verdict{Hold, fmt.Sprintf("still in doubt after %s", lasted)}
	case doubt > math.Log(r.Doubt):
		return Verdict{Wait, fmt.Sprintf("in doubt: e-value %.1f", math.Exp(doubt))}
	case lasted < r.MinStage:
		return Verdict{Wait, "the stage is young"}
	}
	return Verdict{Advance, fmt.Sprintf("%d requests, e-value %.2f", fresh.Requests, math.Exp(doubt))}
}

// Brake reports whether one daemon's own evidence suffices to stop using the new
// version for sessions that are not pinned to it, before the fleet decides.
func (r Rules) Brake(own Evidence) (Signal, bool) {
	fresh, running := own.Totals(nil)
	for s := range signalCount {
		if LogE(fresh, running, s) >= math.Log(r.LocalAlarm) {
			return s, true
		}
	}
	return 0, false
}

// Next returns the roll-out after a step, as it goes into a patch.
func Next(ro fleet.Rollout, s Step) fleet.Rollout {
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
