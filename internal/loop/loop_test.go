package loop

import (
	"context"
	"testing"
	"time"
)

func TestEveryStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Every(ctx, time.Millisecond, func(context.Context, time.Time) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	if calls != 3 {
		t.Errorf("got %d calls, want 3", calls)
	}
}
