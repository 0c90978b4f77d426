package feed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// Pages from a position on hold the newest record of each key that changed since, each once.
func TestRecordLogPagesMatchRecount(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	l, all := newRecordLog(), []Record(nil)
	for at := range Position(3000) {
		r := Record{Key: fmt.Sprint("k", rng.IntN(200)), Value: []byte("0123456789"), At: at}
		if rng.IntN(5) == 0 {
			r.Value = nil
		}
		all = append(all, r)
		l.add([]Record{r})
	}
	for _, from := range []Position{0, 1500, 2900, 2999, 3000} {
		want := map[string]Position{}
		for _, r := range all {
			if r.At >= from {
				want[r.Key] = r.At
			}
		}
		got := map[string]Position{}
		for at := from; ; {
			page, next, more := l.since(at, 100)
			for _, r := range page {
				got[r.Key] = r.At
			}
			if !more {
				break
			}
			at = next
		}
		for key, at := range got {
			if at < from || l.latest[key].At != at {
				t.Errorf("from %d: %s at %d", from, key, at)
			}
			delete(want, key)
		}
		for key, at := range want {
			if l.latest[key].At == at {
				t.Errorf("from %d: %s at %d is missing", from, key, at)
			}
		}
	}
	if len(l.order) > 2*len(l.latest)+minRecordLog {
		t.Errorf("%d positions for %d keys", len(l.order), len(l.latest))
	}
}

// largeLog is a log whose topic takes several calls to read.
type largeLog struct {
	scriptedLog
	calls int
}

func (l *largeLog) Newest(_ context.Context, _ string, _ func(), more func() bool) ([]Record, Position, error) {
	for range 20 {
		if l.calls++; !more() {
			return nil, 0, ErrPartial
		}
	}
	return records(1, "a"), 2, nil
}

// Guards against every daemon of a large fleet reading a large topic page by page at its start, and
// against one that waits forever for another reader.
func TestLargeTopicIsFetchedFromAnotherReader(t *testing.T) {
	for _, c := range []struct {
		name     string
		fetch    func() (Tail, error)
		maxCalls int
	}{
		{"another reader has it", func() (Tail, error) { return Tail{Records: records(1, "a"), Next: 2, Snapshot: true}, nil }, 1},
		{"no reader has it", func() (Tail, error) { return Tail{}, errors.New("no peer is ahead") }, 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &largeLog{}
				f := New(&Follower{
					Log: l, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 },
					Apply: func([]Record, bool) {}, OnConfirmed: func(time.Duration) {}, ReadsLog: func() bool { return false },
					FetchSnapshot: func(context.Context, string) (Tail, error) { return c.fetch() },
				})
				if err := f.loadSnapshot(t.Context(), 0); err != nil || f.Next() != 2 {
					t.Fatalf("next %d, err %v", f.Next(), err)
				}
				if l.calls > c.maxCalls {
					t.Errorf("%d calls, want at most %d", l.calls, c.maxCalls)
				}
			})
		})
	}
}

// Guards against a long record at the first position of a topic that other readers skip, so that no
// daemon but the first learns of the configuration.
func TestLongFirstRecordIsNotSkipped(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.apply([]Record{{Key: "config", Value: make([]byte, 1000), At: 0}}, false, 1)
	if got := f.TailPage(0, false, 100); len(got.Records) != 1 || got.Next != 1 {
		t.Errorf("got %d records, next %d", len(got.Records), got.Next)
	}
	if got := f.TailPage(0, false, 2000); len(got.Records) != 1 || got.Next != 1 {
		t.Errorf("got %d records, next %d", len(got.Records), got.Next)
	}
}
