package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Order requests to move a service to another version within a time. Servers of the target
// version run next to those of the current one.
type Order struct {
	Service string
	Target  string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// SessionIdleTimeout is the maximum time between consecutive requests of a session.
	SessionIdleTimeout time.Duration
	// FullSince is the time from the order to its full phase, or zero before.
	FullSince time.Duration
	// Offset is the order's offset in the operator log and identifies it.
	Offset uint64
}

// Phase is the progress of an order.
type Phase uint8

// The phases of an order.
const (
	// Canary sends a small share of the requests to the new version.
	Canary Phase = iota
	// Ramp sends a larger share of the requests to the new version.
	Ramp
	// Full sends all new requests to the new version while the old servers finish theirs.
	Full
	// Completed is final: the old servers may be stopped.
	Completed
	// RolledBack is final: the new version gets no requests.
	RolledBack
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"canary", "ramp", "whole", "completed", "rolled_back"}[p]
}

// Final reports whether the phase is final.
func (p Phase) Final() bool { return p >= Completed }

// OrderPolicy holds the schedule and the thresholds of an order. Times are fractions of
// the order's duration.
type OrderPolicy struct {
	// CanaryShare and RampShare are the fractions of requests sent to the new version in
	// each phase.
	CanaryShare, RampShare float64
	// SessionsFrom is when the first sessions may move to the new version. The canary has
	// only requests without a session until then, so the ramp starts no sooner.
	SessionsFrom float64
	// CanaryEnd is when the ramp starts even without CanaryRequests, since a service with few
	// requests may not reach them with the canary's share.
	CanaryEnd float64
	// RampEnd is the earliest end of the ramp. From RampLimit on, it no longer needs RampRequests.
	RampEnd, RampLimit float64
	// FullBy is the latest start of the full phase. A version that is not acquitted by then is rolled back.
	FullBy float64
	// CompleteBy is when an order whose version is acquitted is completed even if streams still run on old
	// servers, and any other is rolled back.
	CompleteBy float64
	// CanaryRequests is the number of requests to the new version that ends the canary before
	// CanaryEnd, and without which the full phase never starts. RampRequests is the number that
	// ends the ramp before RampLimit.
	CanaryRequests, RampRequests int64
	// RollBackThreshold is the e-value at which the order is rolled back; see StagePolicy.
	RollBackThreshold float64
	// LeaveOneOutThreshold is the e-value that must remain for a rollback without any one
	// server or failure domain; see StagePolicy.
	LeaveOneOutThreshold float64
	// MinSlowShare is the fraction of slow answers of the new version required for a
	// rollback due to slowness.
	MinSlowShare float64
	// MinSlowExcess is the fraction of the new version's answers by which slow ones must exceed those of
	// the running version for a rollback or for doubt due to latency.
	MinSlowExcess float64
	// MinBadEvents is the number of bad answers required for a rollback or for doubt. Single ones
	// happen on any version.
	MinBadEvents int64
	// DoubtThreshold is the e-value from which an order is in doubt: it does not advance, and is
	// rolled back at CompleteBy.
	DoubtThreshold float64
	// DoubtSlowShare is the fraction of slow answers of the new version required for doubt due to
	// slowness.
	DoubtSlowShare float64
	// MaxAcquittalExcess is the fraction of the new version's answers by which slow ones may exceed those of
	// the running version if it is acquitted.
	MaxAcquittalExcess float64
	// AcquittalShare is the fraction of requests that a bad version is taken to fail at least.
	AcquittalShare float64
}

// DefaultOrderPolicy returns the default policy.
func DefaultOrderPolicy() OrderPolicy {
	return OrderPolicy{
		CanaryShare: 0.1, RampShare: 0.4,
		SessionsFrom: 0.5, CanaryEnd: 0.55,
		RampEnd: 0.58, RampLimit: 0.75,
		FullBy:         0.85,
		CompleteBy:     0.93,
		CanaryRequests: 20, RampRequests: 60,
		RollBackThreshold:    100,
		LeaveOneOutThreshold: 3,
		MinSlowShare:         0.5,
		MinSlowExcess:        0.12,
		MinBadEvents:         4,
		DoubtThreshold:       10,
		DoubtSlowShare:       0.33,
		MaxAcquittalExcess:   0.18,
		AcquittalShare:       0.25,
	}
}

