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
