package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/gossip"
)

// Guards against roll-out evidence that every daemon sends to every other.
func TestEvaluatorsAreBounded(t *testing.T) {
	t.Parallel()
	for _, daemons := range scaleSizes() {
		play(t, fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(8 * time.Second)
			evaluators, leaders := 0, 0
			f.each(func(m *member) {
				if m.isEvaluator() {
					evaluators++
				}
				if m.isRolloutLeader() {
					leaders++
					if !m.isEvaluator() {
						t.Error("the leader is not an evaluator")
					}
				}
			})
			want := min(daemons, maxEvaluators)
			if f.member(address(0)).members.InOverlay() {
				want = gossip.OverlayEvaluators
			}
			if evaluators != want || leaders != 1 {
				t.Errorf("%d daemons: %d evaluators, %d leaders", daemons, evaluators, leaders)
			}
		})
	}
}
