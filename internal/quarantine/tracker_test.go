package quarantine

import (
	"slices"
	"testing"
	"time"
)

// recordCrash records a crash at a time in milliseconds.
func recordCrash(tr *Tracker, incarnation IncarnationKey, atMs int, suspects ...Fingerprint) Change {
	at := time.Duration(atMs) * time.Millisecond
	return tr.RecordCrash(incarnation, at, suspects, at)
}

func held(tr *Tracker, f Fingerprint, atMs int) bool {
	return tr.Status(f, time.Duration(atMs)*time.Millisecond).Held
}

func TestRequestHeldAfterThreeCrashes(t *testing.T) {
	tr := NewTracker()
	recordCrash(tr, 1, 0, 7)
	recordCrash(tr, 2, 100, 7)
	if c := recordCrash(tr, 2, 110, 7); c.Broadcast || held(tr, 7, 110) {
		t.Fatal("a crash that was reported twice counts twice")
	}
	if c := recordCrash(tr, 3, 200, 7); !slices.Equal(c.Held, []Fingerprint{7}) {
		t.Fatalf("change: %+v", c)
	}
	if s := tr.Status(7, 200*time.Millisecond); !s.Held || s.Remaining != HoldTTL || s.Crashes != 3 {
		t.Fatalf("status: %+v", s)
	}
	if held(tr, 7, int((HoldTTL + time.Second).Milliseconds())) {
		t.Error("the hold does not expire")
	}
}

// Guards against holding a harmless request that ran beside the crashing one.
func TestCrashAttributedToOneRequest(t *testing.T) {
	const crashing, bystander = 7, 8
	tr := NewTracker()
	recordCrash(tr, 1, 0, crashing, bystander)
	recordCrash(tr, 2, 100, crashing, bystander)
	recordCrash(tr, 3, 200, crashing, bystander)
	if held(tr, crashing, 200) || held(tr, bystander, 200) {
		t.Fatal("a request with an ambiguous crash history is held")
	}
	recordCrash(tr, 4, 300, crashing)
	if !held(tr, crashing, 300) || held(tr, bystander, 300) {
		t.Fatal("the crash that resolves the tie does not count")
	}
}

func TestHoldReleasedWhenCrashesAttributedToAnother(t *testing.T) {
	const crashing, bystander = 7, 8
	tr := NewTracker()
	for key := range IncarnationKey(3) {
		recordCrash(tr, key, int(key)*100, bystander)
	}
	if !held(tr, bystander, 200) {
		t.Fatal("not held")
	}
	var c Change
	for key := range IncarnationKey(4) {
		c = c.Merge(recordCrash(tr, key, 300, crashing))
	}
	if !held(tr, crashing, 300) || held(tr, bystander, 300) || !slices.Contains(c.Released, bystander) {
		t.Fatalf("held %v %v, change: %+v", held(tr, crashing, 300), held(tr, bystander, 300), c)
	}
}

func TestAmbiguousRequestHeldAfterTimeout(t *testing.T) {
	tr := NewTracker()
	for key := range IncarnationKey(3) {
		recordCrash(tr, key, 0, 7, 8)
	}
	tr.RecordSuccess(8, 100*time.Millisecond)
	c := tr.Reevaluate(7, ambiguityTimeout)
	if !slices.Equal(c.Held, []Fingerprint{7}) || held(tr, 8, 2000) {
		t.Fatalf("change: %+v", c)
	}
}

// Guards against holding a request that many callers send at once and that succeeds.
func TestSuccessfulRequestNotHeld(t *testing.T) {
	tr := NewTracker()
	tr.RecordSuccess(7, 900*time.Millisecond)
	for key := range IncarnationKey(3) {
		recordCrash(tr, key, 1000, 7)
	}
	if held(tr, 7, 1000) {
		t.Fatal("a request that had just succeeded is held")
	}
	for key := range IncarnationKey(2) {
		recordCrash(tr, 10+key, 5000, 7)
	}
	tr.RecordSuccess(7, 6*time.Second)
	recordCrash(tr, 20, 9000, 7)
	if s := tr.Status(7, 9*time.Second); s.Held || s.Crashes != 1 {
		t.Fatalf("status: %+v", s)
	}
}

