// Package invariant checks a history of events against what the system
// promises. Tests, the trace replay and the demo share it. It does no I/O.
package invariant

import (
	"fmt"
	"time"
)

// Promise names one of the promises.
type Promise string

// The promises, in the order of the documentation.
const (
	Entitled       Promise = "a request runs only on an allowed version"
	NoNewWork      Promise = "a withdrawn version receives no new work"
	SessionKept    Promise = "a session keeps its version"
	BilledOnce     Promise = "each request is billed once"
	WholeAnswer    Promise = "a caller receives the whole answer to its own request"
	TrueRefusal    Promise = "a refusal saying not_run is true"
	AtMostOnce     Promise = "a non-repeatable request runs at most once"
	LeavingIdle    Promise = "a leaving backend server receives no new work"
	GracefulEnd    Promise = "a graceful shutdown cuts no request"
	NeverReverts   Promise = "an accepted configuration never reverts"
	InForceQuickly Promise = "an accepted configuration is in force everywhere in time"
)

// Kind is what happened.
type Kind uint8

const (
	// Asked: a caller sent Request for Workspace.
	Asked Kind = iota
	// Started: a backend server began to run Request.
	Started
	// Answered: the caller got the terminal mark; Text is the answer it saw, of
	// Version in Session.
	Answered
	// Produced: a backend server finished Request; Text is its answer.
	Produced
	// RefusedNotRun: the caller was told that Request did not run.
	RefusedNotRun
	// CutByShutdown: Request ended early because its daemon stopped gracefully.
	CutByShutdown
	// Billed: a bill for Request stands in the ledger.
	Billed
	// Withdrew: version was withdrawn by an accepted patch.
	Withdrew
	// ServerLeft: Server was listed as leaving.
	ServerLeft
	// Accepted: the log holds an accepted patch leading to Number.
	Accepted
	// InForce: Daemon serves by configuration Number.
	InForce
	// DaemonGone: Daemon stopped.
	DaemonGone
)

// Event is one entry of a history, ordered by At.
type Event struct {
	Kind          Kind
	At            time.Duration
	Request       string
	Key           string
	NonRepeatable bool
	Workspace     string
	Session       string
	Model         string
	Version       string
	Server        string
	Daemon        string
	Number        uint64
	Text          string
	// Allowed is set on Started by the observer that knows the entitlements at
	// the time of the dispatch.
	Allowed bool
}

// Limits are the times in which a change must show.
type Limits struct {
	// InForce bounds the spread of a configuration.
	InForce time.Duration
	// Leaving bounds the time to stop new work for a leaving server.
	Leaving time.Duration
}

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Detail  string
}

// Check returns every broken promise of a history.
func Check(history []Event, l Limits) []Violation {
	c := checker{
		limits: l, requests: map[string]*life{}, sessions: map[string]string{},
		withdrawn: map[string]time.Duration{}, left: map[string]time.Duration{},
		daemons: map[string]uint64{}, keys: map[string]string{},
	}
	for _, e := range history {
		c.step(e)
	}
	c.end()
	return c.found
}

type life struct {
	asked, answered, refused, nonRepeatable bool
	starts, bills                           int
	produced                                []string
	text                                    string
}

type checker struct {
	limits    Limits
	requests  map[string]*life
	sessions  map[string]string
	withdrawn map[string]time.Duration
	left      map[string]time.Duration
	daemons   map[string]uint64
	keys      map[string]string
	accepted  []Event
	found     []Violation
}

func (c *checker) broken(p Promise, format string, args ...any) {
	c.found = append(c.found, Violation{p, fmt.Sprintf(format, args...)})
}

func (c *checker) request(id string) *life {
	r := c.requests[id]
	if r == nil {
		r = &life{}
		c.requests[id] = r
	}
	return r
}

