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

// fleetLoad is a load under which every daemon sends several requests a second.
func fleetLoad(daemons int) float64 { return max(300, 3*float64(daemons)) }

// Guards against sends to a server whose departure only other daemons have observed.
func TestFleetStopsSendingToServerThatLeaves(t *testing.T) {
	t.Parallel()
	const drainLimit = 2 * time.Second
	for _, n := range limitFleetSizes {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			t.Parallel()
			f := newLimitFleet(n, make([]float64, 8))
			f.states = func(r limitResponse) (s serverstatus.Statements) {
				if r.server == 0 && r.at >= statedAt {
					s.Leaving = serverstatus.Stated
				}
				return s
			}
			f.run(fleetLoad(n), 8*time.Second)
			first, _ := slices.BinarySearch(f.sends[0], statedAt+drainLimit)
			if late := len(f.sends[0]) - first; late > 0 || first == 0 {
				t.Errorf("%d daemons: %d sends later than %s after the first statement", n, late, drainLimit)
			}
		})
	}
}

// Guards against a departure that ends before its incarnation, or holds for the next.
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

// Guards against sends in a pause, and against all daemons returning at its end.
func TestPausedServerGetsLoadBackInSteps(t *testing.T) {
	t.Parallel()
	const refusesUntil, pauseEnd, end = 4 * time.Second, 8 * time.Second, 13 * time.Second
	const notice, maxPerDaemon, maxInFirstSecond = 500 * time.Millisecond, 2, 64
	for _, n := range limitFleetSizes {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			t.Parallel()
			f := newLimitFleet(n, make([]float64, 8))
			asked := map[int]time.Duration{}
			f.states = func(r limitResponse) serverstatus.Statements {
				if r.server != 0 || r.at < statedAt || r.at >= refusesUntil {
					return serverstatus.Statements{}
				}
				asked[r.daemon] = r.at
				return serverstatus.Statements{Pause: serverstatus.Pause{Kind: serverstatus.Stated, Duration: pauseEnd - r.at}}
			}
			f.run(fleetLoad(n), end)
			inPause, inFirstSecond := map[int]int{}, 0
			for i, at := range f.sends[0] {
				daemon := f.sentBy[0][i]
				since, any := asked[daemon]
				switch {
				case any && at > since+notice && at < pauseEnd:
					inPause[daemon]++
				case any && at >= pauseEnd && at < pauseEnd+time.Second:
					inFirstSecond++
				}
			}
			for daemon, sends := range inPause {
				if sends > maxPerDaemon {
					t.Errorf("daemon %d sent %d requests in the pause", daemon, sends)
				}
			}
			if inFirstSecond > maxInFirstSecond {
				t.Errorf("%d requests of daemons that were asked in the second after the pause, allowed %d", inFirstSecond, maxInFirstSecond)
			}
			if last := f.sends[0][len(f.sends[0])-1]; end-last > time.Second {
				t.Errorf("no request since %s, and the pause ended at %s", last, pauseEnd)
			}
			t.Logf("%d of %d daemons were asked, and sent %d requests in the second after the pause", len(asked), n, inFirstSecond)
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
