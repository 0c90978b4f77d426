package node

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// turnAway has the store refuse the calls of a daemon that does not read for all.
func (f *fleet) turnAway() *member {
	i := 0
	for f.member(address(i)).reader() {
		i++
	}
	m := f.member(address(i))
	m.caller.SetMode(feedtest.Refusing)
	return m
}

// Guards against a daemon that the store turns away and that learns nothing of many servers at
// once, since their entries are longer than one message between daemons, and asks the store ten
// times a second for them.
func TestDaemonThatTheStoreTurnsAwayLearnsOfManyServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, servers = 12, 150
		f := newFleet(t, daemons)
		time.Sleep(5 * time.Second)
		away := f.turnAway()
		before := f.store.TotalCalls()
		long := strings.Repeat("x", 200)
		for i := range servers {
			f.store.Put("servers", fmt.Sprint("s", i, long), []byte("ready"))
		}
		last := fmt.Sprint("s", servers-1, long)
		within(t, 2*time.Second, "the daemon uses the last of them", func() bool { return away.uses(last) })
		time.Sleep(8 * time.Second)
		if calls := f.store.TotalCalls() - before; calls > 15*10 {
			t.Errorf("%d calls of the store in ten seconds", calls)
		}
	})
}

// Guards against a daemon that the store turns away and that asks it again and again for a
// record too long for other daemons to pass on.
func TestDaemonThatTheStoreTurnsAwayAsksRarelyForALongRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 12
		f := newFleet(t, daemons)
		time.Sleep(5 * time.Second)
		away := f.turnAway()
		before := f.store.TotalCalls()
		f.store.Put("op", "config", []byte("7"+strings.Repeat(" ", 64<<10)))
		time.Sleep(10 * time.Second)
		if calls := f.store.TotalCalls() - before; calls > 15*10 {
			t.Errorf("%d calls of the store in ten seconds", calls)
		}
		away.caller.SetMode(feedtest.Serving)
		within(t, inForce, "the configuration is in force", func() bool { return away.state.Table().Version == 7 })
	})
}
