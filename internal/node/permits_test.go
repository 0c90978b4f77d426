package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/enginetest"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// ratedServers are servers that state a rate until it is lifted.
type ratedServers struct {
	*enginetest.Rejecting
	perSecond float64

	mu     sync.Mutex
	lifted bool
	sends  map[string][]time.Time
}

// Send implements relay.Backend.
func (r *ratedServers) Send(ctx context.Context, send relay.BackendRequest) (*relay.BackendResponse, error) {
	r.mu.Lock()
	id := send.Server.Incarnation.Name
	r.sends[id] = append(r.sends[id], time.Now())
	r.mu.Unlock()
	resp, err := r.Rejecting.Send(ctx, send)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !r.lifted {
		resp.Limit = serverlimit.StatedRate(r.perSecond)
	}
	return resp, err
}

// since returns the sends since a time, and the most to a server in a window.
func (r *ratedServers) since(from time.Time, window time.Duration) (sends, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, times := range r.sends {
		first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		times = times[first:]
		sends += len(times)
		for i := range times {
			n, _ := slices.BinarySearchFunc(times[i:], times[i].Add(window), time.Time.Compare)
			most = max(most, n)
		}
	}
	return sends, most
}

// Guards against rates of servers that stay unused because requests reach daemons without a share,
// against more requests than the servers state, and against a limit that ends late because its
// responses go to many daemons.
func TestRequestsUseSharesOfOtherDaemons(t *testing.T) {
	t.Parallel()
	const (
		servers, perSecond, demand = 6, 5, 1.4
		period, window             = 10 * time.Second, 4 * time.Second
		minUse                     = 0.75
		// endsWithin is the time from the first response without a rate to the end of all limits.
		endsWithin = 16 * time.Second
	)
	sizes := []int{6, 60}
	if !testing.Short() {
		sizes = append(sizes, 195)
	}
	for _, daemons := range sizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)}, setPlainConfig)
				f.store.Put("servers", "a", nil)
				f.store.Put("servers", "b", nil)
				rated := &ratedServers{Rejecting: enginetest.NewRejecting(servers, 50, 1000, 0, func(id string, value []byte) { f.store.Put("servers", id, value) }), perSecond: perSecond, sends: map[string][]time.Time{}}
				f.backend = rated
				for i := range daemons {
					f.start(i)
				}
				time.Sleep(5 * time.Second)
				load := int(demand * servers * perSecond)
				f.sendEvenly(daemons, load, 4*time.Second)
				from := time.Now()
				f.sendEvenly(daemons, load, period)
				sends, most := rated.since(from, window)
				used := float64(sends) / (servers * perSecond * period.Seconds())
				t.Logf("%.2f of the rates used, at most %d in %s", used, most, window)
				if allowed := 1.5*perSecond*window.Seconds() + 5; used < minUse || float64(most) > allowed {
					t.Errorf("%.2f of the rates used; at most %d in %s, allowed %.0f", used, most, window, allowed)
				}
				rated.mu.Lock()
				rated.lifted = true
				rated.mu.Unlock()
				f.sendEvenly(daemons, load, endsWithin)
				if n := f.count(func(m *member) bool { return m.state.LimitedServers() > 0 }); n > 0 {
					t.Errorf("%d of %d daemons keep a limit that was lifted %s ago", n, daemons, endsWithin)
				}
			})
		})
	}
}
