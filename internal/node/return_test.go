package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// comesBack has the store be silent for a moment and come back from an older copy, which then
// takes some records, before anybody can read.
func (f *fleet) comesBack(c *feedtest.Snapshot, then func()) {
	f.store.SetMode(feedtest.Unresponsive)
	time.Sleep(800 * time.Millisecond)
	f.store.Restore(c)
	then()
	f.store.SetMode(feedtest.Serving)
}

// Guards against this failure: a server that had said that it leaves got requests for good.
func TestWordAtAnOffsetThatCameAgainIsRead(t *testing.T) {
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			copied := f.store.TakeSnapshot()
			for i := range 6 {
				f.store.Put("servers", fmt.Sprint("c", i), []byte("ready"))
			}
			time.Sleep(2 * time.Second)
			f.comesBack(copied, func() {
				f.store.Put("servers", "a", []byte("leaving"))
				for i := range 6 {
					f.store.Put("servers", fmt.Sprint("c", i), []byte("ready"))
				}
			})
			within(t, f.bound, "a server that left is not used", func() bool { return f.using("a") == 0 })
			if n := f.using("b"); n != daemons {
				t.Errorf("%d of %d daemons use a server that lives", n, daemons)
			}
		})
	}
}

// Guards against this failure: a server that had left got requests again.
func TestServerThatLeftStaysLeft(t *testing.T) {
	for _, daemons := range fleetSizes() {
		for name, value := range map[string][]byte{"said that it leaves": []byte("leaving"), "entry gone": nil} {
			t.Run(fmt.Sprint(daemons, " daemons/", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, daemons)
					time.Sleep(4 * time.Second)
					copied := f.store.TakeSnapshot()
					f.store.Put("servers", "a", value)
					within(t, f.bound, "a server that left is not used", func() bool { return f.using("a") == 0 })
					f.comesBack(copied, func() {})
					for range 100 {
						time.Sleep(30 * time.Millisecond)
						if n := f.using("a"); n > 0 {
							t.Fatalf("%d daemons use it again", n)
						}
					}
					f.store.Put("servers", "a", []byte("ready"))
					if value == nil {
						within(t, f.bound, "a server that writes again is used", func() bool { return f.using("a") == daemons })
					}
				})
			})
		}
	}
}

// Guards against this failure: a server that lives got nothing for seconds.
func TestServerThatTheCopyLacksIsKeptUntilItWritesAgain(t *testing.T) {
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			copied := f.store.TakeSnapshot()
			f.store.Put("servers", "new", []byte("ready"))
			within(t, f.bound, "a new server is used", func() bool { return f.using("new") == daemons })
			f.comesBack(copied, func() {})
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				if n := f.using("new"); n < daemons {
					t.Fatalf("%d of %d daemons use it", n, daemons)
				}
			}
			f.store.Put("servers", "new", []byte("ready"))
			time.Sleep(5 * time.Second)
			if n := f.using("new"); n < daemons {
				t.Errorf("%d of %d daemons use a server that has written again", n, daemons)
			}
			f.store.Put("servers", "other", []byte("ready"))
			within(t, f.bound, "a server is used", func() bool { return f.using("other") == daemons })
		})
	}
}

// Guards against this failure: a configuration that had been in force was not any more.
func TestConfigurationNeverGoesBackWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(4 * time.Second)
		copied := f.store.TakeSnapshot()
		f.store.Put("op", "config", []byte("9"))
		at := func(version int64) func() bool {
			return func() bool { return f.count(func(m *member) bool { return m.state.Table().Version == version }) == 6 }
		}
		within(t, f.bound, "the configuration is in force", at(9))
		f.comesBack(copied, func() {})
		time.Sleep(2 * time.Second)
		if !at(9)() {
			t.Error("an earlier configuration is in force")
		}
		f.store.Put("op", "config", []byte("9"))
		f.store.Put("op", "config", []byte("12"))
		within(t, f.bound, "the next one is in force", at(12))
	})
}

// What daemons wrote themselves is written again, once: by whom, and in how many calls, from the
// return until ten seconds after it.
func TestReturnOfTheStoreCostsFewCalls(t *testing.T) {
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			copied := f.store.TakeSnapshot()
			time.Sleep(15 * time.Second)
			entries := f.store.KeyCount("daemons")
			before := f.store.TotalCalls()
			time.Sleep(10 * time.Second)
			calm := f.store.TotalCalls() - before
			f.comesBack(copied, func() {})
			began, before := time.Now(), f.store.TotalCalls()
			known := func() bool {
				return f.count(func(m *member) bool { return m.operators.Next().Era() == 1 }) == daemons
			}
			took := within(t, f.bound/2, "all have read the store anew", known)
			time.Sleep(10*time.Second - time.Since(began))
			calls := f.store.TotalCalls() - before
			t.Logf("%d daemons: all know after %s; %d calls in 10 s, %d in 10 s of calm; %d of %d entries of daemons again", daemons, took, calls, calm, f.store.KeyCount("daemons"), entries)
			if f.store.KeyCount("daemons") < entries {
				t.Errorf("%d entries of daemons, %d before", f.store.KeyCount("daemons"), entries)
			}
			if most := calm + 2*daemons; calls > most && daemons > 16 {
				t.Errorf("%d calls, at most %d are planned", calls, most)
			}
		})
	}
}

// Guards against this failure: a key that had been taken away opened a daemon.
func TestDaemonThatStartsOnACopyServesNoOlderConfiguration(t *testing.T) {
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			copied := f.store.TakeSnapshot()
			f.store.Put("op", "config", []byte("9"))
			within(t, f.bound, "the configuration is in force", func() bool {
				return f.count(func(m *member) bool { return m.version() == 9 }) == daemons
			})
			f.comesBack(copied, func() {})
			f.kill(0)
			m := f.start(0)
			within(t, time.Second, "the copy's configuration is known to be outdated", m.isOutdated)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				if a := f.ask(0, "x", "x"); a.refusal == nil || a.refusal.Kind != fault.ConfigurationStale || m.Ready() {
					t.Fatalf("version %d, ready %t: %v", m.version(), m.Ready(), a.refusal)
				}
			}
			f.store.Put("op", "config", []byte("9"))
			within(t, f.bound, "the daemon serves", func() bool {
				a := f.ask(0, "x", "x")
				return m.Ready() && m.version() == 9 && a.refusal.Kind == fault.NotFound
			})
			if n := f.count(func(m *member) bool { return m.isOutdated() }); n > 0 {
				t.Errorf("%d daemons are outdated", n)
			}
		})
	}
}
