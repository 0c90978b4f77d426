// Package loop runs functions periodically.
package loop

import (
	"context"
	"time"
)

// Every calls f after each period until the context ends. Ticks that pass during a slow call are
// dropped.
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

// Sleep waits for d and returns true, or returns false if the context ends first. It creates no
// timer if d <= 0: a timer that fires at once can crash the Go runtime in synctest with -race.
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
