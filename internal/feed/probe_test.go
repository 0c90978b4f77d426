package feed

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// probedFollower returns a follower of which a probe shows that it is behind.
func probedFollower() *Follower {
	return New(&Follower{
		Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 },
		MaxLag: func() time.Duration { return time.Minute },
		Log: &scriptedLog{reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 5, nil },
		}},
	})
}

// Guards against a read of a busy log that each probe of the end begins again.
func TestProbeDoesNotAbandonReadThatCanBeAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := probedFollower()
		ctx, done := f.beginRead(t.Context(), 0)
		defer done()
		time.Sleep(responseTimeout / 4)
		if _, err := f.ProbeEnd(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(responseTimeout / 4)
		if ctx.Err() != nil {
			t.Error("abandoned before its timeout")
		}
	})
}

// Guards against daemons that all read the log at once because all have probed its end.
func TestProbeDoesNotSkipMaxLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := probedFollower()
		if _, err := f.ProbeEnd(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if f.mustReadLog.Load() {
			t.Error("reads the log after 1 s, want 1 min")
		}
	})
}
