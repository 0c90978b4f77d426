package gate

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

var limit = slowstart.Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, Burst: 5}

// soleDaemonGate returns the gate of a fleet of one daemon.
func soleDaemonGate() *Gate {
	g := New()
	g.SetView(slowstart.View{Self: 1, Trusted: true}, 0)
	return g
}

// An evacuated domain must get no requests, and a readmitted one must get them again.
func TestEvacuatedDomainRefusedUntilReadmitted(t *testing.T) {
	g := soleDaemonGate()
	s := Server{ID: "a", FailureDomain: "east", Limit: limit}
	if !g.Evacuate("east", time.Minute) || g.Evacuate("east", time.Minute) {
		t.Error("Evacuate does not report the change of state")
	}
	if got := g.Check(Request{}, s, time.Minute); got != Evacuated {
		t.Errorf("evacuated: %q", got)
	}
	if got := g.Check(Request{}, Server{ID: "b", FailureDomain: "west"}, time.Minute); got != Allowed {
		t.Errorf("another domain: %q", got)
	}
	if !g.Readmit("east", time.Hour) || g.Readmit("east", time.Hour) || len(g.Evacuations()) != 0 {
		t.Error("Readmit does not report the change of state")
	}
	if got := g.Check(Request{}, s, time.Hour); got != Allowed {
		t.Errorf("readmitted: %q", got)
	}
}

// Guards against overloading the servers of a readmitted domain.
func TestReadmittedDomainWarmsUp(t *testing.T) {
	g := soleDaemonGate()
	s := Server{ID: "a", FailureDomain: "east", Limit: limit}
	g.Evacuate("east", 0)
	g.Readmit("east", time.Minute)
	sends := 0
	for now := time.Minute; now < time.Minute+time.Second; now += time.Millisecond {
		if g.Check(Request{}, s, now) == Allowed {
			g.RecordSend(s, now)
			sends++
		}
	}
	if sends == 0 || sends > limit.MaxPerSecond()/2 {
		t.Errorf("%d sends in the first second", sends)
	}
	if got := g.Check(Request{}, s, time.Minute+limit.WarmupPeriod); got != Allowed {
		t.Errorf("warm: %q", got)
	}
}

// Guards against sends to a warming server by a daemon that does not know its peers.
func TestUntrustedViewRefusesWarmingServer(t *testing.T) {
	g := New()
	s := Server{ID: "a", WarmAt: time.Minute, Limit: limit}
	if got := g.Check(Request{}, s, time.Minute-1); got != Warming {
		t.Errorf("warming: %q", got)
	}
	if got := g.Check(Request{}, s, time.Minute); got != Allowed {
		t.Errorf("warm: %q", got)
	}
	if got := g.Check(Request{}, Server{ID: "a", WarmAt: time.Minute}, 0); got != Allowed {
		t.Errorf("without a limit: %q", got)
	}
}

// Guards against treating a server as warm during its second warmup.
func TestSecondWarmupIsLimited(t *testing.T) {
	g := New()
	for _, from := range []time.Duration{0, time.Hour} {
		s := Server{ID: "a", WarmAt: from + time.Second, Limit: limit}
		if g.Check(Request{}, s, from) != Warming || g.Check(Request{}, s, from+time.Second) != Allowed {
			t.Errorf("warmup from %s", from)
		}
		g.SetView(slowstart.View{}, from+2*time.Second)
	}
	if len(g.pacers) != 0 {
		t.Errorf("%d pacers of warm servers are kept", len(g.pacers))
	}
}

