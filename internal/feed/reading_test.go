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

// pieceLog answers a read in pieces that come at a period, and then goes on or is silent.
type pieceLog struct {
	Log
	pieces int
	period time.Duration
	whole  bool
}

func (l *pieceLog) Read(ctx context.Context, _ string, from Position, _ time.Duration, heard func()) ([]Record, Position, error) {
	for range l.pieces {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(l.period):
			heard()
		}
	}
	if l.whole {
		return []Record{{Key: "a", Value: []byte("x"), At: from}}, from + 1, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// goneLog has deleted the records from any offset on, and answers with the newest in pieces.
type goneLog struct{ pieceLog }

func (*goneLog) Read(context.Context, string, Position, time.Duration, func()) ([]Record, Position, error) {
	return nil, 0, ErrCompacted
}

func (l *goneLog) Newest(ctx context.Context, topic string, heard func()) ([]Record, Position, error) {
	return l.pieceLog.Read(ctx, topic, 0, 0, heard)
}

func loadedFollower(l Log, applied *int) *Follower {
	f := New(&Follower{
		Log: l, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 },
		Apply: func(r []Record, _ bool) { *applied += len(r) }, OnConfirmed: func(time.Duration) {},
	})
	f.loaded.Store(true)
	f.away.Store(true) // it asks the log not to wait
	return f
}

// Symptom: a daemon with a slow link never read a configuration of 250 KB.
// Sequence: the record takes seconds over the link, in pieces.
// Cause: the time of an answer was counted from the read's beginning.
func TestReadGoesOnWhileItsAnswerComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		applied := 0
		f := loadedFollower(&pieceLog{pieces: 9, period: answerLimit * 2 / 3, whole: true}, &applied)
		if err := f.step(t.Context()); err != nil || applied != 1 {
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
			const period = answerLimit / 2
			f := loadedFollower(&pieceLog{pieces: pieces, period: period}, &applied)
			err := f.step(t.Context())
			if !errors.Is(err, errSilent) {
				t.Fatalf("err %v", err)
			}
			if took, want := time.Since(began), time.Duration(pieces)*period+answerLimit; took != want {
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
		f := loadedFollower(&goneLog{pieceLog{pieces: 9, period: answerLimit * 2 / 3, whole: true}}, &applied)
		if err := f.step(t.Context()); err != nil || applied != 1 {
			t.Fatalf("applied %d, err %v", applied, err)
		}
	})
}
