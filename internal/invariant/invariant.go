// Package invariant checks a history of events against what the system
// promises. Tests, the trace replay and the demo share it. It does no I/O.
package invariant

import (
	"fmt"
	"time"
)

// Property names one of the promises.
type Property string

// The promises, in the order of the documentation.
const (
	VersionAllowed           Property = "a request runs only on an allowed version"
	NoWorkOnWithdrawnVersion Property = "a withdrawn version receives no new work"
	SessionAffinity          Property = "a session keeps its version"
	BilledOnce               Property = "each request is billed once"
	CompleteAnswer           Property = "a caller receives the whole answer to its own request"
	AccurateRefusal          Property = "a refusal saying not_run is true"
	AtMostOnce               Property = "a non-repeatable request runs at most once"
	NoWorkOnLeavingServer    Property = "a leaving backend server receives no new work"
	GracefulShutdown         Property = "a graceful shutdown cuts no request"
	MonotonicConfig          Property = "an accepted configuration never reverts"
	TimelyConfig             Property = "an accepted configuration is in force everywhere in time"
)

// EventKind is what happened.
type EventKind uint8

const (
	// RequestSent: a caller sent Request for Workspace.
	RequestSent EventKind = iota
	// ExecutionStarted: a backend server began to run Request.
	ExecutionStarted
	// ResponseReceived: the caller got the terminal mark; Text is the answer it saw, of
	// Version in Session.
	ResponseReceived
	// ExecutionFinished: a backend server finished Request; Text is its answer.
	ExecutionFinished
	// RefusedNotRun: the caller was told that Request did not run.
	RefusedNotRun
	// InterruptedByShutdown: Request ended early because its daemon stopped gracefully.
	InterruptedByShutdown
	// RequestBilled: a bill for Request stands in the ledger.
	RequestBilled
	// VersionWithdrawn: version was withdrawn by an accepted patch.
	VersionWithdrawn
	// ServerLeaving: Server was listed as leaving.
	ServerLeaving
	// ConfigAccepted: the log holds an accepted patch leading to Number.
	ConfigAccepted
	// ConfigApplied: Daemon serves by configuration Number.
	ConfigApplied
	// DaemonStopped: Daemon stopped.
	DaemonStopped
)

// Event is one entry of a history, ordered by At.
type Event struct {
	Kind           EventKind
	At             time.Duration
	Request        string
	IdempotencyKey string
	NonRepeatable  bool
	Workspace      string
	Session        string
	Model          string
	Version        string
	Server         string
	Daemon         string
	ConfigNumber   uint64
	Answer         string
	// Allowed is set on Started by the observer that knows the entitlements at
	// the time of the dispatch.
	Allowed bool
}

// Limits are the times in which a change must show.
type Limits struct {
	// ConfigPropagation bounds the spread of a configuration.
	ConfigPropagation time.Duration
	// ServerRemoval bounds the time to stop new work for a leaving server.
	ServerRemoval time.Duration
}

// Violation is a broken promise.
type Violation struct {
	Property Property
	Detail   string
}

// Check returns every broken promise of a history.
func Check(history []Event, l Limits) []Violation {
	c := checker{
		limits: l, requests: map[string]*requestState{}, sessions: map[string]string{},
		withdrawn: map[string]time.Duration{}, leaving: map[string]time.Duration{},
		configNumbers: map[string]uint64{}, keys: map[string]string{},
	}
	for _, e := range history {
		c.apply(e)
	}
	c.finish()
	return c.violations
}

type requestState struct {
	sent, responseReceived, refused, nonRepeatable bool
	executions, bills                              int
	answers                                        []string
	received                                       string
}

type checker struct {
	limits        Limits
	requests      map[string]*requestState
	sessions      map[string]string
	withdrawn     map[string]time.Duration
	leaving       map[string]time.Duration
	configNumbers map[string]uint64
	keys          map[string]string
	accepted      []Event
	violations    []Violation
}

func (c *checker) report(p Property, format string, args ...any) {
	c.violations = append(c.violations, Violation{p, fmt.Sprintf(format, args...)})
}

func (c *checker) request(id string) *requestState {
	r := c.requests[id]
	if r == nil {
		r = &requestState{}
		c.requests[id] = r
	}
	return r
}