// Trackers that exchange updates in any order hold the same requests.
func TestTrackersConverge(t *testing.T) {
	const now = time.Second
	var all []*Tracker
	for i := range 3 {
		tr := NewTracker()
		tr.RecordCrash(IncarnationKey(i), now, []Fingerprint{7, Fingerprint(100 + i)}, now)
		all = append(all, tr)
	}
	for range 2 {
		for _, from := range all {
			for _, to := range all {
				to.Merge(from.Update(now, false), now)
			}
		}
	}
	for i, tr := range all {
		if !tr.Status(7, now).Held || tr.Status(100, now).Held {
			t.Errorf("daemon %d: %+v", i, tr.Status(7, now))
		}
	}
}

func TestNewPeerReceivesAllHolds(t *testing.T) {
	old, newPeer := NewTracker(), NewTracker()
	for key := range IncarnationKey(3) {
		recordCrash(old, key, 0, 7)
	}
	now := time.Minute
	if u := old.Update(now, false); !u.Empty() {
		t.Fatalf("an expired entry is broadcast: %+v", u)
	}
	newPeer.Merge(old.Update(now, true), 5*time.Minute)
	s := newPeer.Status(7, 5*time.Minute)
	if !s.Held || s.Remaining != HoldTTL-now {
		t.Fatalf("status: %+v", s)
	}
}

// A peer that has not received a release must not restore the hold.
func TestReleaseOverridesOlderUpdate(t *testing.T) {
	local, remote := NewTracker(), NewTracker()
	for key := range IncarnationKey(3) {
		recordCrash(local, key, 0, 7)
		recordCrash(remote, key, 0, 7)
	}
	now := 5 * time.Second
	local.ApplyClearance(7, now, now)
	local.Merge(remote.Update(now, true), now)
	if local.Status(7, now).Held {
		t.Fatal("an older update restored the hold")
	}
	remote.Merge(local.Update(now, false), now)
	if remote.Status(7, now).Held {
		t.Fatal("the clearance was not broadcast")
	}
}

// Memory and update size are bounded, whatever the number of crashes.
func TestTrackerIsBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 4 * maxCrashes {
		list := make([]Fingerprint, 2*maxSuspects)
		for j := range list {
			list[j] = Fingerprint(i*1000 + j)
		}
		recordCrash(tr, IncarnationKey(i), i, append(list, Fingerprint(1<<40+i/3))...)
	}
	for i := range 2 * maxHolds {
		tr.ApplyHold(Fingerprint(1<<50+i), 0, time.Hour, time.Second)
	}
	u := tr.Update(4*maxCrashes*time.Millisecond, true)
	suspects := 0
	for _, e := range u.Crashes {
		suspects += len(e.Suspects)
	}
	if len(tr.crashes) > maxCrashes || len(tr.holds) > maxHolds || len(u.Crashes) > maxCrashesPerUpdate || suspects > maxCrashesPerUpdate*maxEntriesPerUpdate || len(u.Holds) > maxEntriesPerUpdate {
		t.Errorf("%d crashes, %d holds; in the update: %d crashes with %d suspects, %d holds", len(tr.crashes), len(tr.holds), len(u.Crashes), suspects, len(u.Holds))
	}
}

func TestFingerprint(t *testing.T) {
	f := FingerprintOf("w", "h", "POST", "/a", []byte("x"))
	for name, other := range map[string]Fingerprint{
		"workspace": FingerprintOf("v", "h", "POST", "/a", []byte("x")), "target": FingerprintOf("w", "h", "POST", "/b", []byte("x")),
		"body": FingerprintOf("w", "h", "POST", "/a", []byte("y")), "a boundary between parts": FingerprintOf("w", "hP", "OST", "/a", []byte("x")),
	} {
		if other == f {
			t.Errorf("a different %s gives the same fingerprint", name)
		}
	}
	parsed, err := ParseFingerprint(f.String())
	if err != nil || parsed != f {
		t.Errorf("%s parses as %s, error %v", f, parsed, err)
	}
	if _, err := ParseFingerprint("12"); err == nil {
		t.Error("a text that is too short is accepted")
	}
}

