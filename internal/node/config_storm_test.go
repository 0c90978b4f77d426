package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

const (
	// configBytes is the size of a configuration with some hundred workspaces, and largeConfigBytes
	// that of one with some thousand.
	configBytes      = 80 << 10
	largeConfigBytes = 256 << 10
	// sendAllTime is the time in which the store can send one configuration to all daemons, or to
	// minSendAll if they are fewer, and changeInterval the time between two changes.
	sendAllTime    = time.Second
	minSendAll     = 60
	changeInterval = 370 * time.Millisecond
	configChanges  = 15
	// largeReadRate is the rate in bytes per second of a store that sends four large configurations in
	// half of changeInterval.
	largeReadRate = 6e6
	// smallLinkRate and slowLinkRate are the rates of a small VM's link and of one that is mostly used
	// otherwise, in bytes per second.
	smallLinkRate = 20e6 / 8
	slowLinkRate  = 4e6 / 8
)

// configStorm is a series of configurations while the store turns a third of the daemons away.
type configStorm struct {
	daemons, configBytes int
	// readRate is that of the store and linkRate that of each daemon, in bytes per second.
	readRate, linkRate float64
}

// newConfigStorm returns a storm of which the store sends one configuration to all daemons in
// sendAllTime.
func newConfigStorm(daemons int, linkRate float64) configStorm {
	return configStorm{daemons, configBytes, float64(max(daemons, minSendAll)) * configBytes / sendAllTime.Seconds(), linkRate}
}

// value returns a configuration that does not compress well.
func (s configStorm) value(version int) []byte {
	random := rand.NewChaCha8([32]byte{byte(version)})
	value := fmt.Appendf(nil, "%d ", version)
	for len(value) < s.configBytes {
		value = append(value, "abcdefghijklmnopqrstuvwxyz234567"[random.Uint64()%32])
	}
	return value
}

// newFleet returns a fleet of which no daemon runs yet.
func (s configStorm) newFleet(t *testing.T) *fleet {
	f := newStoppedFleet(t, s.daemons, []string{address(0), address(1), address(2)})
	f.linkRate = s.linkRate
	f.store.SetReadRate(s.readRate)
	f.store.Put("op", "config", s.value(5))
	return f
}

// startAll starts all daemons at once.
func (f *fleet) startAll(daemons int) {
	for i := range daemons {
		f.start(i)
	}
}

// refuseThird makes the store turn every third daemon away, or serve all.
func (f *fleet) refuseThird(on bool) {
	mode := feedtest.Serving
	if on {
		mode = feedtest.Resetting
	}
	for i := 0; f.member(address(i)) != nil; i += 3 {
		f.member(address(i)).storeClient.SetMode(mode)
	}
}

// stormSizes returns those of the sizes at which storms are played; with the race detector a storm of
// more daemons takes minutes.
func stormSizes(sizes []int) []int {
	if testing.Short() {
		return sizes[:1]
	}
	return sizes
}

// Guards against daemons that stay behind the newest configuration, or do not know that theirs is the
// newest, when configurations follow each other faster than the store can send one to all daemons.
func TestConfigStormReachesAllDaemons(t *testing.T) {
	t.Parallel()
	for _, daemons := range stormSizes(scaleSizes()) {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			newConfigStorm(daemons, smallLinkRate).test(t)
		})
	}
}

// Guards against daemons that all read the store because a large configuration spreads more slowly
// than the ranks begin to read.
func TestStormOfLargeConfigurationsReachesAllDaemons(t *testing.T) {
	t.Parallel()
	for _, daemons := range stormSizes(fleetSizes()) {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			configStorm{daemons, largeConfigBytes, largeReadRate, smallLinkRate}.test(t)
		})
	}
}

// Guards against daemons that all read the store because records between daemons take longer than the
// lag that indicates a dead connection.
func TestSlowLinksDoNotSendAllDaemonsToTheStore(t *testing.T) {
	t.Parallel()
	newConfigStorm(slices.Max(stormSizes(fleetSizes())), slowLinkRate).test(t)
}

// test plays the storm. The bytes read of the store may grow with the daemons or with the changes, but
// not with their product.
func (s configStorm) test(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := s.newFleet(t)
		f.startAll(s.daemons)
		time.Sleep(40 * time.Second)
		before := f.store.BytesRead()
		s.play(f)
		read := f.store.BytesRead() - before
		allowed := int64(s.daemons+2*readersFor(s.daemons)*configChanges) * int64(s.configBytes)
		t.Logf("%d bytes read of the store, %d allowed", read, allowed)
		if read > allowed {
			t.Errorf("%d bytes read of the store, more than %d", read, allowed)
		}
	})
}

