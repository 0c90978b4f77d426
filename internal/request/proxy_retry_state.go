package request

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// SendOutcome is the result of one send of a proxied request to a backend server.
type SendOutcome uint8

const (
	// NotStarted means that the server confirmed that it did not run the request,
	// or that no byte was sent.
	NotStarted SendOutcome = iota
	// ResponseLost means that no usable response was received; the request may have run.
	ResponseLost
	// ErrorResponse means that the response reported a failed run.
	ErrorResponse
	// LowConfidence means that the response of a smaller model was discarded before
	// the caller received any of it.
	LowConfidence
	// Truncated means that a stream ended before its last event.
	Truncated
)

// maxRefusedSends is the number of sends allowed beyond MaxRuns. It limits the load
// of a request that every server refuses.
const maxRefusedSends = 4

// ProxyRetryState decides after each send of one proxied request whether to send it
// again. Unlike RetryState, it may continue a stream on another server, because the
// request names the last event received.
type ProxyRetryState struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxRuns is the maximum number of servers that may run the request; zero means one.
	MaxRuns int
	// Deadline is the time after which the request is not sent again.
	Deadline time.Time

	sends      int
	runs       int
	ran        bool
	mayHaveRun bool
}

// RecordSend counts a send as started.
func (s *ProxyRetryState) RecordSend() { s.sends++; s.runs++ }

// AddRuns counts further servers that another daemon reports to have run the request or that may
// have.
func (s *ProxyRetryState) AddRuns(n int) { s.runs += n }

// Sends returns the number of sends started.
func (s *ProxyRetryState) Sends() int { return s.sends }

// Runs returns the number of sends that ran or may have run.
func (s *ProxyRetryState) Runs() int { return s.runs }

// RemainingRuns returns the number of further servers that may run the request.
func (s *ProxyRetryState) RemainingRuns() int { return max(1, s.MaxRuns) - s.runs }

// ExecutionState returns whether the request ran on any server, as far as known.
func (s *ProxyRetryState) ExecutionState() fault.ExecutionState {
	switch {
	case s.ran:
		return fault.Ran
	case s.mayHaveRun:
		return fault.Unknown
	}
	return fault.NotRun
}

// MaySend reports whether the request may be sent to another server while it waits for one.
func (s *ProxyRetryState) MaySend() bool {
	return s.Repeatable && s.RemainingRuns() > 0 && s.sends < s.MaxSends()
}

// MaxSends returns the maximum number of sends.
func (s *ProxyRetryState) MaxSends() int { return max(1, s.MaxRuns) + maxRefusedSends }

// Record records the outcome of a send after which another one goes on.
func (s *ProxyRetryState) Record(outcome SendOutcome) {
	switch outcome {
	case NotStarted:
		s.runs--
	case ResponseLost:
		s.mayHaveRun = true
	default:
		s.ran = true
	}
}

// Next records the outcome of a send. It returns nil if the request is to be sent
// again, and otherwise the error for the caller. takeRetry withdraws a retry from the
// budget and reports whether there was one; it is called only if all other conditions
// for a retry hold.
func (s *ProxyRetryState) Next(outcome SendOutcome, now time.Time, takeRetry func() bool) *fault.Error {
	s.Record(outcome)
	switch {
	case !now.Before(s.Deadline):
		return s.fail(fault.DeadlineExceeded, "the deadline passed")
	case outcome != NotStarted && !s.Repeatable:
		return s.fail(fault.EngineFailed, "the request may not be repeated")
	case s.RemainingRuns() <= 0:
		return s.fail(fault.EngineFailed, "every attempt failed")
	case s.sends >= s.MaxSends():
		return s.fail(fault.EngineRefused, "every server refused")
	case !takeRetry():
		return s.fail(fault.EngineRefused, "the retry budget is used up")
	}
	return nil
}

// consistentKind replaces an error kind that contradicts the execution state. A kind
// that states that the request did not run must not be returned once it may have run,
// because the caller would repeat it.
func consistentKind(kind fault.Kind, state fault.ExecutionState) fault.Kind {
	switch {
	case state != fault.NotRun && fault.Lookup(kind).Execution == fault.NotRun:
		return fault.EngineFailed
	case state == fault.NotRun && kind == fault.EngineFailed:
		return fault.EngineRefused
	}
	return kind
}

// fail returns the error of the given kind with the execution state set.
func (s *ProxyRetryState) fail(kind fault.Kind, detail string) *fault.Error {
	state := s.ExecutionState()
	kind = consistentKind(kind, state)
	return fault.New(kind, "%s", detail).WithExecution(state)
}

// Fail returns the error for a request that will not be sent again.
func (s *ProxyRetryState) Fail(kind fault.Kind, detail string) *fault.Error {
	return s.fail(kind, detail)
}
