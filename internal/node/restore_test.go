package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// restoreStore restores the store from a snapshot during a short outage, and calls then before the
// store serves again.
func (f *fleet) restoreStore(snapshot *feedtest.Snapshot, then func()) {
	f.store.SetMode(feedtest.Unresponsive)
	time.Sleep(800 * time.Millisecond)
	f.store.Restore(snapshot)
	then()
	f.store.SetMode(feedtest.Serving)
}

// Guards against a record that is missed because its offset was read before the restore.
func TestRecordAtReusedOffsetIsRead(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			snapshot := f.store.TakeSnapshot()
			for i := range 6 {
				f.store.Put("servers", fmt.Sprint("c", i), []byte("ready"))
			}
			time.Sleep(2 * time.Second)
			f.restoreStore(snapshot, func() {
				f.store.Put("servers", "a", []byte("leaving"))
				for i := range 6 {
					f.store.Put("servers", fmt.Sprint("c", i), []byte("ready"))
				}
			})
			waitFor(t, f.limit, "leaving server is dropped", func() bool { return f.countUsing("a") == 0 })
			if n := f.countUsing("b"); n != daemons {
				t.Errorf("%d of %d daemons use a live server", n, daemons)
			}
		})
	}
}

// Guards against requests to a removed server after a restore.
func TestRemovedServerStaysRemovedAfterRestore(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		for name, value := range map[string][]byte{"leaving": []byte("leaving"), "entry removed": nil} {
			t.Run(fmt.Sprint(daemons, " daemons/", name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(4 * time.Second)
					snapshot := f.store.TakeSnapshot()
					f.store.Put("servers", "a", value)
					waitFor(t, f.limit, "leaving server is dropped", func() bool { return f.countUsing("a") == 0 })
					f.restoreStore(snapshot, func() {})
					for range 100 {
						time.Sleep(30 * time.Millisecond)
						if n := f.countUsing("a"); n > 0 {
							t.Fatalf("%d daemons use the removed server again", n)
						}
					}
					f.store.Put("servers", "a", []byte("ready"))
					if value == nil {
						waitFor(t, f.limit, "renewed server is used", func() bool { return f.countUsing("a") == daemons })
					}
				})
			})
		}
	}
}

// Guards against the loss of a live server that the restored copy lacks.
func TestServerMissingFromSnapshotIsKept(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			snapshot := f.store.TakeSnapshot()
			f.store.Put("servers", "new", []byte("ready"))
			waitFor(t, f.limit, "new server is used", func() bool { return f.countUsing("new") == daemons })
			f.restoreStore(snapshot, func() {})
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				if n := f.countUsing("new"); n < daemons {
					t.Fatalf("%d of %d daemons use the new server", n, daemons)
				}
			}
			f.store.Put("servers", "new", []byte("ready"))
			time.Sleep(5 * time.Second)
			if n := f.countUsing("new"); n < daemons {
				t.Errorf("%d of %d daemons use a renewed server", n, daemons)
			}
			f.store.Put("servers", "other", []byte("ready"))
			waitFor(t, f.limit, "another new server is used", func() bool { return f.countUsing("other") == daemons })
		})
	}
}

// Guards against an older configuration in force after a restore.
func TestRestoreDoesNotRollBackConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(4 * time.Second)
		snapshot := f.store.TakeSnapshot()
		f.store.Put("op", "config", []byte("9"))
		at := func(version int64) func() bool {
			return func() bool { return f.count(func(m *member) bool { return m.state.Table().Version == version }) == 6 }
		}
		waitFor(t, f.limit, "configuration is in force", at(9))
		f.restoreStore(snapshot, func() {})
		time.Sleep(2 * time.Second)
		if !at(9)() {
			t.Error("older configuration is in force")
		}
		f.store.Put("op", "config", []byte("9"))
		f.store.Put("op", "config", []byte("12"))
		waitFor(t, f.limit, "next configuration is in force", at(12))
	})
}

// Guards against many calls to the store after a restore, and against the loss of the daemons' own
// entries.
func TestRestoreCostsFewCalls(t *testing.T) {
	t.Parallel()
	for _, daemons := range scaleSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			snapshot := f.store.TakeSnapshot()
			time.Sleep(15 * time.Second)
			before := f.store.TotalCalls()
			time.Sleep(10 * time.Second)
			idleCalls := f.store.TotalCalls() - before
			f.restoreStore(snapshot, func() {})
			start, before := time.Now(), f.store.TotalCalls()
			known := func() bool {
				return f.count(func(m *member) bool { return m.operatorFollower.Next().Era() == 1 }) == daemons
			}
			took := waitFor(t, f.limit/2, "all daemons have read the new era", known)
			time.Sleep(10*time.Second - time.Since(start))
			calls := f.store.TotalCalls() - before
			entries := f.store.Keys("daemons")
			t.Logf("%d daemons: detected after %s; %d calls in 10 s, %d in 10 s when idle; %d daemon entries", daemons, took, calls, idleCalls, len(entries))
			if least := min(daemons, maxBootstrapPeers); len(entries) < least {
				t.Errorf("%d daemon entries, want at least %d", len(entries), least)
			}
			f.each(func(m *member) {
				if m.isBootstrapPeer() && !entries[m.config.Name] {
					t.Errorf("bootstrap peer %s has no entry", m.config.Name)
				}
			})
			if maxCalls := idleCalls + 2*daemons; calls > maxCalls && daemons > 16 {
				t.Errorf("%d calls, limit %d", calls, maxCalls)
			}
		})
	}
}

// Guards against revoked API keys that become valid on a daemon that starts after a restore.
func TestDaemonStartedAfterRestoreRefusesOldConfiguration(t *testing.T) {
	t.Parallel()
	for _, daemons := range fleetSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			snapshot := f.store.TakeSnapshot()
			f.store.Put("op", "config", []byte("9"))
			waitFor(t, f.limit, "configuration is in force", func() bool {
				return f.count(func(m *member) bool { return m.configVersion() == 9 }) == daemons
			})
			f.restoreStore(snapshot, func() {})
			f.kill(0)
			m := f.start(0)
			waitFor(t, time.Second, "restored configuration is detected as outdated", m.configOutdated)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				if response := f.send(0, "x", "x"); response.refusal == nil || response.refusal.Kind != fault.ConfigurationStale || m.Ready() {
					t.Fatalf("version %d, ready %t: %v", m.configVersion(), m.Ready(), response.refusal)
				}
			}
			f.store.Put("op", "config", []byte("9"))
			waitFor(t, f.limit, "the daemon serves", func() bool {
				response := f.send(0, "x", "x")
				return m.Ready() && m.configVersion() == 9 && response.refusal.Kind == fault.NotFound
			})
			if n := f.count(func(m *member) bool { return m.configOutdated() }); n > 0 {
				t.Errorf("%d daemons are outdated", n)
			}
		})
	}
}
