package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// Guards against a departure that does not spread in an outage, or that an old entry undoes.
func TestServerThatLeavesIsDroppedWhileStoreIsSilent(t *testing.T) {
	t.Parallel()
	for _, daemons := range scaleSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			f.store.SetMode(feedtest.Unresponsive)
			f.member(address(daemons / 2)).Relay.MergeDepartures([]serverstatus.DepartureReport{{Server: xxhash.Sum64String("a")}})
			took := waitFor(t, f.limit, "the server is dropped", func() bool { return f.countUsing("a") == 0 })
			t.Logf("%d daemons: dropped after %s", daemons, took)
			f.store.SetMode(feedtest.Serving)
			f.store.Put("servers", "a", []byte("ready"))
			time.Sleep(2 * f.limit)
			if n := f.countUsing("a"); n > 0 {
				t.Errorf("%d of %d daemons use the server after its entry was written again", n, daemons)
			}
			f.kill(0)
			time.Sleep(time.Second)
			f.start(0)
			time.Sleep(2 * f.limit)
			if n := f.countUsing("a"); n > 0 {
				t.Errorf("%d of %d daemons use the server after one has started", n, daemons)
			}
		})
	}
}