// Servers that keep their name across restarts can crash more than once.
func TestRepeatedCrashesOfOneServerCount(t *testing.T) {
	tr := NewTracker()
	for i := range 3 {
		at := i * int((2 * CrashDedupWindow).Milliseconds())
		recordCrash(tr, 1, at, 7)
		recordCrash(tr, 1, at+int(CrashDedupWindow.Milliseconds())/2, 7, 8)
	}
	if s := tr.Status(7, time.Minute); s.Crashes != 3 || !s.Held {
		t.Fatalf("status: %+v", s)
	}
}

// Guards against clearances that peers rebroadcast to each other forever.
func TestClearanceBroadcastExpires(t *testing.T) {
	const latency = 3 * time.Millisecond
	now := time.Second
	all := []*Tracker{NewTracker(), NewTracker()}
	for _, tr := range all {
		for key := range IncarnationKey(2) {
			tr.RecordCrash(key, now, []Fingerprint{7}, now)
		}
	}
	all[0].RecordSuccess(7, now+100*time.Millisecond)
	for now += 100 * time.Millisecond; now < 10*broadcastTTL; now += 50 * time.Millisecond {
		for i, tr := range all {
			all[1-i].Merge(tr.Update(now, false), now+latency)
		}
	}
	for i, tr := range all {
		if tr.Status(7, now).Crashes != 0 {
			t.Errorf("daemon %d: not cleared", i)
		}
		if u := tr.Update(now, false); !u.Empty() || len(tr.pending) > 0 {
			t.Errorf("daemon %d still broadcasts %+v, %d entries pending", i, u, len(tr.pending))
		}
	}
}

const commonPart, crashingPart = Fingerprint(partTag<<tagShift | 1), Fingerprint(partTag<<tagShift | 2)

// Guards against holding a part of prompts that answered requests carry, and against unlike requests
// that crash servers by one part.
func TestPartHeldUnlessRequestsWithItSucceed(t *testing.T) {
	tr := NewTracker()
	tr.RecordSuccess(commonPart, 500*time.Millisecond)
	for i := range 3 {
		recordCrash(tr, IncarnationKey(i), 1000+i*100, commonPart, crashingPart, Fingerprint(i+1))
	}
	if held(tr, commonPart, 1200) || !held(tr, crashingPart, 1200) || held(tr, 1, 1200) {
		t.Errorf("held: common %v, crashing %v, request %v", held(tr, commonPart, 1200), held(tr, crashingPart, 1200), held(tr, 1, 1200))
	}
	id := Identity{Request: 9, Parts: []Fingerprint{commonPart, crashingPart}}
	if s := tr.IdentityStatus(id, 1200*time.Millisecond); !s.Held || s.Suspect != crashingPart {
		t.Errorf("status of a request with both: %+v", s)
	}
}

// Guards against holding a request's part for crashes that its retries explain.
func TestRepeatedRequestHeldInsteadOfItsPart(t *testing.T) {
	tr := NewTracker()
	for i := range 3 {
		recordCrash(tr, IncarnationKey(i), i*100, crashingPart, 7)
	}
	if !held(tr, 7, 200) || held(tr, crashingPart, 200) {
		t.Errorf("held: request %v, part %v", held(tr, 7, 200), held(tr, crashingPart, 200))
	}
}

