package feed

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// Guards against a daemon that has to load a topic again and replaces its state by that of a reader
// that is further behind.
func TestSnapshotOfReaderBehindIsNotApplied(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		next Position
	}{
		{"restored log", ErrEraChanged, NewPosition(0, 4)},
		{"deleted records", ErrCompacted, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				loads := 0
				l := &scriptedLog{
					newest: func() ([]Record, Position, error) {
						if loads++; loads > 1 {
							return nil, 0, errors.New("refused")
						}
						return records(8, "evacuation"), 9, nil
					},
					reads: []func(Position) ([]Record, Position, error){
						func(Position) ([]Record, Position, error) { return nil, 0, c.err },
					},
					end: cancel,
				}
				f := New(&Follower{
					Log: l, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 },
					Apply: func([]Record, bool) {}, OnConfirmed: func(time.Duration) {},
					FetchSnapshot: func(context.Context, string) (Tail, error) {
						return Tail{Records: records(1, "old"), Next: c.next, Snapshot: true}, nil
					},
					ReadsLog: func() bool { return true },
				})
				go f.Run(ctx)
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				if f.Next() < 9 {
					t.Errorf("went back from 9 to %s", f.Next())
				}
			})
		})
	}
}
