package feed

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// scriptedLog is a log with scripted responses to reads. After the last one it ends the
// context of the follower.
type scriptedLog struct {
	mu        sync.Mutex
	newest    func() ([]Record, Position, error)
	reads     []func(from Position) ([]Record, Position, error)
	positions []Position
	waits     []time.Duration
	end       context.CancelFunc
}

func (s *scriptedLog) Newest(context.Context, string, func(), func() bool) ([]Record, Position, error) {
	return s.newest()
}

func (s *scriptedLog) Read(ctx context.Context, _ string, from Position, wait time.Duration, _ func()) ([]Record, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
	s.positions = append(s.positions, from)
	if len(s.reads) == 0 {
		s.end()
		return nil, 0, ctx.Err()
	}
	f := s.reads[0]
	s.reads = s.reads[1:]
	return f(from)
}

// End takes its response from reads as well.
func (s *scriptedLog) End(ctx context.Context, topic string) (Position, error) {
	_, end, err := s.Read(ctx, topic, 0, 0, nil)
	return end, err
}

func (s *scriptedLog) Append(context.Context, string, string, []byte, *Position) error { return nil }

func runFollower(s *scriptedLog) (applied []Record, confirmed []time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.end = cancel
	clock := time.Duration(0)
	f := &Follower{
		Log: s, Topic: "t", Logger: log.New(io.Discard), MaxWait: time.Minute,
		BootTime:    func() time.Duration { clock += time.Second; return clock },
		Apply:       func(r []Record, _ bool) { applied = append(applied, r...) },
		OnConfirmed: func(at time.Duration) { confirmed = append(confirmed, at) },
	}
	f.Run(ctx)
	return applied, confirmed
}

func records(from Position, keys ...string) []Record {
	var out []Record
	for i, k := range keys {
		out = append(out, Record{Key: k, Value: []byte(k), At: from + Position(i)})
	}
	return out
}

func TestFollowerReadsOnFromSnapshot(t *testing.T) {
	s := &scriptedLog{
		newest: func() ([]Record, Position, error) { return records(3, "a", "b"), 5, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(from Position) ([]Record, Position, error) { return records(from, "c"), 6, nil },
		},
	}
	applied, confirmed := runFollower(s)
	if len(applied) != 3 || s.positions[0] != 5 || s.positions[1] != 6 {
		t.Fatalf("applied %v, read from %v", applied, s.positions)
	}
	if len(confirmed) != 2 {
		t.Fatalf("confirmed %v", confirmed)
	}
}

// A response that does not reach the end of the topic must not confirm the follower as
// current.
func TestPartialReadDoesNotConfirm(t *testing.T) {
	s := &scriptedLog{
		newest: func() ([]Record, Position, error) { return nil, 0, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(from Position) ([]Record, Position, error) { return records(from, "a"), 9, nil },
		},
	}
	if _, confirmed := runFollower(s); len(confirmed) != 1 {
		t.Fatalf("confirmed %v, want only the load", confirmed)
	}
}

func TestCompactedRecordsAreReloaded(t *testing.T) {
	loads := 0
	s := &scriptedLog{
		newest: func() ([]Record, Position, error) { loads++; return records(Position(loads), "a"), 10, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 0, ErrCompacted },
		},
	}
	if applied, _ := runFollower(s); loads != 2 || len(applied) != 2 {
		t.Fatalf("loaded %d times, applied %v", loads, applied)
	}
}

func TestFailedReadsAreRetriedWithoutConfirming(t *testing.T) {
	fail := func(Position) ([]Record, Position, error) { return nil, 0, errors.New("down") }
	s := &scriptedLog{
		newest: func() ([]Record, Position, error) { return nil, 0, nil },
		reads: []func(Position) ([]Record, Position, error){
			fail, fail,
			func(from Position) ([]Record, Position, error) { return records(from, "a"), 1, nil },
		},
	}
	if applied, confirmed := runFollower(s); len(applied) != 1 || len(confirmed) != 2 {
		t.Fatalf("applied %v, confirmed %v", applied, confirmed)
	}
}

