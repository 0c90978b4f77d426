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

// chunkedLog answers a read in pieces that come at a period, and then goes on or is silent.
type chunkedLog struct {
	Log
	chunks   int
	interval time.Duration
	complete bool
}

func (l *chunkedLog) Read(ctx context.Context, _ string, from Position, _ time.Duration, heard func()) ([]Record, Position, error) {
	for range l.chunks {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(l.interval):
			heard()
		}
	}
	if l.complete {
		return []Record{{Key: "a", Value: []byte("x"), At: from}}, from + 1, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// compactedLog has deleted the records from any offset on, and answers with the newest in pieces.
type compactedLog struct{ chunkedLog }

func (*compactedLog) Read(context.Context, string, Position, time.Duration, func()) ([]Record, Position, error) {
	return nil, 0, ErrCompacted
}

func (l *compactedLog) Newest(ctx context.Context, topic string, heard func()) ([]Record, Position, error) {
	return l.chunkedLog.Read(ctx, topic, 0, 0, heard)
}

func newLoadedFollower(l Log, applied *int) *Follower {
	f := New(&Follower{
		Log: l, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 },
		Apply: func(r []Record, _ bool) { *applied += len(r) }, OnConfirmed: func(time.Duration) {},
	})
	f.loaded.Store(true)
	f.unavailable.Store(true) // it asks the log not to wait
	return f
}

// Symptom: a daemon with a slow link never read a configuration of 250 KB.
// Sequence: the record takes seconds over the link, in pieces.
// Cause: the time of an answer was counted from the read's beginning.
func TestReadGoesOnWhileItsAnswerComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		applied := 0
		f := newLoadedFollower(&chunkedLog{chunks: 9, interval: responseTimeout * 2 / 3, complete: true}, &applied)
		if err := f.readOnce(t.Context()); err != nil || applied != 1 {
			t.Fatalf("applied %d, err %v", applied, err)
		}
	})
}

// Symptom: a daemon learned nothing of the store for 15 s after it was back.
// Sequence: the store goes silent before, or in the middle of, an answer.
// Cause: a read was given up only after the longest time that any read may wait.
func TestReadIsGivenUpWithoutASignOfAnAnswer(t *testing.T) {
	for pieces := range 3 {
		synctest.Test(t, func(t *testing.T) {
			applied, began := 0, time.Now()
			const period = responseTimeout / 2
			f := newLoadedFollower(&chunkedLog{chunks: pieces, interval: period}, &applied)
			err := f.readOnce(t.Context())
			if !errors.Is(err, errNoResponse) {
				t.Fatalf("err %v", err)
			}
			if took, want := time.Since(began), time.Duration(pieces)*period+responseTimeout; took != want {
				t.Errorf("given up after %s, want %s", took, want)
			}
		})
	}
}

// Symptom: a daemon with a slow link never learned of a topic again whose records had been
// deleted while it was cut off.
// Sequence: the first read after the outage is told that its records are gone; the newest
// record of each key takes longer than one answer, in pieces.
// Cause: it was read within the limit of the read before it, which its pieces did not renew.
func TestNewestRecordsHaveALimitOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		applied := 0
		f := newLoadedFollower(&compactedLog{chunkedLog{chunks: 9, interval: responseTimeout * 2 / 3, complete: true}}, &applied)
		if err := f.readOnce(t.Context()); err != nil || applied != 1 {
			t.Fatalf("applied %d, err %v", applied, err)
		}
	})
}