// Guards against a long hold of a common part with the same crashes as the crashing one, before any
// request has succeeded.
func TestPartsWithTheSameCrashesAreTriedFirst(t *testing.T) {
	tr := NewTracker()
	crash := func(i, atMs int, parts ...Fingerprint) { recordCrash(tr, IncarnationKey(i), atMs, parts...) }
	for i := range 4 {
		crash(i, i*100, commonPart, crashingPart, Fingerprint(i+1))
	}
	if !held(tr, commonPart, 300) || !held(tr, crashingPart, 300) || held(tr, commonPart, 300+1600) {
		t.Fatal("parts with the same crashes are not held for the trial period")
	}
	tr.RecordSuccess(commonPart, 2500*time.Millisecond)
	crash(4, 2600, commonPart, crashingPart, 5)
	if held(tr, commonPart, 2600) || !held(tr, crashingPart, 2600) || tr.Status(crashingPart, 2600*time.Millisecond).Remaining < time.Minute {
		t.Errorf("common %+v, crashing %+v", tr.Status(commonPart, 2600*time.Millisecond), tr.Status(crashingPart, 2600*time.Millisecond))
	}
}

// Guards against parts that always come together and crash servers after each trial.
func TestPartsThatNeverDifferAreHeldAfterTrials(t *testing.T) {
	tr := NewTracker()
	at := 0
	for i := range 4 + maxTrials {
		at += 3000
		recordCrash(tr, IncarnationKey(i), at, commonPart, crashingPart, Fingerprint(i+1))
	}
	if left := tr.Status(crashingPart, time.Duration(at)*time.Millisecond).Remaining; left < time.Minute {
		t.Errorf("held for %s", left)
	}
}

// Guards against a daemon that holds a common part because it has served no request with it.
func TestPeersExoneratePartsThatSucceed(t *testing.T) {
	serving, other := NewTracker(), NewTracker()
	serving.RecordSuccess(commonPart, 0)
	for i := range 4 {
		now := time.Duration(1+i) * time.Second
		other.RecordCrash(IncarnationKey(i), now, []Fingerprint{commonPart, crashingPart, Fingerprint(i + 1)}, now)
		serving.Merge(other.Update(now, false), now+time.Millisecond)
		other.Merge(serving.Update(now+time.Millisecond, false), now+2*time.Millisecond)
	}
	now := 5 * time.Second
	for i, tr := range []*Tracker{serving, other} {
		if tr.Status(commonPart, now).Held || !tr.Status(crashingPart, now).Held {
			t.Errorf("daemon %d: common %+v, crashing %+v", i, tr.Status(commonPart, now), tr.Status(crashingPart, now))
		}
	}
}

// Guards against trials that are used up by the crashes of a second, during which no sound request can
// succeed.
func TestCrashesDuringTrialDoNotEndIt(t *testing.T) {
	tr := NewTracker()
	for i := range 4 + 2*maxTrials {
		recordCrash(tr, IncarnationKey(i), i*100, commonPart, crashingPart, Fingerprint(i+1))
	}
	if left := tr.Status(commonPart, time.Second).Remaining; left > 2*trialPeriod {
		t.Errorf("held for %s", left)
	}
}

// Guards against holding harmless requests that ran beside unlike crashing ones on the same servers.
func TestPartHeldInsteadOfSeveralRequests(t *testing.T) {
	tr := NewTracker()
	for i := range 3 {
		recordCrash(tr, IncarnationKey(i), i*100, crashingPart, 7, 8, 9)
	}
	tr.Reevaluate(8, ambiguityTimeout+time.Second)
	if !held(tr, crashingPart, 300) || held(tr, 7, 300) || held(tr, 8, 300) {
		t.Errorf("held: part %v, requests %v %v", held(tr, crashingPart, 300), held(tr, 7, 300), held(tr, 8, 300))
	}
}

// Guards against a hold that stays after a late clearance has left it too few crashes.
func TestLateClearanceReleasesHoldWithTooFewCrashes(t *testing.T) {
	tr := NewTracker()
	for i := range 3 {
		recordCrash(tr, IncarnationKey(i), i*100, 7)
	}
	c := tr.ApplyClearance(7, 150*time.Millisecond, 210*time.Millisecond)
	if held(tr, 7, 210) || !slices.Contains(c.Released, 7) {
		t.Errorf("status %+v, change %+v", tr.Status(7, 210*time.Millisecond), c)
	}
}
