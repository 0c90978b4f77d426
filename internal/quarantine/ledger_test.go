package quarantine

import (
	"slices"
	"testing"
	"time"
)

// ended tells a ledger of the end of a run with some requests, at a time in ms.
func ended(l *Tracker, run IncarnationKey, atMs int, suspects ...Fingerprint) Change {
	at := time.Duration(atMs) * time.Millisecond
	return l.RecordCrash(run, at, suspects, at)
}

func held(l *Tracker, f Fingerprint, atMs int) bool {
	return l.Status(f, time.Duration(atMs)*time.Millisecond).Held
}

func TestRequestIsHeldAfterThreeEnds(t *testing.T) {
	l := NewTracker()
	ended(l, 1, 0, 7)
	ended(l, 2, 100, 7)
	if c := ended(l, 2, 110, 7); c.Broadcast || held(l, 7, 110) {
		t.Fatal("an end that was told twice counts twice")
	}
	if c := ended(l, 3, 200, 7); !slices.Equal(c.Held, []Fingerprint{7}) {
		t.Fatalf("changed %+v", c)
	}
	if s := l.Status(7, 200*time.Millisecond); !s.Held || s.Remaining != HoldTTL || s.Crashes != 3 {
		t.Fatalf("stands %+v", s)
	}
	if held(l, 7, int((HoldTTL + time.Second).Milliseconds())) {
		t.Error("held for good")
	}
}

// Guards against this failure: a harmless request was refused for an hour.
func TestEndIsLaidToOneRequest(t *testing.T) {
	const deadly, beside = 7, 8
	l := NewTracker()
	ended(l, 1, 0, deadly, beside)
	ended(l, 2, 100, deadly, beside)
	ended(l, 3, 200, deadly, beside)
	if held(l, deadly, 200) || held(l, beside, 200) {
		t.Fatal("one of two that were at the same ends is held")
	}
	ended(l, 4, 300, deadly)
	if !held(l, deadly, 300) || held(l, beside, 300) {
		t.Fatal("the end that tells them apart does not count")
	}
}

func TestOneWhoseEndsAreLaidToAnotherIsReleased(t *testing.T) {
	const deadly, beside = 7, 8
	l := NewTracker()
	for run := range IncarnationKey(3) {
		ended(l, run, int(run)*100, beside)
	}
	if !held(l, beside, 200) {
		t.Fatal("not held")
	}
	var c Change
	for run := range IncarnationKey(4) {
		c = c.with(ended(l, run, 300, deadly))
	}
	if !held(l, deadly, 300) || held(l, beside, 300) || !slices.Contains(c.Released, beside) {
		t.Fatalf("held %v %v, changed %+v", held(l, deadly, 300), held(l, beside, 300), c)
	}
}

func TestTwoAtTheSameEndsAreHeldIfNeitherIsAnswered(t *testing.T) {
	l := NewTracker()
	for run := range IncarnationKey(3) {
		ended(l, run, 0, 7, 8)
	}
	l.RecordSuccess(8, 100*time.Millisecond)
	c := l.Reevaluate(7, doubtFor)
	if !slices.Equal(c.Held, []Fingerprint{7}) || held(l, 8, 2000) {
		t.Fatalf("changed %+v", c)
	}
}

// Guards against this failure: all callers of a poll were refused.
func TestRequestThatSucceedsIsNotHeld(t *testing.T) {
	l := NewTracker()
	l.RecordSuccess(7, 900*time.Millisecond)
	for run := range IncarnationKey(3) {
		ended(l, run, 1000, 7)
	}
	if held(l, 7, 1000) {
		t.Fatal("a request that had just succeeded is held")
	}
	for run := range IncarnationKey(2) {
		ended(l, 10+run, 5000, 7)
	}
	l.RecordSuccess(7, 6*time.Second)
	ended(l, 20, 9000, 7)
	if s := l.Status(7, 9*time.Second); s.Held || s.Crashes != 1 {
		t.Fatalf("stands %+v", s)
	}
}

// What daemons tell each other brings all to the same verdict, in whatever order it comes.
func TestWordBringsOthersToTheSameVerdict(t *testing.T) {
	const now = time.Second
	var all []*Tracker
	for i := range 3 {
		l := NewTracker()
		l.RecordCrash(IncarnationKey(i), now, []Fingerprint{7, Fingerprint(100 + i)}, now)
		all = append(all, l)
	}
	for range 2 {
		for _, from := range all {
			for _, to := range all {
				to.Merge(from.Update(now, false), now)
			}
		}
	}
	for i, l := range all {
		if !l.Status(7, now).Held || l.Status(100, now).Held {
			t.Errorf("daemon %d: %+v", i, l.Status(7, now))
		}
	}
}

