package gate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// statedAt is when the first server begins to state that it leaves or wants a pause.
const statedAt = time.Second

// statingServer returns statements of the first server from statedAt until a time.
func statingServer(until time.Duration, s serverstatus.Statements) func(r limitResponse) serverstatus.Statements {
	return func(r limitResponse) serverstatus.Statements {
		if r.server != 0 || r.at < statedAt || r.at >= until {
			return serverstatus.Statements{}
		}
		return s
	}
}

// fleetLoad is a load under which every daemon sends several requests a second.
func fleetLoad(daemons int) float64 { return max(300, 3*float64(daemons)) }

// Guards against daemons that send on to a server which has told only others that it leaves, at
// any number of daemons and while the store is silent.
func TestFleetStopsSendingToServerThatLeaves(t *testing.T) {
	const drainLimit = 2 * time.Second
	for _, n := range limitFleetSizes {
		f := newLimitFleet(n, make([]float64, 8))
		f.states = statingServer(time.Hour, serverstatus.Statements{Leaving: serverstatus.Stated})
		f.run(fleetLoad(n), 8*time.Second)
		first, _ := slices.BinarySearch(f.sends[0], statedAt+drainLimit)
		if late := len(f.sends[0]) - first; late > 0 || first == 0 {
			t.Errorf("%d daemons: %d sends later than %s after the first statement", n, late, drainLimit)
		}
	}
}

// Guards against a daemon that forgets that a server leaves before its incarnation ends, or takes
// the next incarnation for leaving.
func TestDepartureHoldsForIncarnation(t *testing.T) {
	g := soleDaemonGate()
	s := Server{ID: "a@1", Name: "a", Hash: xxhash.Sum64String("a@1")}
	g.Observe(Response{ServerID: s.ID, ServerName: s.Name, Statements: serverstatus.Statements{Leaving: serverstatus.Stated}}, 0)
	known := func(yield func(id, name string) bool) { yield(s.ID, s.Name) }
	for now := time.Second; now < time.Hour; now += 15 * time.Second {
		g.Observe(Response{ServerID: s.ID, ServerName: s.Name, Succeeded: true, SentAt: now}, now)
		g.Sweep(known, now)
		if got := g.Check(Request{}, s, now); got != Leaving {
			t.Fatalf("after %s: %q", now, got)
		}
	}
	next := Server{ID: "a@2", Name: "a", Hash: xxhash.Sum64String("a@2")}
	if got := g.Check(Request{}, next, time.Hour); got != Allowed {
		t.Errorf("next incarnation: %q", got)
	}
	g.Sweep(func(func(id, name string) bool) {}, 2*time.Hour)
	if n := g.Departures().Len(); n > 0 {
		t.Errorf("%d departures of unknown servers are kept", n)
	}
}

// Guards against sends in a pause that a server has asked each daemon for, and against all
// daemons returning at its end, at any number of daemons.
func TestPausedServerGetsLoadBackInSteps(t *testing.T) {
	const pause, notice, perDaemon = 3 * time.Second, 500 * time.Millisecond, 2
	const refusesUntil, maxInFirstSecond = statedAt + 200*time.Millisecond, 64
	for _, n := range limitFleetSizes {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			f := newLimitFleet(n, make([]float64, 8))
			asked := make([]time.Duration, n)
			refuse := statingServer(refusesUntil, serverstatus.Statements{Pause: serverstatus.Pause{Kind: serverstatus.Stated, Duration: pause}})
			f.states = func(r limitResponse) serverstatus.Statements {
				s := refuse(r)
				if s.Pause.Kind == serverstatus.Stated {
					asked[r.daemon] = r.at
				}
				return s
			}
			f.run(fleetLoad(n), 9*time.Second)
			inPause, inFirstSecond := map[int]int{}, 0
			for i, at := range f.sends[0] {
				daemon := f.sentBy[0][i]
				since := at - asked[daemon]
				if asked[daemon] > 0 && since > notice && since < pause {
					inPause[daemon]++
				}
				if at >= statedAt+pause && at < statedAt+pause+time.Second && asked[daemon] > 0 {
					inFirstSecond++
				}
			}
			for daemon, sends := range inPause {
				if sends > perDaemon {
					t.Errorf("daemon %d sent %d requests in the pause", daemon, sends)
				}
			}
			if inFirstSecond > maxInFirstSecond {
				t.Errorf("%d requests in the second after the pause, allowed %d", inFirstSecond, maxInFirstSecond)
			}
			if last := f.sends[0][len(f.sends[0])-1]; f.now-last > time.Second {
				t.Errorf("no request since %s, %s after the pause", last, f.now-statedAt-pause)
			}
		})
	}
}

// Guards against a pause that ends because its server restarts or succeeds.
func TestPauseEndsByTimeAlone(t *testing.T) {
	g := soleDaemonGate()
	g.Observe(Response{ServerID: "a@1", ServerName: "a", Statements: serverstatus.Statements{Pause: serverstatus.Pause{Kind: serverstatus.Stated, Duration: time.Hour}}}, 0)
	for now := time.Second; now < time.Hour; now += time.Minute {
		g.Observe(Response{ServerID: "a@2", ServerName: "a", Succeeded: true, SentAt: now}, now)
		g.Sweep(func(func(id, name string) bool) {}, now)
		if got := g.Check(Request{}, Server{ID: "a@2", Name: "a"}, now); got != Paused {
			t.Fatalf("after %s: %q", now, got)
		}
	}
	if got := g.Check(Request{}, Server{ID: "a@2", Name: "a"}, time.Hour); got != Allowed {
		t.Errorf("after the pause: %q", got)
	}
}
