package feed

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// responseTimeout bounds the time without a sign of life from the log: from the moment at
// which an answer is due, and from each piece of it to the next. The log takes
// milliseconds, under trouble some hundred. A long record over a slow link may take
// longer as a whole, and is not given up while its pieces come.
const responseTimeout = 900 * time.Millisecond

var (
	// errNoResponse ends a read that the log shows no sign of answering.
	errNoResponse = errors.New("no sign of an answer in time")
	// errReadAbandoned ends a read that waits though the log has more.
	errReadAbandoned = errors.New("the log goes on, and the read was not told")
)

// pendingRead is one read that is going on. What a log that went silent was asked is never
// answered, even when it is back: a read that was given the time of one that waits hid
// every later record for 15 s. So each read has a limit of its own, by what it asked for.
type pendingRead struct {
	startedAt time.Time
	// responding says that a part of the answer has come.
	responding bool
	timer      *time.Timer
	cancel     context.CancelCauseFunc
}

// beginRead starts a read that is answered after a wait at the latest. The caller ends it
// with the function that is returned.
func (f *Follower) beginRead(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, giveUp := context.WithCancelCause(ctx)
	r := &pendingRead{startedAt: time.Now(), cancel: giveUp}
	r.timer = time.AfterFunc(wait+responseTimeout, func() { giveUp(errNoResponse) })
	f.mu.Lock()
	f.currentRead = r
	f.mu.Unlock()
	return ctx, func() {
		r.timer.Stop()
		f.mu.Lock()
		f.currentRead = nil
		f.mu.Unlock()
		giveUp(nil)
	}
}

// noteProgress takes a sign of life of the read that is going on.
func (f *Follower) noteProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentRead != nil {
		f.currentRead.responding = true
		f.currentRead.timer.Reset(responseTimeout)
	}
}

// wrapCause says why a read failed, if it was given up.
func wrapCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errNoResponse) || errors.Is(cause, errReadAbandoned)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