// play changes the configuration again and again and checks the daemons until some time after.
func (s configStorm) play(f *fleet) {
	const refusedFrom, refusedUntil, end = 1500 * time.Millisecond, 10 * time.Second, 14 * time.Second
	start := time.Now()
	written := map[int]time.Duration{}
	worstLag, worstAge, version := 0, time.Duration(0), 5
	for at := time.Duration(0); at < end; at = time.Since(start) {
		if len(written) < configChanges && at >= time.Duration(len(written))*changeInterval {
			version += 1 + len(written)%3
			written[version] = at
			f.store.Put("op", "config", s.value(version))
		}
		f.refuseThird(at >= refusedFrom && at < refusedUntil)
		due := 5
		for v, w := range written {
			if w <= at-f.limit {
				due = max(due, v)
			}
		}
		worstLag = max(worstLag, f.count(func(m *member) bool { return m.configVersion() < int64(due) }))
		f.each(func(m *member) {
			age, _ := m.state.ConfirmationAge(freshness.Configuration)
			worstAge = max(worstAge, age)
		})
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Logf("at most %d daemons behind, oldest confirmation %s, limit %s", worstLag, worstAge, f.limit)
	if worstLag > 0 {
		f.t.Errorf("%d daemons lack a configuration that has been in force for %s", worstLag, f.limit)
	}
	if worstAge >= f.limit {
		f.t.Errorf("a configuration was not confirmed for %s, limit %s", worstAge, f.limit)
	}
}

// Guards against a daemon that reads every configuration that it has missed, so that reads take longer
// the further it is behind.
func TestReturningDaemonReadsNewestConfigurationOnly(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{1, 6} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newConfigStorm(daemons, smallLinkRate)
				f := s.newFleet(t)
				f.startAll(daemons)
				time.Sleep(10 * time.Second)
				for i := range daemons {
					f.isolate(i, true)
				}
				for i := range configChanges {
					f.store.Put("op", "config", s.value(6+i))
					time.Sleep(changeInterval)
				}
				before := f.store.BytesRead()
				for i := range daemons {
					f.isolate(i, false)
				}
				newest := int64(5 + configChanges)
				waitFor(t, f.limit, "the newest configuration is in force", func() bool {
					return f.count(func(m *member) bool { return m.configVersion() == newest }) == daemons
				})
				time.Sleep(f.limit)
				if read, allowed := f.store.BytesRead()-before, int64(3*daemons*configBytes); read > allowed {
					t.Errorf("%d bytes read of the store, more than %d", read, allowed)
				}
			})
		})
	}
}

// Guards against a simultaneous start in which every daemon reads entries of servers from the store that
// it gets from others anyway, so that nobody gets its configuration in time.
func TestSimultaneousStartReadsFewBytes(t *testing.T) {
	t.Parallel()
	const (
		serversPerDaemon = 10
		entryBytes       = 500
		// catchUpLimit is the time in which all daemons must be able to serve.
		catchUpLimit = 6 * time.Second
	)
	for _, daemons := range scaleSizes() {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newConfigStorm(daemons, 0).newFleet(t)
				f.refuseStopped = true
				servers := serversPerDaemon * max(daemons, minSendAll)
				entry := []byte("ready" + strings.Repeat(" ", entryBytes))
				for i := range servers {
					f.store.Put("servers", fmt.Sprint("s", i), entry)
				}
				for i := daemons - 1; i >= 0; i-- {
					f.start(i)
					time.Sleep(startWindow / time.Duration(daemons))
				}
				took := waitFor(t, catchUpLimit, "all daemons can serve", func() bool {
					return f.count(func(m *member) bool {
						return m.state.Usable() && m.state.ConfirmedWithin(freshness.Configuration, f.limit)
					}) == daemons
				})
				read, allowed := f.store.BytesRead(), int64(2*daemons*configBytes+2*readersFor(daemons)*servers*entryBytes)
				t.Logf("%s, %d bytes read of the store, %d allowed", took, read, allowed)
				if read > allowed {
					t.Errorf("%d bytes read of the store, more than %d", read, allowed)
				}
			})
		})
	}
}
