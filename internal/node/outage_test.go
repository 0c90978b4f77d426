package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Guards against requests to a leaving server after the store was unresponsive.
func TestLeavingServerIsDroppedAfterOutage(t *testing.T) {
	t.Parallel()
	for _, readRemaining := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint("outage begins ", readRemaining, " before the read ends"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				time.Sleep(readWait + 900*time.Millisecond - readRemaining)
				f.store.SetMode(feedtest.Unresponsive)
				time.Sleep(6 * time.Second)
				f.store.SetMode(feedtest.Serving)
				time.Sleep(3 * time.Second)
				f.store.Put("servers", "a", []byte("leaving"))
				waitFor(t, drainLimit/2, "leaving server is dropped", func() bool { return f.countUsing("a") == 0 })
				if f.countUsing("b") != 1 {
					t.Error("the other server is not usable")
				}
			})
		})
	}
}

// Guards against refused API keys long after the end of an outage.
func TestConfigurationIsConfirmedSoonAfterOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(readWait)
		f.store.SetMode(feedtest.Unresponsive)
		time.Sleep(4 * time.Second)
		f.store.SetMode(feedtest.Serving)
		waitFor(t, drainLimit, "the configuration is confirmed", func() bool {
			return f.member(address(0)).state.ConfirmedWithin(freshness.Configuration, time.Second)
		})
	})
}

// Guards against requests to a leaving server while reads hang on broken connections.
func TestLeavingServerIsDroppedWhileReadHangs(t *testing.T) {
	t.Parallel()
	hangs := map[string]func(f *fleet){
		"hanging connections": func(f *fleet) {
			f.each(func(m *member) { m.storeClient.HangPending() })
			time.Sleep(3 * time.Second)
		},
		"read sent during an outage": func(f *fleet) {
			f.store.Put("servers", "c", []byte("ready"))
			time.Sleep(entryBatchDelay / 2)
			f.store.SetMode(feedtest.Unresponsive)
			time.Sleep(6 * time.Second)
			f.store.SetMode(feedtest.Serving)
			time.Sleep(3 * time.Second)
		},
	}
	for name, hang := range hangs {
		for _, daemons := range []int{1, 3, 12, 60} {
			t.Run(fmt.Sprint(name, "/", daemons, " daemons"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(5 * time.Second)
					hang(f)
					f.store.Put("servers", "a", []byte("leaving"))
					waitFor(t, f.limit/2, "all daemons drop the leaving server", func() bool { return f.countUsing("a") == 0 })
				})
			})
		}
	}
}

// Guards against requests to a leaving server from a daemon that is partitioned from the store.
func TestPartitionedDaemonLearnsOfLeavingServers(t *testing.T) {
	t.Parallel()
	for _, mode := range []feedtest.Mode{feedtest.Unresponsive, feedtest.Refusing, feedtest.Resetting} {
		t.Run(fmt.Sprint("mode ", mode), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				time.Sleep(5 * time.Second)
				f.member(address(1)).storeClient.SetMode(mode)
				time.Sleep(3 * time.Second)
				f.store.Put("servers", "a", []byte("leaving"))
				waitFor(t, drainLimit/2, "all daemons drop the leaving server", func() bool { return f.countUsing("a") == 0 })
			})
		})
	}
}

// Guards against repeated append conflicts while a status read hangs.
func TestAppendConflictTriggersStatusRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(5 * time.Second)
		m := f.member(address(0))
		m.storeClient.HangPending()
		f.store.Put("status", "rollout/s", []byte("x"))
		if err := m.writeStatus(t.Context(), rolloutOrder("s"), 0, 0); err == nil {
			t.Fatal("append succeeded despite a conflicting record")
		}
		waitFor(t, time.Second, "conflicting status is read", func() bool { return m.statusFollower.Next() == 1 })
	})
}

// Guards against a service without servers after an outage in which their entries expired.
func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 3} {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(5 * time.Second)
			f.store.SetMode(feedtest.Unresponsive)
			time.Sleep(5 * time.Second)
			f.store.Put("servers", "a", nil)
			f.store.Put("servers", "b", nil)
			f.store.SetMode(feedtest.Serving)
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				if f.countUsing("a") != daemons || f.countUsing("b") != daemons {
					t.Fatal("live servers were dropped")
				}
			}
			f.store.Put("servers", "a", []byte("ready"))
			time.Sleep(2 * time.Second)
			if f.countUsing("a") != daemons || f.countUsing("b") != 0 {
				t.Error("renewed server is not usable, or expired server still is")
			}
		})
	}
}

// Guards against requests to a removed server from a daemon that was partitioned from the store and
// treats the removal as an outage.
func TestPartitionedDaemonAppliesRemovals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(5 * time.Second)
		f.member(address(1)).storeClient.SetMode(feedtest.Unresponsive)
		time.Sleep(5 * time.Second)
		f.member(address(1)).storeClient.SetMode(feedtest.Serving)
		time.Sleep(time.Second)
		f.store.Put("servers", "a", nil)
		waitFor(t, drainLimit/2, "all daemons drop the removed server", func() bool { return f.countUsing("a") == 0 })
	})
}

// Guards against requests to a removed server from a daemon that was isolated and treats the
// removal as an outage.
func TestIsolatedDaemonAppliesRemovals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		time.Sleep(5 * time.Second)
		m := f.member(address(1))
		f.isolate(1, true)
		time.Sleep(drainLimit / 2)
		f.store.Put("servers", "a", nil)
		time.Sleep(drainLimit / 2)
		f.isolate(1, false)
		time.Sleep(drainLimit / 4)
		if m.usesServer("a") {
			t.Error("removed server is still usable")
		}
	})
}

// Guards against a newly started daemon that hides a removal from daemons that fetch records from
// it.
func TestNewDaemonDoesNotHideRemoval(t *testing.T) {
	t.Parallel()
	const daemons = 12
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, daemons)
		time.Sleep(5 * time.Second)
		f.store.Put("servers", "c", []byte("ready"))
		time.Sleep(entryBatchDelay / 4)
		f.store.Put("servers", "a", nil)
		f.store.Put("servers", "d", []byte("ready"))
		f.start(daemons)
		waitFor(t, drainLimit/2, "all daemons drop the removed server", func() bool { return f.countUsing("a") == 0 })
		if n := f.countUsing("d"); n != daemons+1 {
			t.Errorf("%d daemons use the new server", n)
		}
	})
}
