package rollout

import (
	"fmt"
	"math"
	"time"
)

// Order is an operator's wish to move a service to a version of its servers
// that has been started beside the present one, within a time.
type Order struct {
	Service string
	Target  string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// SessionWindow is how long after each other requests of a session belong
	// together.
	SessionWindow time.Duration
	// Offset is the place of the order in the operator's log and names it.
	Offset uint64
}

// Phase is how far an order has come.
type Phase uint8

// The phases of an order.
const (
	// Canary sends a small part of the requests to the new version.
	Canary Phase = iota
	// Ramp sends half of them.
	Ramp
	// Full sends all, while the old servers finish.
	Full
	// Completed is over: the old servers may be stopped.
	Completed
	// RolledBack is over: the new version gets nothing.
	RolledBack
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"canary", "ramp", "whole", "completed", "rolled_back"}[p]
}

// Final reports whether nothing more will be decided.
func (p Phase) Final() bool { return p >= Completed }

// Course holds the constants of an order's way, as parts of its duration unless
// said otherwise.
type Course struct {
	// CanaryShare and RampShare are the parts of all requests that the new
	// version gets. With the canary's length they keep a version that turns bad
	// late under 15% of the requests between the order and its deadline.
	CanaryShare, RampShare float64
	// CanaryUntil and RampUntil end the phases. Sessions must stay on their
	// version for the first half, so the ramp begins no sooner.
	CanaryUntil, RampUntil float64
	// FinishBy is when the old servers are let go at the latest, even if one of
	// their streams still runs.
	FinishBy float64
	// LeastRequests is the evidence without which the ramp does not begin.
	LeastRequests int64
	// Alarm is the e-value that rolls back; see Rules.Alarm.
	Alarm float64
	// RobustAlarm is the e-value that must be left without any one server; see
	// Rules.RobustAlarm.
	RobustAlarm float64
	// SlowShare is the part of the new version's answers that must be slow for a
	// roll-back; see Usual. A quarter is slow on a like version.
	SlowShare float64
	// FewestBad is how many bad answers a roll-back needs: single ones happen on
	// any version.
	FewestBad int64
}

// DefaultOrderPolicy returns the course in use.
func DefaultOrderPolicy() Course {
	return Course{
		CanaryShare: 0.1, RampShare: 0.4,
		CanaryUntil: 0.5, RampUntil: 0.58,
		FinishBy:      0.93,
		LeastRequests: 20,
		Alarm:         100,
		RobustAlarm:   3,
		SlowShare:     0.5,
		FewestBad:     4,
	}
}

// Share returns the part of the requests that the new version gets.
func (c Course) Share(p Phase) float64 {
	switch p {
	case Canary:
		return c.CanaryShare
	case Ramp:
		return c.RampShare
	case Full, Completed:
		return 1
	}
	return 0
}

// NextPhase returns the phase that follows from the evidence of all daemons, the time
// since the order, and how many requests still run on old servers, with the
// reason. It returns the same phase if nothing changes.
func (c Course) NextPhase(o Order, p Phase, since time.Duration, e Evidence, oldRunning int) (Phase, string) {
	if p.Final() {
		return p, "over"
	}
	if why := c.bad(e); why != "" {
		return RolledBack, why
	}
	at := float64(since) / float64(o.Duration)
	fresh, _ := e.Totals(nil)
	switch {
	case at >= 1 && p < Full:
		return RolledBack, "the deadline passed without enough evidence"
	case p == Canary && at >= c.CanaryUntil && fresh.Requests >= c.LeastRequests:
		return Ramp, fmt.Sprintf("%d requests on the new version without an alarm", fresh.Requests)
	case p == Ramp && at >= c.RampUntil:
		return Full, fmt.Sprintf("%d requests on the new version without an alarm", fresh.Requests)
	case p == Full && oldRunning == 0 && at >= c.RampUntil+o.settle():
		return Completed, "nothing runs on old servers"
	case p == Full && at >= c.FinishBy:
		return Completed, fmt.Sprintf("%d requests still run on old servers at the latest moment", oldRunning)
	}
	return p, ""
}

// settle is how long the whole phase lasts at least, as a part of the duration.
// Some versions are bad under the whole load only, and once the order is completed
// there is no way back.
const settle = 0.2

// settle is how long the whole phase lasts at least: also until every session's last
// request on the old version is out of its span. The next order may come as soon as
// this one is completed, and would hold a session to the version it was last on.
func (o Order) settle() float64 {
	return max(settle, float64(o.SessionWindow)/float64(o.Duration))
}

// bad returns why the new version is to be withdrawn, or nothing.
func (c Course) bad(e Evidence) string {
	for s := range signalCount {
		fresh, _ := e.Totals(nil)
		trials, events := fresh.of(s)
		if events < c.FewestBad {
			continue
		}
		if s == Slowness && float64(events) < c.SlowShare*float64(trials) {
			continue
		}
		level := e.LogE(s, nil)
		if least, _ := e.Robust(s); least < math.Log(c.RobustAlarm) {
			continue // one server or failure domain may be to blame
		}
		if level >= math.Log(c.Alarm) {
			return fmt.Sprintf("%s: %d of %d on the new version, e-value 10^%.1f", s, events, trials, level/math.Ln10)
		}
	}
	return ""
}
