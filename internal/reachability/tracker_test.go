package reachability

import (
	"testing"
	"time"
)

// Guards against a service that counts as out of reach because of a single server.
func TestServiceIsLostWhenSeveralServersAreOutOfReach(t *testing.T) {
	for _, tt := range []struct {
		name    string
		servers int
		events  []string
		want    bool
	}{
		{"one server of three, again and again", 3, []string{"-a", "-a", "-a"}, false},
		{"two servers of three", 3, []string{"-a", "-b"}, true},
		{"contact in between", 3, []string{"-a", "+", "-b"}, false},
		{"the only server", 1, []string{"-a"}, true},
		{"contact afterwards", 3, []string{"-a", "-b", "+"}, false},
		{"lost again", 2, []string{"-a", "-b", "+", "-a", "-b"}, true},
	} {
		tracker := NewTracker()
		for i, event := range tt.events {
			if event == "+" {
				tracker.Reached("app", time.Duration(i))
				continue
			}
			tracker.Unreached("app", event, tt.servers, Rejected, time.Duration(i))
		}
		if got := tracker.Lost("app"); got != tt.want {
			t.Errorf("%s: lost %t, want %t", tt.name, got, tt.want)
		}
		if tracker.Lost("lm") {
			t.Errorf("%s: another service is lost", tt.name)
		}
	}
}

// Guards against changes that are reported more than once, and wrong times.
func TestLossAndReturnAreReportedOnce(t *testing.T) {
	tracker := NewTracker()
	lost := 0
	for i, server := range []string{"a", "b", "c", "a"} {
		if tracker.Unreached("app", server, 3, Rejected, time.Duration(i)*time.Second) == BecameLost {
			lost++
		}
	}
	regained, lostFor := tracker.Reached("app", 11*time.Second)
	if again, _ := tracker.Reached("app", 12*time.Second); lost != 1 || !regained || lostFor != 10*time.Second || again {
		t.Errorf("lost %d times, regained %t after %s, again %t", lost, regained, lostFor, again)
	}
}

// Guards against servers that are silent for a moment and count as a cut link, and against cut links
// that are not found.
func TestSilentServersAreToldFromCutLink(t *testing.T) {
	const ms = time.Millisecond
	timeOut := func(server string, at time.Duration) func(*Tracker) Finding {
		return func(tr *Tracker) Finding { return tr.Unreached("app", server, 3, TimedOut, at) }
	}
	reject := func(server string, at time.Duration) func(*Tracker) Finding {
		return func(tr *Tracker) Finding { return tr.Unreached("app", server, 3, Rejected, at) }
	}
	judge := func(at time.Duration, verdicts ...Verdict) func(*Tracker) Finding {
		return func(tr *Tracker) Finding { return tr.Judge("app", verdicts, at) }
	}
	contact := func(tr *Tracker) Finding { tr.Reached("app", 0); return Unchanged }
	doubt := []func(*Tracker) Finding{timeOut("a", 0), timeOut("b", 0)}
	for name, tt := range map[string]struct {
		steps []func(*Tracker) Finding
		want  Finding
		lost  bool
	}{
		"time-outs alone":              {doubt, InDoubt, false},
		"the same server again":        {append(doubt[:1:1], timeOut("a", 1)), Unchanged, false},
		"hard errors":                  {[]func(*Tracker) Finding{reject("a", 0), reject("b", 0)}, BecameLost, true},
		"a hard error and a time-out":  {[]func(*Tracker) Finding{reject("a", 0), timeOut("b", 0)}, InDoubt, false},
		"another connects":             {append(doubt, judge(0, Connected, Silent)), BecameLost, true},
		"others reach neither":         {append(doubt, judge(0, Silent, Unknown)), FoundSilent, false},
		"others are refused":           {append(doubt, judge(0, Refused)), FoundSilent, false},
		"no verdict":                   {append(doubt, judge(0, Unknown, Unknown)), BecameLost, true},
		"no other daemon":              {append(doubt, judge(0)), BecameLost, true},
		"contact while they are asked": {append(doubt, contact, judge(0)), Unchanged, false},
		"other servers after contact":  {append(doubt, contact, timeOut("c", 0), judge(0)), Unchanged, false},
		"found silent just now":        {append(doubt, judge(0, Silent), timeOut("a", 999*ms)), Unchanged, false},
		"silent for long":              {append(doubt, judge(0, Silent), timeOut("a", time.Second)), InDoubt, false},
		"still silent":                 {append(doubt, judge(0, Silent), timeOut("a", time.Second), judge(1100*ms, Silent)), FoundSilent, false},
		"silent for too long":          {append(doubt, judge(0, Silent), timeOut("a", 2*time.Second), judge(2*time.Second, Silent)), BecameLost, true},
		"silent, then rejected":        {append(doubt, judge(0, Silent), reject("a", 1), reject("b", 2)), BecameLost, true},
		"silent, contact, silent":      {append(doubt, judge(0, Silent), contact, timeOut("a", 1), timeOut("b", 2)), InDoubt, false},
	} {
		tracker, got := NewTracker(), Unchanged
		for _, step := range tt.steps {
			got = step(tracker)
		}
		if lost := tracker.Lost("app"); got != tt.want || lost != tt.lost {
			t.Errorf("%s: found %d, lost %t, want %d, %t", name, got, lost, tt.want, tt.lost)
		}
	}
}
