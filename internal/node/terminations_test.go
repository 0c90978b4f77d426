package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxTerminationSpread is how long the report of a termination may take to reach all daemons. It is
// shorter than the restart of a server.
const maxTerminationSpread = 700 * time.Millisecond

// Guards against running daemons that take a server for warm because they sent it nothing while it
// was away, and against reports that go round for ever.
func TestTerminationReachesRunningDaemons(t *testing.T) {
	t.Parallel()
	for _, daemons := range scaleSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			server := xxhash.Sum64String(f.serverID("a"))
			informed := func() int {
				return f.count(func(m *member) bool { return m.state.KnowsTermination(server) })
			}
			f.member(address(daemons / 2)).Relay.RecordTermination(f.serverID("a"))
			took := waitFor(t, maxTerminationSpread, "the termination is known", func() bool { return informed() == daemons })
			t.Logf("%d daemons: known after %s", daemons, took)
			if daemons > maxIdleFleet {
				return
			}
			time.Sleep(5 * time.Second)
			reports := f.count(func(m *member) bool { return len(m.state.Terminations()) > 0 })
			if reports > 0 {
				t.Errorf("%d daemons still report the termination", reports)
			}
		})
	}
}

// serverID returns the ID of the server of a name.
func (f *fleet) serverID(name string) (id string) {
	f.member(address(0)).EachServer("s", func(other string) {
		if id == "" || other == name {
			id = other
		}
	})
	return id
}
