// Package loop runs functions at a period.
package loop

import (
	"context"
	"time"
)

// Every calls f at a period, for the first time after one, until the context ends. A
// call that takes longer than the period delays the next; none is made up for.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context, now time.Time)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f(ctx, now)
		}
	}
}

// Sleep waits for a time, and reports whether it passed before the context's end. No time
// needs no timer: one that is due at once crashes the runtime now and then in a test that
// has virtual time and the race detector.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
