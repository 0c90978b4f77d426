package node

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against daemons that count a service as out of reach because all but one or two of
// its servers are silent for a moment.
func TestServiceOfSilentServersStaysInReach(t *testing.T) {
	t.Parallel()
	for _, silent := range []int{4, 5} {
		t.Run(fmt.Sprint(silent, " of ", cutServers), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCutFleet(t, 6, 0)
				c.sendFor(time.Second, sample(0, 6), "before")
				var ids []string
				for i := range silent {
					ids = append(ids, fmt.Sprintf("e%d.0", i))
				}
				c.engines.Silence(1200*time.Millisecond, ids...)
				var sent []counts
				var wg sync.WaitGroup
				wg.Go(func() { sent = c.sendFor(2*time.Second, sample(0, 6), "silence") })
				lost := 0
				for range 40 {
					time.Sleep(50 * time.Millisecond)
					lost += c.count(func(m *member) bool { return m.OutOfReach() })
				}
				wg.Wait()
				if all := total(sent, 0); lost > 0 || all.served < all.sent {
					t.Errorf("served %s, daemons out of reach for %d intervals", all, lost)
				}
			})
		})
	}
}
