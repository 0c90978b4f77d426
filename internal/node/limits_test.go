package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// maxLimitSpread is how long the report of a limit may take to reach all daemons. An end and an
// objection to it must both arrive before the end is applied, a second after its report.
const maxLimitSpread = 500 * time.Millisecond

// maxIdleFleet is the largest fleet that is simulated without requests, which is slow for more.
const maxIdleFleet = 6

// Guards against stated limits, and ends of limits, that do not reach every daemon in time.
func TestStatedLimitsReachAllDaemons(t *testing.T) {
	t.Parallel()
	for _, daemons := range scaleSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			limited := func() int { return f.count(func(m *member) bool { return m.state.LimitedServers() == 1 }) }
			report := func(perSecond float64) {
				f.member(address(daemons / 2)).Relay.MergeServerLimits([]serverlimit.Update{{Server: serverlimit.Key("a"), PerSecond: perSecond}})
			}
			report(5)
			took := waitFor(t, maxLimitSpread, "the limit is known", func() bool { return limited() == daemons })
			t.Logf("%d daemons: known after %s", daemons, took)
			if daemons <= maxIdleFleet {
				time.Sleep(40 * time.Second)
			}
			if n := limited(); n < daemons {
				t.Errorf("%d of %d daemons keep the limit of a server without requests", n, daemons)
			}
			report(0)
			took = waitFor(t, time.Second+maxLimitSpread, "the end is applied", func() bool { return limited() == 0 })
			t.Logf("%d daemons: ended after %s", daemons, took)
		})
	}
}
