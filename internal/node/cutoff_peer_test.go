package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Guards against a daemon that serves with the old configuration of a peer which the store has turned
// away for long, although nobody has confirmed it to this daemon.
func TestSnapshotOfCutOffPeerIsNotServedUnconfirmed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(5 * time.Second)
		f.member(address(0)).storeClient.SetMode(feedtest.Resetting)
		f.store.Put("op", "config", []byte("7"))
		time.Sleep(time.Minute)
		m := f.start(1)
		m.storeClient.SetMode(feedtest.Resetting)
		time.Sleep(10 * time.Second)
		age, known := m.state.ConfirmationAge(freshness.Configuration)
		if m.state.Usable() && (!known || age > f.limit) {
			t.Errorf("serves with configuration %d, confirmed %t, %s ago", m.configVersion(), known, age)
		}
	})
}
