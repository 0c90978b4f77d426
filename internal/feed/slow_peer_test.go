package feed

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// Guards against a follower that waits on a reader whose parts arrive slowly while the log answers.
func TestSlowReaderDoesNotKeepFollowerFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxLag, limit = 250 * time.Millisecond, 2 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := &scriptedLog{
			newest: func() ([]Record, Position, error) { return records(1, "a"), 2, nil },
			reads: []func(Position) ([]Record, Position, error){
				func(from Position) ([]Record, Position, error) { return records(from, "b"), 3, nil },
			},
			end: cancel,
		}
		f := New(&Follower{
			Log: l, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 },
			Apply: func([]Record, bool) {}, OnConfirmed: func(time.Duration) {},
			ReadsLog: func() bool { return false }, MaxLag: func() time.Duration { return maxLag },
			FetchTail: func(ctx context.Context, _ string, _ Position) (Tail, error) {
				<-ctx.Done()
				return Tail{}, ctx.Err()
			},
		})
		go f.Run(ctx)
		synctest.Wait()
		changed := time.Now()
		f.ObservePeerPosition(3)
		for f.Next() < 3 && time.Since(changed) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(changed); took > limit {
			t.Errorf("behind for %s, limit %s", took, limit)
		}
	})
}
