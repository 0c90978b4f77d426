package feed

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// Guards against daemons that read the log out of turn once a retry has shown that records are missing.
func TestEndSeenByRetryDoesNotSkipMaxLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &scriptedLog{reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 5, nil },
		}}
		f := New(&Follower{
			Log: l, Topic: "t", Logger: log.New(io.Discard), NewestSuffices: true,
			MaxLag: func() time.Duration { return time.Minute },
		})
		if _, err := f.observeEnd(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.CheckLag(time.Now().Add(time.Second))
		if f.mustReadLog.Load() {
			t.Error("reads the log after a lag of 1 s, want 1 min")
		}
	})
}