// Share returns the fraction of requests sent to the new version in a phase.
func (p OrderPolicy) Share(phase Phase) float64 {
	switch phase {
	case Canary:
		return p.CanaryShare
	case Ramp:
		return p.RampShare
	case Full, Completed:
		return 1
	}
	return 0
}

// NextPhase returns the next phase and its reason from the evidence of all daemons, the
// time since the order, and the number of requests that still run on old servers. It
// returns the same phase if nothing changes.
func (p OrderPolicy) NextPhase(o Order, phase Phase, elapsed time.Duration, e Evidence, oldRunning int) (Phase, string) {
	if phase.Final() {
		return phase, "over"
	}
	if reason := p.rollBackReason(e); reason != "" {
		return RolledBack, reason
	}
	progress := float64(elapsed) / float64(o.Duration)
	newCounts, _ := e.Totals(nil)
	doubt := p.Doubt(e)
	switch {
	case progress >= p.FullBy && phase < Full && !p.Acquitted(e):
		return RolledBack, fmt.Sprintf("not acquitted by %d requests at the latest start of the full phase", newCounts.Requests)
	case doubt != "" && phase == Full && progress >= p.CompleteBy:
		return RolledBack, "still in doubt at the latest moment: " + doubt
	case doubt != "":
		return phase, "in doubt: " + doubt
	case phase == Canary && progress >= p.SessionsFrom && (newCounts.Requests >= p.CanaryRequests || progress >= p.CanaryEnd):
		return Ramp, fmt.Sprintf("%d requests on the new version without an alarm", newCounts.Requests)
	case phase == Ramp && p.rampDone(progress, newCounts.Requests) && p.Acquitted(e):
		return Full, fmt.Sprintf("acquitted by %d requests on the new version", newCounts.Requests)
	case phase == Full && progress >= p.CompleteBy && !p.Acquitted(e):
		return RolledBack, fmt.Sprintf("not acquitted by %d requests at the latest moment", newCounts.Requests)
	case phase == Full && !p.Acquitted(e):
		return phase, ""
	case phase == Full && oldRunning == 0 && progress >= max(p.RampEnd, float64(o.FullSince)/float64(o.Duration))+o.minFullShare():
		return Completed, "nothing runs on old servers"
	case phase == Full && progress >= p.CompleteBy:
		return Completed, fmt.Sprintf("%d requests still run on old servers at the latest moment", oldRunning)
	}
	return phase, ""
}

// KeepsSessions reports whether all sessions stay on their version at a time since the order.
func (p OrderPolicy) KeepsSessions(o Order, elapsed time.Duration) bool {
	return float64(elapsed) < p.SessionsFrom*float64(o.Duration)
}

// rampDone reports whether the requests to the new version suffice for the full phase.
func (p OrderPolicy) rampDone(progress float64, requests int64) bool {
	if progress >= p.RampLimit {
		return requests >= p.CanaryRequests
	}
	return progress >= p.RampEnd && requests >= p.RampRequests
}

// minFullPhase is the minimum length of the full phase, as a fraction of the duration.
// Some faults show under full load only, and a completed order can't be rolled back.
const minFullPhase = 0.2

// minFullShare returns the minimum length of the full phase, extended to the session
// window: the next order may follow at once and must not find sessions on the old version.
func (o Order) minFullShare() float64 {
	return max(minFullPhase, float64(o.SessionIdleTimeout)/float64(o.Duration))
}