func TestDaemonThatIsJustMetIsToldAllHolds(t *testing.T) {
	old, fresh := NewTracker(), NewTracker()
	for run := range IncarnationKey(3) {
		ended(old, run, 0, 7)
	}
	now := time.Minute
	if w := old.Update(now, false); !w.Empty() {
		t.Fatalf("old news is told: %+v", w)
	}
	fresh.Merge(old.Update(now, true), 5*time.Minute)
	s := fresh.Status(7, 5*time.Minute)
	if !s.Held || s.Remaining != HoldTTL-now {
		t.Fatalf("stands %+v", s)
	}
}

// A hold that was released by hand does not come back by the word of one that has not heard.
func TestReleaseGoesBeforeOlderWord(t *testing.T) {
	here, there := NewTracker(), NewTracker()
	for run := range IncarnationKey(3) {
		ended(here, run, 0, 7)
		ended(there, run, 0, 7)
	}
	now := 5 * time.Second
	here.ApplyClearance(7, now, now)
	here.Merge(there.Update(now, true), now)
	if here.Status(7, now).Held {
		t.Fatal("held again by an older word")
	}
	there.Merge(here.Update(now, false), now)
	if there.Status(7, now).Held {
		t.Fatal("the other daemon was not told")
	}
}

// What is remembered and told is bounded, whatever ends how often.
func TestLedgerIsBounded(t *testing.T) {
	l := NewTracker()
	for i := range 4 * mostEnds {
		list := make([]Fingerprint, 2*maxSuspects)
		for j := range list {
			list[j] = Fingerprint(i*1000 + j)
		}
		ended(l, IncarnationKey(i), i, append(list, Fingerprint(1<<40+i/3))...)
	}
	for i := range 2 * mostHolds {
		l.ApplyHold(Fingerprint(1<<50+i), 0, time.Hour, time.Second)
	}
	w := l.Update(4*mostEnds*time.Millisecond, true)
	told := 0
	for _, e := range w.Crashes {
		told += len(e.Suspects)
	}
	if len(l.ends) > mostEnds || len(l.holds) > mostHolds || len(w.Crashes) > maxEndsPerUpdate || told > maxEndsPerUpdate*maxEntriesPerUpdate || len(w.Holds) > maxEntriesPerUpdate {
		t.Errorf("%d ends, %d holds, %d ends told with %d requests, %d holds told", len(l.ends), len(l.holds), len(w.Crashes), told, len(w.Holds))
	}
}

func TestFingerprint(t *testing.T) {
	f := FingerprintOf("w", "h", "POST", "/a", []byte("x"))
	for name, other := range map[string]Fingerprint{
		"workspace": FingerprintOf("v", "h", "POST", "/a", []byte("x")), "target": FingerprintOf("w", "h", "POST", "/b", []byte("x")),
		"body": FingerprintOf("w", "h", "POST", "/a", []byte("y")), "a part that ends elsewhere": FingerprintOf("w", "hP", "OST", "/a", []byte("x")),
	} {
		if other == f {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
	back, err := ParseFingerprint(f.String())
	if err != nil || back != f {
		t.Errorf("%s reads as %s, %v", f, back, err)
	}
	if _, err := ParseFingerprint("12"); err == nil {
		t.Error("a short text is a fingerprint")
	}
}

// Where servers keep their name over a start, each end counts.
func TestServerThatEndsAgainCountsAgain(t *testing.T) {
	l := NewTracker()
	for i := range 3 {
		at := i * int((2 * CrashDedupWindow).Milliseconds())
		ended(l, 1, at, 7)
		ended(l, 1, at+int(CrashDedupWindow.Milliseconds())/2, 7, 8)
	}
	if s := l.Status(7, time.Minute); s.Crashes != 3 || !s.Held {
		t.Fatalf("stands %+v", s)
	}
}

// Guards against this failure: daemons told each other of the same clearances without an end.
func TestClearanceIsToldForAWhileOnly(t *testing.T) {
	const way = 3 * time.Millisecond
	now := time.Second
	all := []*Tracker{NewTracker(), NewTracker()}
	for _, l := range all {
		for run := range IncarnationKey(2) {
			l.RecordCrash(run, now, []Fingerprint{7}, now)
		}
	}
	all[0].RecordSuccess(7, now+100*time.Millisecond)
	for now += 100 * time.Millisecond; now < 10*broadcastTTL; now += 50 * time.Millisecond {
		for i, l := range all {
			all[1-i].Merge(l.Update(now, false), now+way)
		}
	}
	for i, l := range all {
		if l.Status(7, now).Crashes != 0 {
			t.Errorf("daemon %d: not cleared", i)
		}
		if w := l.Update(now, false); !w.Empty() || len(l.pending) > 0 {
			t.Errorf("daemon %d still tells %+v, %d items of news", i, w, len(l.pending))
		}
	}
}
