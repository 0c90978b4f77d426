package request

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// AttemptEvent is something that happened to an attempt.
type AttemptEvent uint8

const (
	// AttemptRefused means the backend server proved that it did not start the run.
	AttemptRefused AttemptEvent = iota
	// ConnectFailed means no connection was made, so nothing was sent.
	ConnectFailed
	// ConnectionLost means the connection ended or went silent after the request was sent.
	ConnectionLost
	// RunNotFound means a resume was answered: the server knows no such run.
	RunNotFound
	// RunFailed means the server reported that the run failed.
	RunFailed
	// CallerDisconnected means the caller closed its connection.
	CallerDisconnected
)

// Action is what to do next.
type Action uint8

const (
	// Retry starts a new attempt on another server.
	Retry Action = iota
	// Resume reconnects to the same run.
	Resume
	// Cancel cancels the run and ends the request.
	Cancel
	// Fail answers the caller with Decision.Error.
	Fail
)

// Decision is the outcome of one event.
type Decision struct {
	Action Action
	Error  *fault.Error
}

const (
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 3
	// MaxResumes bounds the reconnections of one attempt.
	MaxResumes = 4
)

// RetryState decides what follows each event of one request.
type RetryState struct {
	// Repeatable requests may run again after a run was lost.
	Repeatable bool
	// Deadline ends the request; zero is none.
	Deadline time.Time

	attempts  int
	resumes   int
	delivered bool
	ran       bool
	doubt     bool
}

// RecordAttempt records a new attempt.
func (l *RetryState) RecordAttempt() { l.attempts++; l.resumes = 0 }

// Attempts returns how many attempts began.
func (l *RetryState) Attempts() int { return l.attempts }

// RecordDelivery records that the caller has seen part of the answer. From then on
// another run cannot continue it, since its words would differ.
func (l *RetryState) RecordDelivery() { l.delivered, l.ran = true, true }

// RecordExecution records proof that the server runs the attempt.
func (l *RetryState) RecordExecution() { l.ran = true }

// ExecutionState returns what may truthfully be said about execution.
func (l *RetryState) ExecutionState() fault.ExecutionState {
	switch {
	case l.ran:
		return fault.Ran
	case l.doubt:
		return fault.Unknown
	}
	return fault.NotRun
}

// Next decides. Budget allows or denies a further attempt.
func (l *RetryState) Next(e AttemptEvent, now time.Time, budget *RetryBudget) Decision {
	switch e {
	case CallerDisconnected:
		return Decision{Cancel, fault.New(fault.CallerLeft, "the caller left").WithExecution(l.ExecutionState())}
	case AttemptRefused, ConnectFailed:
		return l.again(fault.NoServer, e, now, budget)
	case ConnectionLost:
		l.doubt = true
		if l.resumes < MaxResumes && !l.expired(now) {
			l.resumes++
			return Decision{Action: Resume}
		}
		return l.again(fault.EngineFailed, e, now, budget)
	case RunNotFound:
		l.doubt = true
		return l.again(fault.EngineFailed, e, now, budget)
	}
	l.ran = true
	return l.again(fault.EngineFailed, e, now, budget)
}

func (l *RetryState) again(k fault.Kind, e AttemptEvent, now time.Time, budget *RetryBudget) Decision {
	proven := e == AttemptRefused || e == ConnectFailed
	switch {
	case l.expired(now):
		return l.fail(fault.DeadlineExceeded, "the deadline passed")
	case l.delivered:
		return l.fail(k, "the run was lost after part of the answer was delivered")
	case !proven && !l.Repeatable:
		return l.fail(k, "the request may not be repeated")
	case l.attempts >= MaxAttempts:
		return l.fail(k, "every attempt failed")
	case !budget.Take():
		return l.fail(k, "the retry budget is used up")
	}
	return Decision{Action: Retry}
}

func (l *RetryState) expired(now time.Time) bool {
	return !l.Deadline.IsZero() && !now.Before(l.Deadline)
}

func (l *RetryState) fail(k fault.Kind, detail string) Decision {
	return Decision{Fail, fault.New(truthful(k, l.ExecutionState()), "%s", detail).WithExecution(l.ExecutionState())}
}

// RetryBudget keeps retries below a fraction of first attempts, so that they
// never multiply an overload. It is owned by one goroutine or its owner's lock.
type RetryBudget struct {
	tokens float64
}

const (
	// retryRatio is the retries earned by one first attempt.
	retryRatio = 0.1
	// retryReserve caps the saved-up retries, and is the budget at start.
	retryReserve = 10
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// Deposit records a first attempt.
func (b *RetryBudget) Deposit() { b.tokens = min(retryReserve, b.tokens+retryRatio) }

// Take spends one retry if there is one. A nil budget denies.
func (b *RetryBudget) Take() bool {
	if b == nil || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