func (c *checker) apply(e Event) {
	switch e.Kind {
	case RequestSent:
		r := c.request(e.Request)
		r.sent, r.nonRepeatable = true, e.NonRepeatable
	case ExecutionStarted:
		c.executionStarted(e)
	case ResponseReceived:
		r := c.request(e.Request)
		r.responseReceived, r.received = true, e.Answer
		c.checkSessionAffinity(e)
	case ExecutionFinished:
		r := c.request(e.Request)
		r.answers = append(r.answers, e.Answer)
	case RefusedNotRun:
		c.request(e.Request).refused = true
	case InterruptedByShutdown:
		c.report(GracefulShutdown, "request %s was cut at %s", e.Request, e.At)
	case RequestBilled:
		c.request(e.Request).bills++
	case VersionWithdrawn:
		c.withdrawn[e.Model+"@"+e.Version] = e.At
	case ServerLeaving:
		c.leaving[e.Server] = e.At
	case ConfigAccepted:
		c.accepted = append(c.accepted, e)
	case ConfigApplied:
		c.configApplied(e)
	case DaemonStopped:
		delete(c.configNumbers, e.Daemon)
	}
}

func (c *checker) executionStarted(e Event) {
	r := c.request(e.Request)
	r.executions++
	if !e.Allowed {
		c.report(VersionAllowed, "request %s of %s ran on %s@%s", e.Request, e.Workspace, e.Model, e.Version)
	}
	if at, ok := c.withdrawn[e.Model+"@"+e.Version]; ok && e.At > at+c.limits.ConfigPropagation {
		c.report(NoWorkOnWithdrawnVersion, "request %s started on %s@%s %s after its withdrawal", e.Request, e.Model, e.Version, e.At-at)
	}
	if at, ok := c.leaving[e.Server]; ok && e.At > at+c.limits.ServerRemoval {
		c.report(NoWorkOnLeavingServer, "request %s started on %s %s after it was listed", e.Request, e.Server, e.At-at)
	}
	if e.IdempotencyKey == "" {
		return
	}
	if other, ok := c.keys[e.IdempotencyKey]; ok {
		c.report(AtMostOnce, "key %s ran for %s and for %s", e.IdempotencyKey, other, e.Request)
	}
	c.keys[e.IdempotencyKey] = e.Request
}

// checkSessionAffinity follows the versions whose answers a session saw. A run whose answer never
// arrived moved nobody.
func (c *checker) checkSessionAffinity(e Event) {
	if e.Session == "" {
		return
	}
	session := e.Workspace + "/" + e.Session + "/" + e.Model
	old, pinned := c.sessions[session]
	_, withdrawn := c.withdrawn[e.Model+"@"+old]
	if pinned && old != e.Version && !withdrawn {
		c.report(SessionAffinity, "session %s moved from %s to %s", session, old, e.Version)
	}
	c.sessions[session] = e.Version
}

func (c *checker) configApplied(e Event) {
	if old, ok := c.configNumbers[e.Daemon]; ok && e.ConfigNumber < old {
		c.report(MonotonicConfig, "daemon %s went from %d to %d", e.Daemon, old, e.ConfigNumber)
	}
	c.configNumbers[e.Daemon] = e.ConfigNumber
	for _, a := range c.accepted {
		if a.ConfigNumber > e.ConfigNumber && e.At > a.At+c.limits.ConfigPropagation {
			c.report(TimelyConfig, "daemon %s is at %d, %s after %d was accepted", e.Daemon, e.ConfigNumber, e.At-a.At, a.ConfigNumber)
			return
		}
	}
}

func (c *checker) finish() {
	for id, r := range c.requests {
		c.finishRequest(id, r)
	}
}

func (c *checker) finishRequest(id string, r *requestState) {
	if r.refused && r.executions > 0 {
		c.report(AccurateRefusal, "request %s was refused as not run and started %d times", id, r.executions)
	}
	if r.nonRepeatable && r.executions > 1 {
		c.report(AtMostOnce, "request %s started %d times", id, r.executions)
	}
	if r.responseReceived && r.bills != 1 {
		c.report(BilledOnce, "request %s was answered and billed %d times", id, r.bills)
	}
	if !r.responseReceived && r.bills > 1 {
		c.report(BilledOnce, "request %s was billed %d times", id, r.bills)
	}
	if !r.responseReceived {
		return
	}
	for _, answer := range r.answers {
		if answer == r.received {
			return
		}
	}
	c.report(CompleteAnswer, "request %s was answered with text that no run of it produced", id)
}