func TestEachReasonRefuses(t *testing.T) {
	g := soleDaemonGate()
	g.Evacuate("east", 0)
	regional := Request{Regions: []string{"north"}}
	for want, c := range map[Reason]struct {
		r Request
		s Server
	}{
		Held:           {Request{Held: true}, Server{}},
		RegionExcluded: {regional, Server{Region: "south"}},
		Evacuated:      {regional, Server{Region: "north", FailureDomain: "east"}},
		Leaving:        {Request{}, Server{Leaving: true}},
		Allowed:        {regional, Server{Region: "north", FailureDomain: "west"}},
	} {
		if got := g.Check(c.r, c.s, time.Minute); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Guards against a retry time later than the first warm server.
func TestRefusalsReportEarliestWarmup(t *testing.T) {
	var refusals Refusals
	if r := refusals.Primary(); r.Reason != Allowed {
		t.Errorf("without refusals: %+v", r)
	}
	refusals.Add(Refusal{Reason: Leaving})
	refusals.Add(Refusal{Warming, "late", 2 * time.Second})
	refusals.Add(Refusal{Warming, "early", time.Second})
	if r := refusals.Primary(); r != (Refusal{Warming, "early", time.Second}) {
		t.Errorf("got %+v", r)
	}
}

// Guards against overloading a server that restarted under its name, before its entry changes.
func TestRestartedServerWarmsUp(t *testing.T) {
	g := soleDaemonGate()
	s := Server{ID: "a", Limit: limit}
	sends := func(from time.Duration) (n int) {
		for now := from; now < from+time.Second; now += time.Millisecond {
			if g.Check(Request{}, s, now) == Allowed {
				g.RecordSend(s, now)
				n++
			}
		}
		return n
	}
	g.ServerTerminated("a", time.Minute)
	if n := sends(time.Minute); n > limit.MaxPerSecond()/2 {
		t.Errorf("%d sends in a second before the first response", n)
	}
	g.ServerResponded("a", limit, 2*time.Minute)
	g.ServerResponded("a", limit, 3*time.Minute)
	if n := sends(2 * time.Minute); n > limit.MaxPerSecond()/2 {
		t.Errorf("%d sends in a second after the first response", n)
	}
	if n := sends(2*time.Minute + limit.WarmupPeriod); n != 1000 {
		t.Errorf("%d of 1000 sends to a warm server", n)
	}
	g.SetView(slowstart.View{}, 2*time.Minute+limit.WarmupPeriod)
	if len(g.restarts) != 0 {
		t.Errorf("%d restarts are kept", len(g.restarts))
	}
}

// Guards against a daemon that never sends to a server again because it is not among the senders
// whose requests would end the warm-up, and against reports that daemons pass on to each other.
func TestTerminationIsForgottenByDaemonsThatDoNotSend(t *testing.T) {
	seen, told := New(), New()
	for _, g := range []*Gate{seen, told} {
		g.SetView(slowstart.View{}, time.Minute)
	}
	seen.ServerTerminated("a", time.Minute)
	told.AddTerminated(seen.Terminated(), time.Minute)
	if n := len(told.Terminated()); n != 0 {
		t.Errorf("%d reports are passed on", n)
	}
	for _, g := range []*Gate{seen, told} {
		later := time.Minute + restartRetention + time.Second
		g.SetView(slowstart.View{}, later)
		if got := g.Check(Request{}, Server{ID: "a", Name: "a", Limit: limit}, later); got != Allowed {
			t.Errorf("%q", got)
		}
	}
}

// Guards against a rush at a returning server by a daemon that started while the server was away.
func TestDaemonThatMissedTerminationIsTold(t *testing.T) {
	old, started := soleDaemonGate(), soleDaemonGate()
	s := Server{ID: "a", Name: "a", Limit: limit}
	old.ServerTerminated("a", time.Minute)
	started.AddTerminated(old.Terminated(), time.Minute)
	if started.WarmAt(s, time.Minute) <= time.Minute {
		t.Fatal("the server counts as warm")
	}
	started.ServerResponded("a", limit, time.Minute)
	started.AddTerminated(old.Terminated(), time.Minute+time.Second)
	if warmAt := started.WarmAt(s, time.Minute+time.Second); warmAt != time.Minute+limit.WarmupPeriod {
		t.Errorf("a repeated report changes the end of the warm-up to %s", warmAt)
	}
}
