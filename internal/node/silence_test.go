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
	for _, tt := range []struct{ daemons, silent int }{{6, 4}, {6, 5}, {120, 5}} {
		t.Run(fmt.Sprintf("%d of %d servers, %d daemons", tt.silent, cutServers, tt.daemons), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCutFleet(t, tt.daemons, 0)
				var all []int
				for i := range tt.daemons {
					all = append(all, i)
				}
				c.sendFor(time.Second, all, "before")
				var ids []string
				for i := range tt.silent {
					ids = append(ids, fmt.Sprintf("e%d.0", i))
				}
				c.engines.Silence(1200*time.Millisecond, ids...)
				var sent []counts
				var wg sync.WaitGroup
				wg.Go(func() { sent = c.sendFor(2*time.Second, all, "silence") })
				lost := 0
				for range 40 {
					time.Sleep(50 * time.Millisecond)
					lost += c.count(func(m *member) bool { return m.OutOfReach() })
				}
				wg.Wait()
				if sum := total(sent, 0); lost > 0 || sum.served < sum.sent {
					t.Errorf("served %s, daemons out of reach for %d intervals", sum, lost)
				}
			})
		})
	}
}
