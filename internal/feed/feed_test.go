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

// script is a log whose answers are scripted; the last one repeats until the test
// ends it.
type script struct {
	mu     sync.Mutex
	newest func() ([]Record, Position, error)
	reads  []func(from Position) ([]Record, Position, error)
	asked  []Position
	waits  []time.Duration
	end    context.CancelFunc
}

func (s *script) Newest(context.Context, string, func()) ([]Record, Position, error) {
	return s.newest()
}

func (s *script) Read(ctx context.Context, _ string, from Position, wait time.Duration, _ func()) ([]Record, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
	s.asked = append(s.asked, from)
	if len(s.reads) == 0 {
		s.end()
		return nil, 0, ctx.Err()
	}
	f := s.reads[0]
	s.reads = s.reads[1:]
	return f(from)
}

// End takes its answers from the script of reads, too.
func (s *script) End(ctx context.Context, topic string) (Position, error) {
	_, end, err := s.Read(ctx, topic, 0, 0, nil)
	return end, err
}

func (s *script) Append(context.Context, string, string, []byte, *Position) error { return nil }

func follow(s *script) (applied []Record, confirmed []time.Duration) {
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

func TestFollowerReadsOnFromTheNewest(t *testing.T) {
	s := &script{
		newest: func() ([]Record, Position, error) { return records(3, "a", "b"), 5, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(from Position) ([]Record, Position, error) { return records(from, "c"), 6, nil },
		},
	}
	applied, confirmed := follow(s)
	if len(applied) != 3 || s.asked[0] != 5 || s.asked[1] != 6 {
		t.Fatalf("applied %v, asked from %v", applied, s.asked)
	}
	if len(confirmed) != 2 {
		t.Fatalf("confirmed %v", confirmed)
	}
}

// Symptom: a daemon held its configuration for current though records were
// missing.
// Sequence: a read returns a part of what there is.
// Cause: any answer was taken as a confirmation.
func TestPartOfTheRecordsConfirmsNothing(t *testing.T) {
	s := &script{
		newest: func() ([]Record, Position, error) { return nil, 0, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(from Position) ([]Record, Position, error) { return records(from, "a"), 9, nil },
		},
	}
	if _, confirmed := follow(s); len(confirmed) != 1 {
		t.Fatalf("confirmed %v, want the loading only", confirmed)
	}
}

func TestDeletedRecordsAreReadAnew(t *testing.T) {
	loads := 0
	s := &script{
		newest: func() ([]Record, Position, error) { loads++; return records(Position(loads), "a"), 10, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 0, ErrCompacted },
		},
	}
	if applied, _ := follow(s); loads != 2 || len(applied) != 2 {
		t.Fatalf("loaded %d times, applied %v", loads, applied)
	}
}

func TestFailedReadsConfirmNothingAndGoOn(t *testing.T) {
	fail := func(Position) ([]Record, Position, error) { return nil, 0, errors.New("down") }
	s := &script{
		newest: func() ([]Record, Position, error) { return nil, 0, nil },
		reads: []func(Position) ([]Record, Position, error){
			fail, fail,
			func(from Position) ([]Record, Position, error) { return records(from, "a"), 1, nil },
		},
	}
	if applied, confirmed := follow(s); len(applied) != 1 || len(confirmed) != 2 {
		t.Fatalf("applied %v, confirmed %v", applied, confirmed)
	}
}

// Symptom: all daemons refused all requests with keys for 14 seconds after the store was
// back (soak, seed 328).
// Sequence: the store refuses for a while; it is back, and nothing changes.
// Cause: the first read after the outage waited for a change, and only its answer, or a
// look beside it that is spared while the store is away, tells that the store is back.
func TestFirstReadAfterAnOutageDoesNotWait(t *testing.T) {
	s := &script{
		newest: func() ([]Record, Position, error) { return nil, 0, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 0, errors.New("down") },
			func(Position) ([]Record, Position, error) { return nil, 0, nil },
		},
	}
	follow(s)
	if s.waits[0] != time.Minute || s.waits[1] != 0 || s.waits[2] != time.Minute {
		t.Errorf("reads waited %v", s.waits)
	}
}

