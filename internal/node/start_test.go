package node

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/membership"
)

// fleetSizes returns the fleet sizes at which costs are checked.
func fleetSizes() []int {
	switch {
	case *daemonsFlag > 0:
		return []int{*daemonsFlag}
	case testing.Short():
		return []int{6, 60}
	}
	return []int{6, 60, 195}
}

// scaleSizes returns the fleet sizes at which costs are checked in a mesh and in the overlay.
func scaleSizes() []int {
	if *daemonsFlag > 0 || testing.Short() {
		return fleetSizes()
	}
	return append(fleetSizes(), membership.MeshLimit+44)
}

// Guards against many calls to the store when all daemons start at once.
func TestSimultaneousStartMakesFewCalls(t *testing.T) {
	t.Parallel()
	const (
		// callsPerDaemon allows for one read of each of three topics, and one call before the
		// daemon has discovered its peers. sharedCalls are those of the readers in 30 s.
		callsPerDaemon = 4
		sharedCalls    = 300
		// readyLimit is the time within which all daemons must be ready.
		readyLimit = 500 * time.Millisecond
	)
	for _, daemons := range scaleSizes() {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)})
				f.refuseStopped = true
				for i := daemons - 1; i >= 0; i-- {
					f.start(i)
					time.Sleep(startWindow / time.Duration(daemons))
				}
				waitFor(t, readyLimit, "all daemons are ready", func() bool { return f.count(func(m *member) bool { return m.Ready() }) == daemons })
				time.Sleep(30 * time.Second)
				t.Logf("%d calls: %v", f.store.TotalCalls(), f.store.CallCounts())
				if n := f.store.TotalCalls(); n > callsPerDaemon*daemons+sharedCalls {
					t.Errorf("%d daemons made %d calls, limit %d", daemons, n, callsPerDaemon*daemons+sharedCalls)
				}
				f.each(func(m *member) {
					if m.members.LiveCount() != daemons-1 {
						t.Errorf("%s discovered %d peers", m.config.Name, m.members.LiveCount())
					}
				})
			})
		})
	}
}

// Guards against many daemons that act as readers while all start, since each learns of its own
// readiness before that of the others.
func TestStartingDaemonsHoldOnlyTheirRoles(t *testing.T) {
	t.Parallel()
	const (
		sampled, interval = 5 * time.Second, 10 * time.Millisecond
		// servers is more than one call of the store returns.
		servers = 2000
		// maxShare is the number of daemons that may read meanwhile, as a multiple of the readers.
		maxShare = 3
	)
	for _, daemons := range scaleSizes() {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)})
				f.refuseStopped = true
				for i := range servers {
					f.store.Put("servers", fmt.Sprint("s", i), []byte("ready"))
				}
				for i := daemons - 1; i >= 0; i-- {
					f.start(i)
					time.Sleep(startWindow / time.Duration(daemons))
				}
				readers := map[string]bool{}
				for end := time.Now().Add(sampled); time.Now().Before(end); time.Sleep(interval) {
					f.each(func(m *member) {
						if m.isReader() {
							readers[m.config.Name] = true
						}
					})
				}
				t.Logf("%d readers", len(readers))
				if allowed := min(daemons, maxShare*readersFor(daemons)); len(readers) > allowed {
					t.Errorf("%d of %d daemons read the store for the others, %d allowed", len(readers), daemons, allowed)
				}
			})
		})
	}
}

// startWindow is the time in which all daemons start.
const startWindow = 300 * time.Millisecond

// Guards against daemons without reachable seeds that do not find each other.
func TestPeersAreDiscoveredThroughStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWithSeeds(t, 5, nil)
		waitFor(t, 8*time.Second, "all daemons know each other", func() bool {
			return f.count(func(m *member) bool { return m.members.LiveCount() == 4 }) == 5
		})
		if n := f.store.CallCounts()[feedtest.Call{Kind: feedtest.CallAppend, Topic: "daemons"}]; n != 5 {
			t.Errorf("%d entries written", n)
		}
	})
}

