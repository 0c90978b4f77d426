package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/membership"
)

// Guards against broadcasts that miss a daemon, also if one in ten of their calls is not made.
func TestBroadcastReachesEveryDaemon(t *testing.T) {
	const maxSteps = 9
	rng := rand.New(rand.NewPCG(1, 2))
	for n := 2; n <= membership.MeshLimit; n++ {
		for _, skipped := range []float64{0, 0.1} {
			var all []string
			for i := range n {
				all = append(all, fmt.Sprintf("10.0.%d.%d:7000", rng.IntN(200), i))
			}
			reached, frontier, steps := map[string]bool{all[0]: true}, []string{all[0]}, 0
			for len(frontier) > 0 && steps < maxSteps {
				var next []string
				for _, from := range frontier {
					for _, to := range ringSuccessors(from, others(all, from)) {
						if !reached[to] && rng.Float64() >= skipped {
							reached[to], next = true, append(next, to)
						}
					}
				}
				frontier, steps = next, steps+1
			}
			if len(reached) < n && (skipped == 0 || n > 2*fanout) {
				t.Errorf("%d of %d daemons reached in %d steps with %g of the calls not made", len(reached), n, steps, skipped)
			}
			if calls := len(ringSuccessors(all[0], others(all, all[0]))); calls > fanout {
				t.Errorf("%d calls of one of %d daemons", calls, n)
			}
		}
	}
}

func others(all []string, self string) (out []string) {
	for _, address := range all {
		if address != self {
			out = append(out, address)
		}
	}
	return out
}
