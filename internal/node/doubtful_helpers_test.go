package node

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/enginetest"
)

// trialTime is the longest time for which a request waits for a daemon that does not respond.
const trialTime = 400 * time.Millisecond

// newCutDaemon returns a fleet of three whose first daemon has lost its links to all servers, and
// forwards its requests.
func newCutDaemon(t *testing.T) *cutFleet {
	c := newCutFleetWith(t, 3, 1, setOnceConfig)
	c.sendFor(time.Second, []int{0}, "before")
	c.setLinks(enginetest.LinkReset)
	c.sendFor(2*time.Second, []int{0}, "cut")
	return c
}

// isolateHelpers cuts the other daemons off from the first one, or reconnects them.
func (c *cutFleet) isolateHelpers(on bool) {
	c.isolate(1, on)
	c.isolate(2, on)
}

// Guards against a daemon without links to servers that refuses requests because there was no contact
// with the others for a while, or because they failed once, although they serve again.
func TestCutDaemonServesOnceOthersRespondAgain(t *testing.T) {
	t.Parallel()
	for name, silence := range map[string]time.Duration{"calls failed": 500 * time.Millisecond, "silent": 1500 * time.Millisecond, "not ready": 5 * time.Second} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/requests meanwhile %t", name, busy), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := newCutDaemon(t)
					c.isolateHelpers(true)
					var wg sync.WaitGroup
					if busy {
						wg.Go(func() { c.sendFor(silence, []int{0}, "meanwhile") })
					}
					time.Sleep(silence)
					c.isolateHelpers(false)
					if busy {
						time.Sleep(trialTime)
					}
					served := 0
					const requests = 20
					for i := range requests {
						if r := c.send(0, fmt.Sprint("again", i), "again"); r.refusal == nil && r.bytes > 0 {
							served++
						} else {
							t.Logf("request %d: %v", i, r.refusal)
						}
						time.Sleep(10 * time.Millisecond)
					}
					wg.Wait()
					if served < requests {
						t.Errorf("served %d of %d", served, requests)
					}
				})
			})
		}
	}
}

// Guards against requests that are all held because of daemons that are gone.
func TestCutDaemonHoldsFewRequestsForOthersThatAreGone(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCutDaemon(t)
		c.isolateHelpers(true)
		c.sendFor(stableWindow, []int{0}, "alone")
		time.Sleep(time.Second)
		var mu sync.Mutex
		held, sent := 0, 0
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				start := time.Now()
				c.send(0, fmt.Sprint("late", i), "late")
				mu.Lock()
				defer mu.Unlock()
				sent++
				if time.Since(start) > maxRefusalTime {
					held++
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		if held > 2 {
			t.Errorf("%d of %d requests held for longer than %s", held, sent, maxRefusalTime)
		}
	})
}
