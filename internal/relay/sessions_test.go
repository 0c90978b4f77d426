package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

const (
	fleetGossipInterval = 250 * time.Millisecond
	fleetGossipPartners = 8
	fleetOrderDuration  = 24 * time.Second
	// fleetOrderSpread is the time in which the daemons learn of an order.
	fleetOrderSpread = 2 * time.Second
	// fleetServerSpread is the time in which the daemons learn of the first new server.
	fleetServerSpread = 2 * time.Second
)

// rolloutFleet is a fleet of daemons in virtual time, which share sessions.
type rolloutFleet struct {
	now     time.Time
	rng     *rand.Rand
	daemons []*Rollouts
	// newServerAt is when a daemon learns of the first server of the new version, which it
	// does not use before it knows the order.
	newServerAt []time.Duration
	orderAt     []time.Duration
	start       time.Time
	// versions holds the version of the last request of each session.
	versions map[string]string
	// movedToNew and movedBack count the sessions' changes of version.
	movedToNew, movedBack int
	requests              int
}

func newRolloutFleet(n int, seed uint64) *rolloutFleet {
	f := &rolloutFleet{rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), versions: map[string]string{}}
	f.start = f.now
	for range n {
		f.daemons = append(f.daemons, NewRollouts(8*time.Second, func() time.Time { return f.now }, log.New(io.Discard)))
		f.orderAt = append(f.orderAt, time.Duration(f.rng.Int64N(int64(fleetOrderSpread))))
		f.newServerAt = append(f.newServerAt, f.orderAt[len(f.orderAt)-1]+time.Duration(f.rng.Int64N(int64(fleetServerSpread))))
	}
	return f
}

// sinceOrder returns the time since the operator's order.
func (f *rolloutFleet) sinceOrder() time.Duration { return f.now.Sub(f.start) }

// request sends a request of a session to a random daemon, at times with a second send.
func (f *rolloutFleet) request(session string) {
	daemon := f.rng.IntN(len(f.daemons))
	f.send(daemon, session)
	if f.rng.IntN(10) == 0 {
		f.send(daemon, session)
	}
}

func (f *rolloutFleet) send(daemon int, session string) {
	choice := f.daemons[daemon].ChooseVersion("s", session, 0)
	version := f.serve(daemon, choice)
	f.requests++
	switch before := f.versions[session]; {
	case before == "v1" && version == "v2":
		f.movedToNew++
	case before == "v2" && version == "v1":
		f.movedBack++
	}
	f.versions[session] = version
}

// serve returns the version of the server that a daemon would choose.
func (f *rolloutFleet) serve(daemon int, choice VersionChoice) string {
	available := []string{"v1"}
	if f.sinceOrder() >= f.newServerAt[daemon] {
		available = []string{"v2", "v1"}
	}
	for _, admits := range []func(string) bool{choice.Preferred, choice.Fallback} {
		for _, version := range available {
			if admits(version) {
				return version
			}
		}
	}
	return ""
}

// step advances the fleet to the next time at which orders arrive or requests are sent.
func (f *rolloutFleet) step(d time.Duration) {
	before := f.sinceOrder()
	f.now = f.now.Add(d)
	for i, at := range f.orderAt {
		if before <= at && at < f.sinceOrder() {
			f.daemons[i].AddOrder(rollout.Order{Service: "s", Target: "v2", Duration: fleetOrderDuration, Offset: 7})
		}
	}
	if before/fleetGossipInterval != f.sinceOrder()/fleetGossipInterval {
		f.gossip()
	}
}

// gossip exchanges the reports of each daemon with a few others.
func (f *rolloutFleet) gossip() {
	none := func(string, string) int { return 0 }
	for i, d := range f.daemons {
		for range min(fleetGossipPartners, len(f.daemons)-1) {
			other := f.rng.IntN(len(f.daemons))
			if other == i {
				continue
			}
			f.daemons[other].ApplyReports(fmt.Sprint(i), d.Reports(none, false, false))
			d.ApplyReports(fmt.Sprint(other), f.daemons[other].Reports(none, false, false))
		}
	}
}

// run sends requests of short sessions until a time after the order.
func (f *rolloutFleet) run(until time.Duration) {
	const step = 25 * time.Millisecond
	type turn struct {
		at      time.Duration
		session string
	}
	var due []turn
	for n := 0; f.sinceOrder() < until; n++ {
		f.step(step)
		for i := range 8 {
			due = append(due, turn{f.sinceOrder(), fmt.Sprint("session-", n, "-", i)})
		}
		var later []turn
		for _, t := range due {
			if t.at > f.sinceOrder() {
				later = append(later, t)
				continue
			}
			f.request(t.session)
			if f.rng.IntN(3) > 0 {
				gap := 50*time.Millisecond + time.Duration(f.rng.Int64N(int64(1500*time.Millisecond)))
				later = append(later, turn{f.sinceOrder() + gap, t.session})
			}
		}
		due = later
	}
}

// Guards against moving a running session to the new version in the first half of a
// roll-out, at any number of daemons.
func TestSessionsKeepTheirVersionInFirstHalfOfRollout(t *testing.T) {
	for _, n := range []int{6, 60, 195, 520, 2000} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			f := newRolloutFleet(n, 1)
			f.run(5 * time.Second)
			if f.movedToNew+f.movedBack > 0 || f.requests == 0 {
				t.Errorf("%d sessions moved to the new version and %d back, in %d requests", f.movedToNew, f.movedBack, f.requests)
			}
		})
	}
}

// Guards against sessions that return to the old version, because the daemons do not begin the
// second half of a roll-out together.
func TestSessionsMoveOnceInSecondHalfOfRollout(t *testing.T) {
	for _, n := range []int{6, 60, 195, 520} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			f := newRolloutFleet(n, 1)
			f.run(fleetOrderDuration * 6 / 10)
			if f.movedBack > 0 || f.movedToNew == 0 {
				t.Errorf("%d sessions moved to the new version and %d back, in %d requests", f.movedToNew, f.movedBack, f.requests)
			}
		})
	}
}
