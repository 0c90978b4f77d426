package relay

import (
	"context"

	"github.com/damaskrudder/damaskrudder/internal/request"
)

// await implements taker.
func (f *forwardAttempt) await() {
	f.open()
	switch {
	case f.reply == nil:
	case f.x.acceptable(f.reply):
		f.awaitErr = f.x.awaitTaken(f.reply, func() {})
	default:
		f.failure = f.x.readFailure(f.reply)
	}
}

// settle implements taker.
func (f *forwardAttempt) settle() (outcome request.SendOutcome, taken bool) {
	outcome, failed := f.recordResponse()
	switch {
	case failed:
	case !f.x.acceptable(f.reply):
		f.x.logEvent("forwarded call failed", nil, "daemon", f.address, "status", f.reply.Status)
		outcome = f.x.keepFailure(f.reply, f.failure)
	case f.awaitErr == nil:
		return outcome, true
	default:
		f.recordError(f.awaitErr)
		outcome = f.x.interruptedOutcome(f.reply)
	}
	f.recordEnd(outcome)
	f.end()
	return outcome, false
}

// succeed implements taker.
func (f *forwardAttempt) succeed() {}

// finish implements taker.
func (f *forwardAttempt) finish() (outcome request.SendOutcome, done bool) {
	defer f.end()
	outcome, done = f.deliver()
	f.recordEnd(outcome)
	return outcome, done
}

// abandon implements taker.
func (f *forwardAttempt) abandon(cause error) { f.cancel(cause) }

// drop implements taker.
func (f *forwardAttempt) drop() {
	f.recordEnd(request.ResponseLost)
	f.end()
}

// release implements taker.
func (f *forwardAttempt) release(context.Context) { f.end() }

// name implements taker.
func (f *forwardAttempt) name() string { return f.address }
