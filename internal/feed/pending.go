package feed

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// responseTimeout limits the delay of a due response and of each of its parts. The total time
// of a response is not limited, since a long record may take longer over a slow link.
const responseTimeout = 900 * time.Millisecond

var (
	// errNoResponse ends a read without a response in time.
	errNoResponse = errors.New("no response in time")
	// errReadAbandoned ends a read that is behind other readers or predates an outage.
	errReadAbandoned = errors.New("read abandoned as stale")
)

// pendingRead is a read in progress. Each read has its own timeout, since a read that was
// sent before an outage may never be answered.
type pendingRead struct {
	startedAt time.Time
	// responding reports that a part of the response has arrived.
	responding bool
	timer      *time.Timer
	cancel     context.CancelCauseFunc
}

// beginRead starts a read that is answered after wait at the latest. The caller must call
// the returned function at its end.
func (f *Follower) beginRead(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	read := &pendingRead{startedAt: time.Now(), cancel: cancel}
	read.timer = time.AfterFunc(wait+responseTimeout, func() { cancel(errNoResponse) })
	f.mu.Lock()
	f.currentRead = read
	f.mu.Unlock()
	return ctx, func() {
		read.timer.Stop()
		f.mu.Lock()
		f.currentRead = nil
		f.mu.Unlock()
		cancel(nil)
	}
}

// noteProgress extends the timeout of the pending read when a part of its response arrives.
func (f *Follower) noteProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentRead != nil {
		f.currentRead.responding = true
		f.currentRead.timer.Reset(responseTimeout)
	}
}

// wrapCause adds the reason to the error of a read that was cancelled by the follower.
func wrapCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errNoResponse) || errors.Is(cause, errReadAbandoned)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
