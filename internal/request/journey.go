package request

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// SendOutcome is how one send of an opaque request to a backend server ended.
type SendOutcome uint8

const (
	// NotStarted is a send that the server proved it did not run, or of which
	// no byte left.
	NotStarted SendOutcome = iota
	// ResponseLost is a send without a usable answer; it may have run.
	ResponseLost
	// ErrorResponse is an answer that says the run failed.
	ErrorResponse
	// LowConfidence is an answer of a smaller model that was dropped unseen.
	LowConfidence
	// Truncated is a stream that ended before its last event.
	Truncated
)

// maxSends bounds the sends of one request that did not run, so that a service
// whose servers all refuse is not asked over and over: each is an arrival there.
const maxSends = 4

// ProxyRetryState decides what follows each send of one opaque request. Unlike Life, it
// may continue a stream on another server, because the server is told after
// which event to begin.
type ProxyRetryState struct {
	// Repeatable requests may run again after they may have run.
	Repeatable bool
	// MaxRuns is the most servers that may run the request; zero is one.
	MaxRuns int
	// Deadline is when the answer is of no more use.
	Deadline time.Time

	sends int
	runs  int
	ran   bool
	doubt bool
}

// RecordSend records a send.
func (j *ProxyRetryState) RecordSend() { j.sends++; j.runs++ }

// Sends returns how many sends began.
func (j *ProxyRetryState) Sends() int { return j.sends }

// Runs returns how many sends ran or may have run.
func (j *ProxyRetryState) Runs() int { return j.runs }

// RunsLeft returns how many more servers may run the request.
func (j *ProxyRetryState) RunsLeft() int { return max(1, j.MaxRuns) - j.runs }

// State returns what may truthfully be said about execution.
func (j *ProxyRetryState) State() fault.ExecutionState {
	switch {
	case j.ran:
		return fault.Ran
	case j.doubt:
		return fault.Unknown
	}
	return fault.NotRun
}

// Next returns nil if the request is to be sent again, and else the final
// refusal. Allowed says whether the budget admits a repeat; it is asked last, so
// that nothing is spent on a request that cannot be repeated.
func (j *ProxyRetryState) Next(o SendOutcome, now time.Time, allowed func() bool) *fault.Error {
	switch o {
	case NotStarted:
		j.runs--
	case ResponseLost:
		j.doubt = true
	default:
		j.ran = true
	}
	switch {
	case !now.Before(j.Deadline):
		return j.refuse(fault.DeadlineExceeded, "the deadline passed")
	case o != NotStarted && !j.Repeatable:
		return j.refuse(fault.EngineFailed, "the request may not be repeated")
	case j.RunsLeft() <= 0:
		return j.refuse(fault.EngineFailed, "every attempt failed")
	case j.sends >= max(1, j.MaxRuns)+maxSends:
		return j.refuse(fault.EngineRefused, "every server refused")
	case !allowed():
		return j.refuse(fault.EngineRefused, "the retry budget is used up")
	}
	return nil
}

// truthful returns the kind of a refusal in place of one that says something else of the run.
// One that promises not to have run must not be given once the request may have run: the
// caller would repeat it.
func truthful(k fault.Kind, state fault.ExecutionState) fault.Kind {
	switch {
	case state != fault.NotRun && fault.Lookup(k).Execution == fault.NotRun:
		return fault.EngineFailed
	case state == fault.NotRun && k == fault.EngineFailed:
		return fault.EngineRefused
	}
	return k
}

// refuse returns a final refusal.
func (j *ProxyRetryState) refuse(k fault.Kind, detail string) *fault.Error {
	state := j.State()
	k = truthful(k, state)
	return fault.New(k, "%s", detail).WithExecution(state)
}

// Fail returns a final refusal for a request that will not be sent (again).
func (j *ProxyRetryState) Fail(k fault.Kind, detail string) *fault.Error { return j.refuse(k, detail) }
