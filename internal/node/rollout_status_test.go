package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/enginetest"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

const (
	// rolloutServers is the number of servers of each version.
	rolloutServers  = 3
	rolloutDuration = 10 * time.Second
	statusKey       = "rollout/s"
)

// rolloutCodec is a fakeCodec with orders and statuses of roll-outs.
type rolloutCodec struct{ fakeCodec }

// DecodeOperator reads orders, whose key is that of their status and whose value is the version.
func (c rolloutCodec) DecodeOperator(r feed.Record) (OperatorRecord, error) {
	if r.Key != statusKey {
		return c.fakeCodec.DecodeOperator(r)
	}
	return OperatorRecord{Order: &rollout.Order{Service: "s", Target: string(r.Value), Duration: rolloutDuration, SessionIdleTimeout: time.Second, Offset: r.At.Offset()}}, nil
}

// DecodeServer gives the first rolloutServers version v1 and the others v2.
func (c rolloutCodec) DecodeServer(r feed.Record) (backend.Server, error) {
	s, err := c.fakeCodec.DecodeServer(r)
	s.Version = "v2"
	if r.Key < fmt.Sprint("e", rolloutServers) {
		s.Version = "v1"
	}
	return s, err
}

func (rolloutCodec) EncodeStatus(o rollout.Order, p rollout.Phase, age time.Duration) (string, []byte, error) {
	return statusKey, fmt.Appendf(nil, "%d %d %d %s", p, o.Offset, age.Milliseconds(), o.Target), nil
}

func (rolloutCodec) DecodeStatus(r feed.Record) (RolloutStatus, bool, error) {
	s, age := RolloutStatus{Service: "s"}, int64(0)
	_, err := fmt.Sscan(string(r.Value), &s.Phase, &s.OrderOffset, &age, &s.Target)
	s.OrderAge = time.Duration(age) * time.Millisecond
	return s, true, err
}

// sendEvenly sends requests to random daemons at a constant rate.
func (f *fleet) sendEvenly(daemons, perSecond int, period time.Duration) {
	rng := rand.New(rand.NewPCG(1, uint64(daemons)))
	var wg sync.WaitGroup
	for n := range perSecond * int(period/time.Second) {
		daemon := rng.IntN(daemons)
		wg.Go(func() { f.send(daemon, fmt.Sprint(n), fmt.Sprint(n)) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
}

// Guards against a roll-out that stalls when the store appends a status but the response is lost, so
// that the repeated conditional append fails.
func TestRolloutCompletesWhenAppendResponsesAreLost(t *testing.T) {
	t.Parallel()
	const perSecond = 100
	sizes := []int{2, 6, 60}
	if !testing.Short() {
		sizes = append(sizes, 300)
	}
	for _, daemons := range sizes {
		for _, lost := range []int{0, 1, 2, 5} {
			t.Run(fmt.Sprint(daemons, " daemons, ", lost, " lost"), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newStoppedFleet(t, daemons, []string{address(0), address(1), address(2)}, setPlainConfig, func(n *Node) { n.deps.Codec = rolloutCodec{} })
					f.store.Put("servers", "a", nil)
					f.store.Put("servers", "b", nil)
					f.backend = enginetest.NewRejecting(2*rolloutServers, 8, 1000, 0, func(id string, value []byte) { f.store.Put("servers", id, value) })
					for i := range daemons {
						f.start(i)
					}
					time.Sleep(4 * time.Second)
					f.store.LoseReplies(lost)
					f.store.Put("op", statusKey, []byte("v2"))
					f.sendEvenly(daemons, perSecond, rolloutDuration+time.Second)
					want := fmt.Sprintf("%d ", rollout.Completed)
					if status := f.store.Latest("status", statusKey); !strings.HasPrefix(status, want) {
						t.Errorf("status %q, want phase %s", status, want)
					}
				})
			})
		}
	}
}