func (c *checker) step(e Event) {
	switch e.Kind {
	case Asked:
		r := c.request(e.Request)
		r.asked, r.nonRepeatable = true, e.NonRepeatable
	case Started:
		c.started(e)
	case Answered:
		r := c.request(e.Request)
		r.answered, r.text = true, e.Text
		c.pin(e)
	case Produced:
		r := c.request(e.Request)
		r.produced = append(r.produced, e.Text)
	case RefusedNotRun:
		c.request(e.Request).refused = true
	case CutByShutdown:
		c.broken(GracefulEnd, "request %s was cut at %s", e.Request, e.At)
	case Billed:
		c.request(e.Request).bills++
	case Withdrew:
		c.withdrawn[e.Model+"@"+e.Version] = e.At
	case ServerLeft:
		c.left[e.Server] = e.At
	case Accepted:
		c.accepted = append(c.accepted, e)
	case InForce:
		c.inForce(e)
	case DaemonGone:
		delete(c.daemons, e.Daemon)
	}
}

func (c *checker) started(e Event) {
	r := c.request(e.Request)
	r.starts++
	if !e.Allowed {
		c.broken(Entitled, "request %s of %s ran on %s@%s", e.Request, e.Workspace, e.Model, e.Version)
	}
	if at, ok := c.withdrawn[e.Model+"@"+e.Version]; ok && e.At > at+c.limits.InForce {
		c.broken(NoNewWork, "request %s started on %s@%s %s after its withdrawal", e.Request, e.Model, e.Version, e.At-at)
	}
	if at, ok := c.left[e.Server]; ok && e.At > at+c.limits.Leaving {
		c.broken(LeavingIdle, "request %s started on %s %s after it was listed", e.Request, e.Server, e.At-at)
	}
	if e.Key == "" {
		return
	}
	if other, ok := c.keys[e.Key]; ok {
		c.broken(AtMostOnce, "key %s ran for %s and for %s", e.Key, other, e.Request)
	}
	c.keys[e.Key] = e.Request
}

// pin follows the versions whose answers a session saw. A run whose answer never
// arrived moved nobody.
func (c *checker) pin(e Event) {
	if e.Session == "" {
		return
	}
	at := e.Workspace + "/" + e.Session + "/" + e.Model
	old, pinned := c.sessions[at]
	_, gone := c.withdrawn[e.Model+"@"+old]
	if pinned && old != e.Version && !gone {
		c.broken(SessionKept, "session %s moved from %s to %s", at, old, e.Version)
	}
	c.sessions[at] = e.Version
}

func (c *checker) inForce(e Event) {
	if old, ok := c.daemons[e.Daemon]; ok && e.Number < old {
		c.broken(NeverReverts, "daemon %s went from %d to %d", e.Daemon, old, e.Number)
	}
	c.daemons[e.Daemon] = e.Number
	for _, a := range c.accepted {
		if a.Number > e.Number && e.At > a.At+c.limits.InForce {
			c.broken(InForceQuickly, "daemon %s is at %d, %s after %d was accepted", e.Daemon, e.Number, e.At-a.At, a.Number)
			return
		}
	}
}

func (c *checker) end() {
	for id, r := range c.requests {
		c.endRequest(id, r)
	}
}

func (c *checker) endRequest(id string, r *life) {
	if r.refused && r.starts > 0 {
		c.broken(TrueRefusal, "request %s was refused as not run and started %d times", id, r.starts)
	}
	if r.nonRepeatable && r.starts > 1 {
		c.broken(AtMostOnce, "request %s started %d times", id, r.starts)
	}
	if r.answered && r.bills != 1 {
		c.broken(BilledOnce, "request %s was answered and billed %d times", id, r.bills)
	}
	if !r.answered && r.bills > 1 {
		c.broken(BilledOnce, "request %s was billed %d times", id, r.bills)
	}
	if !r.answered {
		return
	}
	for _, p := range r.produced {
		if p == r.text {
			return
		}
	}
	c.broken(WholeAnswer, "request %s was answered with text that no run of it produced", id)
}
