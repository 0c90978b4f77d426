package relay

import (
	"context"
	"time"

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

// recordAccepted records that the daemon has responded.
func (f *forwardAttempt) recordAccepted() {
	f.mu.Lock()
	f.accepted = true
	f.mu.Unlock()
	f.x.relay.State.endTrial(f.address)
}

// watchSilence starts the timer of the daemon's silence.
func (f *forwardAttempt) watchSilence() *time.Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silence = time.AfterFunc(forwardAcceptTimeout, f.recordSilence)
	return f.silence
}

// recordSilence offers the call to others if the daemon has not accepted it. The daemon keeps the call
// until one of them has taken it.
func (f *forwardAttempt) recordSilence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.accepted || f.ctx.Err() != nil {
		return
	}
	x := f.x
	x.logEvent("call not accepted", nil, "daemon", f.address)
	x.relay.State.endTrial(f.address)
	x.relay.State.recordHelper(f.address, false)
	switch {
	case f.offers != nil:
		f.offers.fellSilent <- f
	case f.mayContest(x):
		f.startContest(f.parent, x, f)
	}
}

// abandon implements taker and heldBy.
func (f *forwardAttempt) abandon(cause error) { f.cancel(cause) }

// drop implements taker.
func (f *forwardAttempt) drop() {
	f.recordEnd(request.ResponseLost)
	f.end()
}

// release implements taker.
func (f *forwardAttempt) release(context.Context) { f.end() }

// name implements taker and heldBy.
func (f *forwardAttempt) name() string { return f.address }

// server implements heldBy.
func (f *forwardAttempt) server() *target { return nil }

// keep implements heldBy.
func (f *forwardAttempt) keep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silence.Reset(moveRetryInterval)
}