// After an outage, the first read must return at once: a waiting read would reveal the
// recovery only after a change or at the end of its wait.
func TestFirstReadAfterAnOutageDoesNotWait(t *testing.T) {
	s := &scriptedLog{
		newest: func() ([]Record, Position, error) { return nil, 0, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 0, errors.New("down") },
			func(Position) ([]Record, Position, error) { return nil, 0, nil },
		},
	}
	runFollower(s)
	if s.waits[0] != time.Minute || s.waits[1] != 0 || s.waits[2] != time.Minute {
		t.Errorf("reads waited %v", s.waits)
	}
}

// A read on a dead connection must be abandoned when another reader is ahead.
func TestReadBehindAnotherReaderIsAbandoned(t *testing.T) {
	abandoned := false
	f := &Follower{Logger: log.New(io.Discard)}
	now := time.Now()
	f.currentRead = &pendingRead{startedAt: now.Add(-time.Second), cancel: func(error) { abandoned = true }}
	f.ObservePeerPosition(4)
	f.CheckLag(now)
	if abandoned {
		t.Fatal("the read was abandoned before lagTimeout")
	}
	f.CheckLag(now.Add(time.Second))
	if !abandoned {
		t.Fatal("the read continues although another reader is ahead")
	}
}

// A follower must read the log itself if the log has moved on and no peer has the records.
func TestFollowerReadsLogWhenPeersCannot(t *testing.T) {
	var f *Follower
	s := &scriptedLog{
		newest: func() ([]Record, Position, error) { return nil, 3, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 5, nil }, // ProbeEnd
			func(from Position) ([]Record, Position, error) { return records(from, "a", "b"), 5, nil },
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.end = cancel
	loaded, done := make(chan struct{}), make(chan struct{})
	f = New(&Follower{
		Log: s, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 }, OnConfirmed: func(time.Duration) {},
		Apply: func(r []Record, snapshot bool) {
			if snapshot {
				close(loaded)
			}
			if len(r) == 2 {
				close(done)
				cancel()
			}
		},
		FetchTail: func(context.Context, string, Position) (Tail, error) { return Tail{}, errors.New("no peer is ahead") },
		ReadsLog:  func() bool { return false },
	})
	go f.Run(ctx)
	<-loaded
	if current, err := f.ProbeEnd(ctx); current || err != nil {
		t.Fatal(err)
	}
	f.CheckLag(time.Now().Add(time.Second))
	<-done
}

// A follower that lags must not abandon a read that began after the change and can still be
// answered in time, or a slow link would never deliver a long record.
func TestReadIsNotAbandonedBeforeItsTimeout(t *testing.T) {
	abandoned := 0
	f := &Follower{Logger: log.New(io.Discard)}
	now := time.Now()
	f.currentRead = &pendingRead{startedAt: now.Add(10 * time.Millisecond), cancel: func(error) { abandoned++ }}
	f.ObservePeerPosition(4)
	f.behindSince = now
	f.CheckLag(now.Add(2 * lagTimeout))
	if abandoned != 0 {
		t.Fatal("a read that began after the change was abandoned")
	}
	if f.CheckLag(f.currentRead.startedAt.Add(responseTimeout)); abandoned != 1 {
		t.Fatal("an unanswered read continues")
	}
}

// Records that peers refuse as too long have to be read from the log.
func TestLongRecordsAreReadFromTheLog(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.FetchTail = func(context.Context, string, Position) (Tail, error) { return Tail{}, ErrTooLong }
	f.fetchFromPeer(context.Background())
	if !f.mustReadLog.Load() {
		t.Fatal("the follower does not read the log")
	}
}