// Symptom: one daemon learned of a change four seconds after the others.
// Sequence: its connection to the store goes silent while a read waits on it.
// Cause: nothing ended the read before its time.
func TestReadBehindAnotherReaderIsGivenUp(t *testing.T) {
	given := false
	f := &Follower{Logger: log.New(io.Discard)}
	now := time.Now()
	f.reading = &reading{began: now.Add(-time.Second), giveUp: func(error) { given = true }}
	f.ObservePeerPosition(4)
	f.CheckLag(now)
	if given {
		t.Fatal("given up at once: both hear of a record within milliseconds of each other")
	}
	f.CheckLag(now.Add(time.Second))
	if !given {
		t.Fatal("the read goes on though another reader is ahead")
	}
}

// Symptom: a daemon served by an old configuration for 2.1 seconds.
// Sequence: the daemons that read the store for all are cut off from it; a
// configuration changes.
// Cause: the others saw that the store had gone on, and asked each other for what it
// held.
func TestFollowerReadsTheLogWhenNobodyElseCan(t *testing.T) {
	var f *Follower
	s := &script{
		newest: func() ([]Record, Position, error) { return nil, 3, nil },
		reads: []func(Position) ([]Record, Position, error){
			func(Position) ([]Record, Position, error) { return nil, 5, nil }, // the look
			func(from Position) ([]Record, Position, error) { return records(from, "a", "b"), 5, nil },
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.end = cancel
	loaded, done := make(chan struct{}), make(chan struct{})
	f = New(&Follower{
		Log: s, Topic: "t", Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 }, OnConfirmed: func(time.Duration) {},
		Apply: func(r []Record, whole bool) {
			if whole {
				close(loaded)
			}
			if len(r) == 2 {
				close(done)
				cancel()
			}
		},
		FetchTail: func(context.Context, string, Position) (Tail, error) { return Tail{}, errors.New("nobody") },
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

// Symptom: daemons on slow links did not take a long configuration for seconds.
// Sequence: a configuration of 250 KB comes; the daemon hears that others have it and
// begins to read it, which takes 0.3 s over its link.
// Cause: any read of a daemon that had been behind for 0.25 s was given up, also one
// that was being answered, and the next one as well.
func TestReadThatIsBeingAnsweredIsNotGivenUp(t *testing.T) {
	given := 0
	f := &Follower{Logger: log.New(io.Discard)}
	now := time.Now()
	f.reading = &reading{began: now.Add(10 * time.Millisecond), giveUp: func(error) { given++ }}
	f.ObservePeerPosition(4)
	f.expectedAt = now
	f.CheckLag(now.Add(2 * behindLimit))
	if given != 0 {
		t.Fatal("a read that began after the change was given up")
	}
	if f.CheckLag(f.reading.began.Add(answerLimit)); given != 1 {
		t.Fatal("a read that is not answered goes on")
	}
}

// Symptom: a daemon with a 10 Mbit/s link was asked by all others for a long record.
// Sequence: a configuration of hundreds of routes comes; most daemons read from others.
// Cause: records of any length were passed on.
func TestLongRecordsAreReadFromTheLog(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.FetchTail = func(context.Context, string, Position) (Tail, error) { return Tail{}, ErrTooLong }
	f.fetch(context.Background())
	if !f.alone.Load() {
		t.Fatal("the log is not read")
	}
}

// Symptom: a daemon sent requests to a server four seconds after it had said that it
// leaves; it heard of no server any more until its end.
// Sequence: a daemon of a large deployment is cut off from the store for a while. Its
// reading of configurations fails, and goes on by the word of other daemons; then its
// reading of servers fails.
// Cause: the reading of servers waited until the reading of configurations, which no
// longer asked the store, got an answer from it.
func TestFollowerDoesNotWaitForOneThatReadsFromOthers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	first := New(&Follower{Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 }, ReadsLog: func() bool { return false }})
	first.FetchTail = func(context.Context, string, Position) (Tail, error) { return Tail{}, errors.New("nobody") }
	first.loaded.Store(true)
	first.failed(ctx, errors.New("cut off"))
	second := New(&Follower{Logger: log.New(io.Discard), DependsOn: first})
	go first.fromPeers(ctx)
	second.await(ctx)
	if ctx.Err() != nil {
		t.Fatal("waits for a follower that does not ask the log")
	}
}

func TestPausesAreLongerWhereOthersReadForAll(t *testing.T) {
	const idle = 9 * time.Second
	reader := true
	f := New(&Follower{Logger: log.New(io.Discard), BootTime: func() time.Duration { return 0 }, IsDesignatedReader: func() bool { return reader }, MaxStandbyBackoff: func() time.Duration { return idle }})
	longest := func() (out time.Duration) {
		f.fails = 0
		for range 9 {
			out = f.failed(context.Background(), errors.New("down"))
		}
		return out
	}
	if got := longest(); got != longestPause {
		t.Errorf("a reader waits %s", got)
	}
	if reader = false; longest() != idle {
		t.Errorf("another waits %s", longest())
	}
}

func TestRecordsSinceAnOffset(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.apply(records(0, "a", "b"), false, 2)
	f.apply([]Record{{Key: "a", At: 2}}, false, 3)
	tail := f.TailFrom(1)
	got, next := tail.Records, tail.Next
	if len(got) != 2 || got[0].Key != "b" || got[1].Key != "a" || got[1].Value != nil || next != 3 {
		t.Fatalf("got %v up to %d", got, next)
	}
}

// Symptom: in a series of changes every daemon read the store.
// Sequence: a change comes every third of a second; each is fetched from another
// daemon within milliseconds.
// Cause: the time since the first of them counted as the time behind.
func TestBehindAnewIsNotBehindStill(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.ObservePeerPosition(1)
	first := time.Now()
	f.apply(records(0, "a"), false, 1)
	f.ObservePeerPosition(2)
	f.expectedAt = first.Add(10 * behindLimit)
	f.CheckLag(first.Add(10*behindLimit + behindLimit/2))
	if f.alone.Load() {
		t.Fatal("reads the store although it was never behind for long")
	}
}

// Symptom and cause: as in TestDaemonThatJustStartedDoesNotHideARemoval.
func TestWhoReadTheNewestOnlyDoesNotTellWhatWasBefore(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.apply(records(6, "c"), true, 9) // the removal of a at 7 is not among the newest
	if got := f.TailFrom(5); len(got.Records) != 0 || got.Next > 5 {
		t.Errorf("told %+v", got)
	}
	f.apply([]Record{{Key: "b", At: 9}}, false, 10)
	if got := f.TailFrom(9); len(got.Records) != 1 || got.Next != 10 || got.Snapshot {
		t.Errorf("told %+v", got)
	}
}

// One that has read nothing of the store's present era is told all keys there are.
func TestWhoIsInAnEarlierEraIsToldAll(t *testing.T) {
	f := New(&Follower{Logger: log.New(io.Discard), Apply: func([]Record, bool) {}})
	f.apply(records(NewPosition(1, 3), "a", "b"), true, NewPosition(1, 5))
	f.apply([]Record{{Key: "a", At: NewPosition(1, 5)}}, false, NewPosition(1, 6))
	got := f.TailFrom(NewPosition(0, 90))
	if len(got.Records) != 1 || got.Records[0].Key != "b" || !got.Snapshot || got.Next != NewPosition(1, 6) {
		t.Errorf("told %+v", got)
	}
}

func TestPositionsOfALaterEraComeAfterAllBefore(t *testing.T) {
	if NewPosition(1, 0) <= NewPosition(0, 1<<40) || NewPosition(2, 7).Era() != 2 || NewPosition(2, 7).Offset() != 7 || NewPosition(2, 7).Next() != NewPosition(2, 8) {
		t.Error("positions are out of order")
	}
	if NewPosition(MaxEra, 0).Era() != MaxEra {
		t.Error("the largest era does not fit")
	}
}