// Guards against many calls to the store during an outage, and against a slow recovery.
func TestOutageCostsFewCalls(t *testing.T) {
	t.Parallel()
	const (
		// callsPerDaemon covers detecting the outage and its end, sharedCalls are those of
		// the readers per second.
		callsPerDaemon = 7
		sharedCalls    = 25
		span           = 8 * time.Second
		after          = 4 * time.Second
		// recoveryLimit is the time within which all daemons must know that the store is back.
		recoveryLimit = 1500 * time.Millisecond
	)
	for _, mode := range []feedtest.Mode{feedtest.Resetting, feedtest.Refusing, feedtest.Unresponsive} {
		for _, daemons := range scaleSizes() {
			t.Run(fmt.Sprint("mode ", mode, "/", daemons, " daemons"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(12 * time.Second)
					before := f.store.TotalCalls()
					f.store.SetMode(mode)
					time.Sleep(span)
					during := f.store.TotalCalls() - before
					f.store.SetMode(feedtest.Serving)
					took := waitFor(t, recoveryLimit, "all daemons reach the store again", func() bool {
						return f.count(func(m *member) bool { return m.state.ConfirmedWithin(freshness.Configuration, recoveryLimit) }) == daemons
					})
					f.store.Put("servers", "a", []byte("leaving"))
					acted := waitFor(t, f.limit/2, "all daemons drop the leaving server", func() bool { return f.countUsing("a") == 0 })
					time.Sleep(after)
					total := f.store.TotalCalls() - before
					t.Logf("%d calls, %d including recovery; recovered after %s, change applied after %s", during, total, took, acted)
					if maxCalls := callsPerDaemon*daemons + sharedCalls*int((span+after)/time.Second); total > maxCalls {
						t.Errorf("%d calls, limit %d: %v", total, maxCalls, f.store.CallCounts())
					}
				})
			})
		}
	}
}

// Guards against clients that are directed to a lost daemon.
func TestLostDaemonIsNotListedAsEndpoint(t *testing.T) {
	t.Parallel()
	// cacheTTL is how long clients cache the directory's response.
	const cacheTTL = 5 * time.Second
	for _, daemons := range scaleSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(12 * time.Second)
			f.kill(1)
			lost := fmt.Sprintf("f%03d", 1)
			took := waitFor(t, cacheTTL, "no daemon lists the lost one", func() bool {
				return f.count(func(m *member) bool { return slices.Contains(m.SelectEndpoints(membership.Client{}, daemons), lost) }) == 0
			})
			t.Logf("%d daemons: %s", daemons, took)
			f.each(func(m *member) {
				if n := len(m.SelectEndpoints(membership.Client{}, daemons)); n != daemons-1 {
					t.Errorf("%s lists %d of %d daemons", m.config.Name, n, daemons-1)
				}
			})
		})
	}
}

// Guards against a daemon that starts while a server is away and does not learn that it terminated.
func TestStartedDaemonLearnsOfTerminatedServers(t *testing.T) {
	t.Parallel()
	const maxDelay, terminated = 500 * time.Millisecond, 1
	for _, daemons := range fleetSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			var told atomic.Int64
			f := newFleet(t, daemons, func(n *Node) {
				n.members.TerminatedServers = func() []uint64 { return []uint64{terminated} }
			})
			time.Sleep(4 * time.Second)
			f.kill(daemons - 1)
			f.setup = append(f.setup, func(n *Node) {
				handle := n.members.OnMessage
				n.members.OnMessage = func(message gossip.Message, after time.Duration) {
					if slices.Contains(message.TerminatedServers, terminated) {
						told.Add(1)
					}
					handle(message, after)
				}
			})
			f.start(daemons - 1)
			waitFor(t, maxDelay, "the daemon is told", func() bool { return told.Load() > 0 })
		})
	}
}
