package feed

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// answerLimit bounds the time without a sign of life from the log: from the moment at
// which an answer is due, and from each piece of it to the next. The log takes
// milliseconds, under trouble some hundred. A long record over a slow link may take
// longer as a whole, and is not given up while its pieces come.
const answerLimit = 900 * time.Millisecond

var (
	// errSilent ends a read that the log shows no sign of answering.
	errSilent = errors.New("no sign of an answer in time")
	// errBehind ends a read that waits though the log has more.
	errBehind = errors.New("the log goes on, and the read was not told")
)

// reading is one read that is going on. What a log that went silent was asked is never
// answered, even when it is back: a read that was given the time of one that waits hid
// every later record for 15 s. So each read has a limit of its own, by what it asked for.
type reading struct {
	began time.Time
	// answering says that a part of the answer has come.
	answering bool
	limit     *time.Timer
	giveUp    context.CancelCauseFunc
}

// begin starts a read that is answered after a wait at the latest. The caller ends it
// with the function that is returned.
func (f *Follower) begin(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, giveUp := context.WithCancelCause(ctx)
	r := &reading{began: time.Now(), giveUp: giveUp}
	r.limit = time.AfterFunc(wait+answerLimit, func() { giveUp(errSilent) })
	f.mu.Lock()
	f.reading = r
	f.mu.Unlock()
	return ctx, func() {
		r.limit.Stop()
		f.mu.Lock()
		f.reading = nil
		f.mu.Unlock()
		giveUp(nil)
	}
}

// heard takes a sign of life of the read that is going on.
func (f *Follower) heard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading != nil {
		f.reading.answering = true
		f.reading.limit.Reset(answerLimit)
	}
}

// reason says why a read failed, if it was given up.
func reason(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errSilent) || errors.Is(cause, errBehind)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
