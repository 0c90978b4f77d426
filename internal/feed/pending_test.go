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

// chunkedLog responds to reads in chunks, and then completes the response or sends nothing more.
type chunkedLog struct {
	Log
	chunks   int
	interval time.Duration
	complete bool
}

func (l *chunkedLog) Read(ctx context.Context, _ string, from Position, _ time.Duration, progress func()) ([]Record, Position, error) {
	for range l.chunks {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(l.interval):
			progress()
		}
	}
	if l.complete {
		return []Record{{Key: "a", Value: []byte("x"), At: from}}, from + 1, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// compactedLog has deleted its records, and returns the newest ones in chunks.
type compactedLog struct{ chunkedLog }

func (*compactedLog) Read(context.Context, string, Position, time.Duration, func()) ([]Record, Position, error) {
	return nil, 0, ErrCompacted
}

func (l *compactedLog) Newest(ctx context.Context, topic string, progress func(), _ func() bool) ([]Record, Position, error) {
	return l.chunkedLog.Read(ctx, topic, 0, 0, progress)
}

func newLoadedFollower(l Log, applied *int) *Follower {
	f := New(&Follower{
		Log: l, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 },
		Apply: func(r []Record, _ bool) { *applied += len(r) }, OnConfirmed: func(time.Duration) {},
	})
	f.loaded.Store(true)
	f.unavailable.Store(true) // reads do not wait
	return f
}

// A read must not time out while its response arrives slowly.
func TestReadContinuesWhileResponseArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		applied := 0
		f := newLoadedFollower(&chunkedLog{chunks: 9, interval: responseTimeout * 2 / 3, complete: true}, &applied)
		if err := f.readOnce(t.Context()); err != nil || applied != 1 {
			t.Fatalf("applied %d, err %v", applied, err)
		}
	})
}

// A read must time out soon after the log goes silent, before or during a response.
func TestSilentReadTimesOut(t *testing.T) {
	for chunks := range 3 {
		synctest.Test(t, func(t *testing.T) {
			applied, start := 0, time.Now()
			const interval = responseTimeout / 2
			f := newLoadedFollower(&chunkedLog{chunks: chunks, interval: interval}, &applied)
			err := f.readOnce(t.Context())
			if !errors.Is(err, errNoResponse) {
				t.Fatalf("err %v", err)
			}
			if elapsed, want := time.Since(start), time.Duration(chunks)*interval+responseTimeout; elapsed != want {
				t.Errorf("timed out after %s, want %s", elapsed, want)
			}
		})
	}
}

// Loading a snapshot after a failed read must have a timeout of its own, which its progress
// extends.
func TestSnapshotLoadHasItsOwnTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		applied := 0
		f := newLoadedFollower(&compactedLog{chunkedLog{chunks: 9, interval: responseTimeout * 2 / 3, complete: true}}, &applied)
		if err := f.readOnce(t.Context()); err != nil || applied != 1 {
			t.Fatalf("applied %d, err %v", applied, err)
		}
	})
}
