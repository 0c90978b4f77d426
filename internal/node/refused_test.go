package node

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// refuseOne makes the store refuse the calls of one daemon that is not a reader.
func (f *fleet) refuseOne() *member {
	i := 0
	for f.member(address(i)).isReader() {
		i++
	}
	m := f.member(address(i))
	m.storeClient.SetMode(feedtest.Refusing)
	return m
}

// Guards against a daemon that the store refuses and that cannot fetch entries from its peers when
// they exceed one message together, and against frequent calls to the store instead.
func TestRefusedDaemonLearnsOfManyServers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const daemons, servers = 12, 150
		f := newFleet(t, daemons)
		time.Sleep(5 * time.Second)
		refused := f.refuseOne()
		before := f.store.TotalCalls()
		long := strings.Repeat("x", 200)
		for i := range servers {
			f.store.Put("servers", fmt.Sprint("s", i, long), []byte("ready"))
		}
		last := fmt.Sprint("s", servers-1, long)
		waitFor(t, 2*time.Second, "the daemon uses the last server", func() bool { return refused.usesServer(last) })
		time.Sleep(8 * time.Second)
		if calls := f.store.TotalCalls() - before; calls > 15*10 {
			t.Errorf("%d calls to the store in 10 s", calls)
		}
	})
}

// Guards against frequent calls to the store by a daemon that it refuses, for a long record that its
// peers have.
func TestRefusedDaemonRetriesLongRecordSlowly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const daemons = 12
		f := newFleet(t, daemons)
		time.Sleep(5 * time.Second)
		refused := f.refuseOne()
		before := f.store.TotalCalls()
		f.store.Put("op", "config", []byte("7"+strings.Repeat(" ", 64<<10)))
		time.Sleep(10 * time.Second)
		if calls := f.store.TotalCalls() - before; calls > 15*10 {
			t.Errorf("%d calls to the store in 10 s", calls)
		}
		refused.storeClient.SetMode(feedtest.Serving)
		waitFor(t, configLimit, "the configuration is in force", func() bool { return refused.state.Table().Version == 7 })
	})
}

// Guards against a daemon that the store refuses from its start on and that takes neither the
// configuration nor the servers from its peers.
func TestDaemonRefusedSinceItsStartLoadsFromPeers(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{6, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, daemons)
				time.Sleep(5 * time.Second)
				refused := f.start(daemons)
				refused.storeClient.SetMode(feedtest.Refusing)
				waitFor(t, f.limit, "the daemon is ready to serve", func() bool {
					return refused.state.Ready() && refused.state.ConfirmedWithin(freshness.Configuration, time.Second)
				})
				f.store.Put("op", "config", []byte("7"))
				waitFor(t, f.limit, "the configuration is in force", func() bool { return refused.configVersion() == 7 })
			})
		})
	}
}
