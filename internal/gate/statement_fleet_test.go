package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// statedAt is when the first server begins to make statements.
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