// A follower must not wait for one that follows peers instead of the log, as that one would
// never become available again.
func TestFollowerDoesNotWaitForDependencyOnPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	dependency := New(&Follower{Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 }, ReadsLog: func() bool { return false }})
	dependency.FetchTail = func(context.Context, string, Position) (Tail, error) { return Tail{}, errors.New("no peer is ahead") }
	dependency.loaded.Store(true)
	dependency.recordFailure(ctx, errors.New("log unreachable"))
	dependent := New(&Follower{Logger: log.New(io.Discard), DependsOn: dependency})
	go dependency.followPeers(ctx)
	dependent.awaitDependency(ctx)
	if ctx.Err() != nil {
		t.Fatal("waits for a follower that does not read the log")
	}
}

func TestBackoffIsLongerForStandby(t *testing.T) {
	const standbyBackoff = 9 * time.Second
	designated := true
	f := New(&Follower{Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 }, IsDesignatedReader: func() bool { return designated }, MaxStandbyBackoff: func() time.Duration { return standbyBackoff }})
	longest := func() (out time.Duration) {
		f.failures = 0
		for range 9 {
			out = f.recordFailure(context.Background(), errors.New("down"))
		}
		return out
	}
	if got := longest(); got != maxBackoff {
		t.Errorf("a designated reader backs off for %s", got)
	}
	if designated = false; longest() != standbyBackoff {
		t.Errorf("a standby backs off for %s", longest())
	}
}

func TestTailFromPosition(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.apply(records(0, "a", "b"), false, 2)
	f.apply([]Record{{Key: "a", At: 2}}, false, 3)
	tail := f.TailFrom(1)
	got, next := tail.Records, tail.Next
	if len(got) != 2 || got[0].Key != "b" || got[1].Key != "a" || got[1].Value != nil || next != 3 {
		t.Fatalf("got %v up to %d", got, next)
	}
}

// Lags of successive changes must not add up, or every change in a series would make all
// followers read the log.
func TestLagsOfSuccessiveChangesDoNotAddUp(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.ObservePeerPosition(1)
	first := time.Now()
	f.apply(records(0, "a"), false, 1)
	f.ObservePeerPosition(2)
	f.behindSince = first.Add(10 * lagTimeout)
	f.CheckLag(first.Add(10*lagTimeout + lagTimeout/2))
	if f.mustReadLog.Load() {
		t.Fatal("reads the log although no lag lasted long")
	}
}

// A snapshot omits removed keys, so a tail from before it would hide their removal.
func TestTailFromBeforeSnapshotIsEmpty(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.apply(records(6, "c"), true, 9) // the removal of a at 7 is not among the newest
	if got := f.TailFrom(5); len(got.Records) != 0 || got.Next > 5 {
		t.Errorf("got %+v", got)
	}
	f.apply([]Record{{Key: "b", At: 9}}, false, 10)
	if got := f.TailFrom(9); len(got.Records) != 1 || got.Next != 10 || got.Snapshot {
		t.Errorf("got %+v", got)
	}
}

// A position of an earlier era gets a snapshot of all keys.
func TestTailFromEarlierEraIsSnapshot(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.apply(records(NewPosition(1, 3), "a", "b"), true, NewPosition(1, 5))
	f.apply([]Record{{Key: "a", At: NewPosition(1, 5)}}, false, NewPosition(1, 6))
	got := f.TailFrom(NewPosition(0, 90))
	if len(got.Records) != 1 || got.Records[0].Key != "b" || !got.Snapshot || got.Next != NewPosition(1, 6) {
		t.Errorf("got %+v", got)
	}
}

func TestPositionsOrderByEra(t *testing.T) {
	if NewPosition(1, 0) <= NewPosition(0, 1<<40) || NewPosition(2, 7).Era() != 2 || NewPosition(2, 7).Offset() != 7 || NewPosition(2, 7).Next() != NewPosition(2, 8) {
		t.Error("positions are out of order")
	}
	if NewPosition(MaxEra, 0).Era() != MaxEra {
		t.Error("the largest era does not fit")
	}
}
