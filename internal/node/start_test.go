package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/membership"
)

// fleetSizes are the numbers of daemons at which what a deployment costs is measured: the
// smallest that there is and two that were laid out. The 520 that are built towards take a
// minute of eight cores: -daemons 520.
func fleetSizes() []int {
	switch {
	case *measured > 0:
		return []int{*measured}
	case testing.Short():
		return []int{6, 60}
	}
	return []int{6, 60, 195}
}

// Guards against this failure: 195 daemons made 3,000 calls of the store in their first half
// minute, 15 each before they had served much; at a start of all after a loss of power the
// same again.
func TestFleetThatStartsTogetherMakesFewCalls(t *testing.T) {
	const (
		// each is the calls of a daemon: three topics read once, and one for daemons that
		// take themselves for one of the first until they have heard more. all is what is
		// made for all in half a minute, ten calls a second as in a calm one.
		each = 4
		all  = 300
		// soon is when a daemon must be able to serve.
		soon = 500 * time.Millisecond
	)
	for _, daemons := range fleetSizes() {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStore(t, daemons, []string{address(0), address(1), address(2)})
				f.refuses = true
				for i := daemons - 1; i >= 0; i-- {
					f.start(i)
					time.Sleep(startSpan / time.Duration(daemons))
				}
				within(t, soon, "all daemons are ready", func() bool { return f.count(func(m *member) bool { return m.Ready() }) == daemons })
				time.Sleep(30 * time.Second)
				t.Logf("%d calls: %v", f.store.TotalCalls(), f.store.CallCounts())
				if n := f.store.TotalCalls(); n > each*daemons+all {
					t.Errorf("%d daemons made %d calls, at most %d are planned", daemons, n, each*daemons+all)
				}
				f.each(func(m *member) {
					if m.members.LiveCount() != daemons-1 {
						t.Errorf("%s has heard %d others", m.config.Name, m.members.LiveCount())
					}
				})
			})
		})
	}
}

// startSpan is the time in which all daemons of a deployment start.
const startSpan = 300 * time.Millisecond

// A daemon that reaches none of its seeds finds the others through the store, and others
// that reach none find it.
func TestDaemonsFindEachOtherThroughTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith(t, 5, nil)
		within(t, 8*time.Second, "all have heard all", func() bool {
			return f.count(func(m *member) bool { return m.members.LiveCount() == 4 }) == 5
		})
		if n := f.store.CallCounts()[feedtest.Call{Kind: feedtest.CallAppend, Topic: "daemons"}]; n != 5 {
			t.Errorf("%d entries were written", n)
		}
	})
}

// Guards against this failure: an outage of the store of 8 s cost thousands of calls with 195
// daemons, and the last daemon was heard again three seconds after its end.
func TestOutageCostsFewCalls(t *testing.T) {
	const (
		// each is the calls of a daemon that finds out for itself that the store is away (a
		// look and two tries, the third at longer outages) and that it is back (a look, a
		// try that came just then, its own look that was due), and all a second those of
		// the few that keep asking, in the outage and the time after it.
		each  = 7
		all   = 25
		span  = 8 * time.Second
		after = 4 * time.Second
		// again is the time in which all must know that the store is back: those that ask
		// do so every 0.4 s, and word of it goes round in some pulses.
		again = 1500 * time.Millisecond
	)
	for _, mode := range []feedtest.Mode{feedtest.Resetting, feedtest.Refusing, feedtest.Unresponsive} {
		for _, daemons := range fleetSizes() {
			t.Run(fmt.Sprint("mode ", mode, "/", daemons, " daemons"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(12 * time.Second)
					before := f.store.TotalCalls()
					f.store.SetMode(mode)
					time.Sleep(span)
					during := f.store.TotalCalls() - before
					f.store.SetMode(feedtest.Serving)
					took := within(t, again, "all know that the store is back", func() bool {
						return f.count(func(m *member) bool { return m.state.ConfirmedWithin(freshness.Configuration, again) }) == daemons
					})
					f.store.Put("servers", "a", []byte("leaving"))
					acted := within(t, f.bound/2, "a word is acted on", func() bool { return f.using("a") == 0 })
					time.Sleep(after)
					total := f.store.TotalCalls() - before
					t.Logf("%d calls, %d with those of the return; back after %s, word after %s", during, total, took, acted)
					if most := each*daemons + all*int((span+after)/time.Second); total > most {
						t.Errorf("%d calls, at most %d are planned: %v", total, most, f.store.CallCounts())
					}
				})
			})
		}
	}
}

// Guards against this failure: callers were sent to a daemon for 9 s after its end.
func TestLostDaemonIsNoLongerOffered(t *testing.T) {
	// kept is how long callers keep an answer: those that got the last one that names the
	// daemon are not to outlast it by more.
	const kept = 5 * time.Second
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(12 * time.Second)
			f.kill(1)
			lost := fmt.Sprintf("f%03d", 1)
			took := within(t, kept, "no daemon names the lost one", func() bool {
				return f.count(func(m *member) bool { return slices.Contains(m.SelectEndpoints(membership.Client{}, daemons), lost) }) == 0
			})
			t.Logf("%d daemons: %s", daemons, took)
			f.each(func(m *member) {
				if n := len(m.SelectEndpoints(membership.Client{}, daemons)); n != daemons-1 {
					t.Errorf("%s names %d of %d daemons", m.config.Name, n, daemons-1)
				}
			})
		})
	}
}