// rollBackReason returns why the new version is to be rolled back, or "".
func (p OrderPolicy) rollBackReason(e Evidence) string {
	newCounts, _ := e.Totals(nil)
	for s := range signalCount {
		trials, events := e.badEvents(s, &newCounts)
		if !p.material(e, s, trials, events, p.MinSlowShare) {
			continue
		}
		logE := e.LogEValue(s, nil)
		if logE < math.Log(p.RollBackThreshold) {
			continue
		}
		// A single server or failure domain may be the cause.
		if leaveOneOut, _ := e.MinLeaveOneOut(s); leaveOneOut >= math.Log(p.LeaveOneOutThreshold) {
			return fmt.Sprintf("%s: %d of %d on the new version, e-value 10^%.1f", s, events, trials, logE/math.Ln10)
		}
	}
	return ""
}

// Doubt returns why an order must not advance although the evidence does not suffice for a
// rollback, or "". Evidence that one server explains is none if the others have served enough
// requests, and no fewer than that one.
func (p OrderPolicy) Doubt(e Evidence) string {
	newCounts, _ := e.Totals(nil)
	for s := range signalCount {
		trials, events := e.badEvents(s, &newCounts)
		if !p.material(e, s, trials, events, p.DoubtSlowShare) {
			continue
		}
		logE := e.LogEValue(s, nil)
		if logE >= math.Log(p.DoubtThreshold) && !p.oneServerExplains(e, s) {
			return fmt.Sprintf("%s: %d of %d on the new version, e-value 10^%.1f", s, events, trials, logE/math.Ln10)
		}
	}
	return ""
}

// material reports whether the new version has enough bad events in its trials to be judged by a signal.
// Slowness requires minSlowShare of the trials.
func (p OrderPolicy) material(e Evidence, s Signal, trials, events int64, minSlowShare float64) bool {
	if events < p.MinBadEvents {
		return false
	}
	switch s {
	case Slowness:
		return float64(events) >= minSlowShare*float64(trials)
	case Latency:
		_, excess := e.SlowExcess()
		return excess >= p.MinSlowExcess
	}
	return true
}

// oneServerExplains reports whether the new version is in no doubt by a signal without one of its
// servers, and the others have served enough requests to tell.
func (p OrderPolicy) oneServerExplains(e Evidence, s Signal) bool {
	servers, _ := e.newVersionPlacement()
	return slices.ContainsFunc(servers, func(name string) bool {
		others := func(c ServerCounts) bool { return c.Server != name }
		newCounts, _ := e.Totals(others)
		own, _ := e.Totals(func(c ServerCounts) bool { return c.Server == name })
		return newCounts.Requests >= max(p.CanaryRequests, own.Requests) && e.LogEValue(s, others) < math.Log(p.LeaveOneOutThreshold)
	})
}

// Acquitted reports whether the new version has served enough requests as well and as fast as the old
// one to serve those that the old version cannot, and to take its place. Between that and doubt,
// nothing is known.
func (p OrderPolicy) Acquitted(e Evidence) bool {
	newCounts, runningCounts := e.Totals(nil)
	if newCounts.Requests < p.CanaryRequests || p.Doubt(e) != "" || e.LogEValue(Slowness, nil) >= math.Log(p.DoubtThreshold) {
		return false
	}
	if slow, compared := e.logSlowRatio(p.AcquittalShare); compared && slow > -math.Log(p.DoubtThreshold) {
		return false
	}
	if _, excess := e.SlowExcess(); excess > p.MaxAcquittalExcess {
		return false
	}
	return p.logFailureRatio(newCounts, runningCounts) <= -math.Log(p.DoubtThreshold)
}

// logFailureRatio returns the log-likelihood ratio of a new version that fails AcquittalShare of the
// requests, besides those that fail on any version, to one that is as good as the running version.
func (p OrderPolicy) logFailureRatio(newCounts, runningCounts Counts) float64 {
	good := (float64(runningCounts.Errors) + 0.5) / (float64(runningCounts.Requests) + 1)
	return logBernoulliRatio(good, p.AcquittalShare, newCounts.Errors, newCounts.Requests)
}
