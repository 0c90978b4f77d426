package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

const (
	// largeConfigBytes is the size of a configuration with some thousand workspaces, and
	// largeReadRate the rate of the store for all reads, in bytes per second. Four readers take half
	// of the time between two changes.
	largeConfigBytes = 256 << 10
	largeReadRate    = 6e6
)

// largeConfig returns a large configuration that does not compress well.
func largeConfig(version int) []byte {
	random := rand.NewChaCha8([32]byte{byte(version)})
	value := fmt.Appendf(nil, "%d ", version)
	for len(value) < largeConfigBytes {
		value = append(value, "abcdefghijklmnopqrstuvwxyz234567"[random.Uint64()%32])
	}
	return value
}

// Guards against daemons that all read the store because a large configuration spreads more slowly
// than the ranks begin to read.
func TestStormOfLargeConfigurationsReachesAllDaemons(t *testing.T) {
	for _, daemons := range fleetSizes() {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLargeStorm(t, daemons) })
		})
	}
}

func testLargeStorm(t *testing.T, daemons int) {
	f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)})
	f.linkRate = smallLinkRate
	f.store.SetReadRate(largeReadRate)
	f.store.Put("op", "config", largeConfig(5))
	for i := range daemons {
		f.start(i)
	}
	time.Sleep(40 * time.Second)
	before, start := f.store.BytesRead(), time.Now()
	var written []time.Duration
	worstLag, worstAge := 0, time.Duration(0)
	for at := time.Duration(0); at < 14*time.Second; at = time.Since(start) {
		if len(written) < configChanges && at >= time.Duration(len(written))*changeInterval {
			f.store.Put("op", "config", largeConfig(6+len(written)))
			written = append(written, at)
		}
		f.refuseThird(at >= 1500*time.Millisecond && at < 10*time.Second)
		due := 5
		for i, w := range written {
			if w <= at-f.limit {
				due = 6 + i
			}
		}
		worstLag = max(worstLag, f.count(func(m *member) bool { return m.configVersion() < int64(due) }))
		f.each(func(m *member) {
			age, _ := m.state.ConfirmationAge(freshness.Configuration)
			worstAge = max(worstAge, age)
		})
		time.Sleep(50 * time.Millisecond)
	}
	read := f.store.BytesRead() - before
	t.Logf("at most %d daemons behind, oldest confirmation %s, limit %s, %d bytes read of the store", worstLag, worstAge, f.limit, read)
	if worstLag > 0 || worstAge >= f.limit {
		t.Errorf("%d daemons behind, oldest confirmation %s, limit %s", worstLag, worstAge, f.limit)
	}
	if allowed := int64(daemons+2*readersFor(daemons)*configChanges) * largeConfigBytes; read > allowed {
		t.Errorf("%d bytes read of the store, more than %d", read, allowed)
	}
}
