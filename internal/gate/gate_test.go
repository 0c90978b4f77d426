package gate

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

var limit = slowstart.Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, BurstSlack: 5}

// alone returns the gate of the only daemon.
func alone() *Gate {
	g := New()
	g.SetView(slowstart.View{Self: 1, Trusted: true}, 0)
	return g
}

// Guards against a send to a domain that is evacuated, and against one that stays closed.
func TestEvacuatedDomainGetsNothingUntilItIsReadmitted(t *testing.T) {
	g := alone()
	s := Server{ID: "a", FailureDomain: "east", Limit: limit}
	if !g.Evacuate("east", time.Minute) || g.Evacuate("east", time.Minute) {
		t.Error("a domain is closed once")
	}
	if got := g.Check(Request{}, s, time.Minute); got != Evacuated {
		t.Errorf("closed: %q", got)
	}
	if got := g.Check(Request{}, Server{ID: "b", FailureDomain: "west"}, time.Minute); got != Open {
		t.Errorf("another domain: %q", got)
	}
	if !g.Readmit("east", time.Hour) || g.Readmit("east", time.Hour) || len(g.Evacuations()) != 0 {
		t.Error("a domain is opened once")
	}
	if got := g.Check(Request{}, s, time.Hour); got != Open {
		t.Errorf("opened: %q", got)
	}
}

// Guards against a rush at the servers of a domain that is readmitted.
func TestServersOfAReadmittedDomainAreWarming(t *testing.T) {
	g := alone()
	s := Server{ID: "a", FailureDomain: "east", Limit: limit}
	g.Evacuate("east", 0)
	g.Readmit("east", time.Minute)
	sends := 0
	for now := time.Minute; now < time.Minute+time.Second; now += time.Millisecond {
		if g.Check(Request{}, s, now) == Open {
			g.RecordSend(s, now)
			sends++
		}
	}
	if sends == 0 || sends > limit.Bound()/2 {
		t.Errorf("%d sends in the first second", sends)
	}
	if got := g.Check(Request{}, s, time.Minute+limit.WarmupPeriod); got != Open {
		t.Errorf("warm: %q", got)
	}
}

// Guards against a daemon that sends to a warming server without knowing the others.
func TestDaemonThatKnowsNobodyWaitsUntilTheServerIsWarm(t *testing.T) {
	g := New()
	s := Server{ID: "a", WarmAt: time.Minute, Limit: limit}
	if got := g.Check(Request{}, s, time.Minute-1); got != Warming {
		t.Errorf("warming: %q", got)
	}
	if got := g.Check(Request{}, s, time.Minute); got != Open {
		t.Errorf("warm: %q", got)
	}
	if got := g.Check(Request{}, Server{ID: "a", WarmAt: time.Minute}, 0); got != Open {
		t.Errorf("without a limit: %q", got)
	}
}

// Guards against a server that warms up again and is taken as warm.
func TestServerThatWarmsUpAgainIsLimitedAgain(t *testing.T) {
	g := New()
	for _, from := range []time.Duration{0, time.Hour} {
		s := Server{ID: "a", WarmAt: from + time.Second, Limit: limit}
		if g.Check(Request{}, s, from) != Warming || g.Check(Request{}, s, from+time.Second) != Open {
			t.Errorf("from %s on", from)
		}
		g.SetView(slowstart.View{}, from+2*time.Second)
	}
	if len(g.meters) != 0 {
		t.Errorf("%d servers that are warm are kept", len(g.meters))
	}
}

// Guards against a request that is sent although one of its reasons forbids it, in any order.
func TestEachReasonRefuses(t *testing.T) {
	g := alone()
	g.Evacuate("east", 0)
	here := Request{Regions: []string{"north"}}
	for want, c := range map[Reason]struct {
		r Request
		s Server
	}{
		Held:      {Request{Held: true}, Server{}},
		Excluded:  {here, Server{Region: "south"}},
		Evacuated: {here, Server{Region: "north", FailureDomain: "east"}},
		Leaving:   {Request{}, Server{Leaving: true}},
		Open:      {here, Server{Region: "north", FailureDomain: "west"}},
	} {
		if got := g.Check(c.r, c.s, time.Minute); got != want {
			t.Errorf("%q in place of %q", got, want)
		}
	}
}

// Guards against an answer that hides when servers are warm.
func TestTallyTellsTheReasonThatEndsSoonest(t *testing.T) {
	var tally Refusals
	if r, _ := tally.Primary(); r != Open {
		t.Errorf("nothing counted: %q", r)
	}
	tally.Add(Leaving, 0)
	tally.Add(Warming, 2*time.Second)
	tally.Add(Warming, time.Second)
	if r, left := tally.Primary(); r != Warming || left != time.Second {
		t.Errorf("%q for %s", r, left)
	}
}

// Guards against a rush at a server that came back under its name before its entry tells.
func TestServerThatEndedCountsAsJustStarted(t *testing.T) {
	g := alone()
	s := Server{ID: "a", Limit: limit}
	sends := func(from time.Duration) (n int) {
		for now := from; now < from+time.Second; now += time.Millisecond {
			if g.Check(Request{}, s, now) == Open {
				g.RecordSend(s, now)
				n++
			}
		}
		return n
	}
	g.ServerTerminated("a", time.Minute)
	if n := sends(time.Minute); n > limit.Bound()/2 {
		t.Errorf("%d sends in a second before its first answer", n)
	}
	g.ServerResponded("a", limit, 2*time.Minute)
	g.ServerResponded("a", limit, 3*time.Minute)
	if n := sends(2 * time.Minute); n > limit.Bound()/2 {
		t.Errorf("%d sends in a second after it", n)
	}
	if n := sends(2*time.Minute + limit.WarmupPeriod); n != 1000 {
		t.Errorf("%d of 1000 sends when it is warm", n)
	}
	g.SetView(slowstart.View{}, 2*time.Minute+limit.WarmupPeriod)
	if len(g.ended) != 0 {
		t.Errorf("%d ends are kept", len(g.ended))
	}
}
