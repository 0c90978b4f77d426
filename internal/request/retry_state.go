package request

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// AttemptEvent is an event of an attempt that needs a decision.
type AttemptEvent uint8

const (
	// AttemptRefused means that the backend server confirmed that it did not start the run.
	AttemptRefused AttemptEvent = iota
	// ConnectFailed means that no connection was established and nothing was sent.
	ConnectFailed
	// ConnectionLost means that the connection closed or timed out after the request was sent.
	ConnectionLost
	// RunNotFound means that the server answered a resume with an unknown run ID.
	RunNotFound
	// RunFailed means that the server reported a failed run.
	RunFailed
	// ClientDisconnected means that the caller closed its connection.
	ClientDisconnected
	// ResumeFailed means that the server could not be reached to resume a run, or refused to resume
	// it. The run may go on.
	ResumeFailed
)

// Action is the next step for a request.
type Action uint8

const (
	// Retry starts a new attempt on another server.
	Retry Action = iota
	// Resume reconnects to the same run, or to an earlier one that may go on.
	Resume
	// Cancel cancels the run and ends the request.
	Cancel
	// Fail returns Decision.Error to the caller.
	Fail
)

// Decision is the next step after an event, with the error for the caller if the
// request ends.
type Decision struct {
	Action Action
	Error  *fault.Error
	// Delay is the time to wait before a Resume.
	Delay time.Duration
}

const (
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts = 3
	// MaxResumes is the maximum number of reconnections of one attempt without progress.
	MaxResumes = 4
	// minResumeInterval is the minimum time between the first two reconnections. It doubles with each
	// further one, so that they outlast a short interruption.
	minResumeInterval = 300 * time.Millisecond
)

// RetryState decides the next step after each event of one request.
type RetryState struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Deadline is the time after which nothing is retried, and a run without a frame is not resumed;
	// zero means none.
	Deadline time.Time

	attempts  int
	resumes   int
	resumedAt time.Time
	// begun is set if the current run has sent a frame.
	begun bool
	// returned is set once the request has returned to earlier runs.
	returned   bool
	delivered  bool
	ran        bool
	mayHaveRun bool
}

// RecordAttempt counts an attempt as started.
func (s *RetryState) RecordAttempt() { s.attempts++; s.resumes, s.begun = 0, false }

// RecordProgress records that a frame of the current run was received.
func (s *RetryState) RecordProgress() { s.resumes, s.begun = 0, true }

// RecordSwitch records that an earlier run is the current one. begun is set if it has sent a frame.
func (s *RetryState) RecordSwitch(begun bool) { s.begun = begun }

// RecordReturn records that the request returns to its earlier runs because nothing else can take
// it. They may be resumed anew, and nothing is retried.
func (s *RetryState) RecordReturn() { s.resumes, s.returned = 0, true }

// Attempts returns the number of attempts started.
func (s *RetryState) Attempts() int { return s.attempts }

// RecordDelivery records that part of the response was delivered to the caller. No
// other run can continue it, because it would generate different text.
func (s *RetryState) RecordDelivery() { s.delivered, s.ran = true, true }

// Delivered reports whether part of the response was delivered to the caller.
func (s *RetryState) Delivered() bool { return s.delivered }

// RecordExecution records that the server has started to run the request.
func (s *RetryState) RecordExecution() { s.ran = true }

// ExecutionState returns whether the request ran on any server, as far as known.
func (s *RetryState) ExecutionState() fault.ExecutionState {
	switch {
	case s.ran:
		return fault.Ran
	case s.mayHaveRun:
		return fault.Unknown
	}
	return fault.NotRun
}

// Next records an event and returns the next step. A retry is withdrawn from budget.
func (s *RetryState) Next(event AttemptEvent, now time.Time, budget *RetryBudget) Decision {
	switch event {
	case ClientDisconnected:
		return Decision{Action: Cancel, Error: fault.New(fault.CallerLeft, "the caller left").WithExecution(s.ExecutionState())}
	case AttemptRefused, ConnectFailed:
		return s.retryOrFail(fault.NoServer, event, now, budget)
	case ConnectionLost:
		s.mayHaveRun = true
		return s.resumeOrRetry(event, now, budget)
	case ResumeFailed:
		s.mayHaveRun = true
		if decision := s.retryOrFail(fault.EngineFailed, event, now, budget); decision.Action == Retry {
			return decision
		}
		return s.resumeOrRetry(event, now, budget)
	case RunNotFound:
		s.mayHaveRun = true
		return s.retryOrFail(fault.EngineFailed, event, now, budget)
	}
	s.ran = true
	return s.retryOrFail(fault.EngineFailed, event, now, budget)
}

// resumeOrRetry resumes the run as long as that may help.
func (s *RetryState) resumeOrRetry(event AttemptEvent, now time.Time, budget *RetryBudget) Decision {
	if s.resumes >= MaxResumes || s.expired(now) && !s.begun {
		return s.retryOrFail(fault.EngineFailed, event, now, budget)
	}
	delay := s.resumeDelay(now)
	s.resumes++
	s.resumedAt = now.Add(delay)
	return Decision{Action: Resume, Delay: delay}
}

// resumeDelay returns the time until the next reconnection.
func (s *RetryState) resumeDelay(now time.Time) time.Duration {
	if s.resumes == 0 {
		return 0
	}
	return max(0, s.resumedAt.Add(minResumeInterval<<(s.resumes-1)).Sub(now))
}

func (s *RetryState) retryOrFail(kind fault.Kind, event AttemptEvent, now time.Time, budget *RetryBudget) Decision {
	notExecuted := event == AttemptRefused || event == ConnectFailed
	switch {
	case s.expired(now):
		return s.fail(fault.DeadlineExceeded, "the deadline passed")
	case s.delivered:
		return s.fail(kind, "the run was lost after part of the answer was delivered")
	case !notExecuted && !s.Repeatable:
		return s.fail(kind, "the request may not be repeated")
	case s.returned:
		return s.fail(kind, "no other server could take the request")
	case s.attempts >= MaxAttempts:
		return s.fail(kind, "every attempt failed")
	case !budget.TryWithdraw():
		return s.fail(kind, "the retry budget is used up")
	}
	return Decision{Action: Retry}
}

func (s *RetryState) expired(now time.Time) bool {
	return !s.Deadline.IsZero() && !now.Before(s.Deadline)
}

func (s *RetryState) fail(kind fault.Kind, detail string) Decision {
	return Decision{Action: Fail, Error: fault.New(consistentKind(kind, s.ExecutionState()), "%s", detail).WithExecution(s.ExecutionState())}
}

// RetryBudget limits retries to a fraction of first attempts, so that retries do not
// amplify an overload. It is not safe for concurrent use.
type RetryBudget struct {
	balance float64
}

const (
	// retryRatio is the number of retries allowed per first attempt.
	retryRatio = 0.1
	// retryReserve is the initial and the maximum balance.
	retryReserve = 10
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: retryReserve} }

// Deposit credits the budget for a first attempt.
func (b *RetryBudget) Deposit() { b.balance = min(retryReserve, b.balance+retryRatio) }

// TryWithdraw withdraws one retry and reports whether there was one. It returns false
// for a nil budget.
func (b *RetryBudget) TryWithdraw() bool {
	if b == nil || b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
