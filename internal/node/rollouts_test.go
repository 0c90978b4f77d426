package node

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against this failure: while a version was rolled out, each of 195 daemons told each
// other the evidence that it had on 126 servers, half a gigabyte between failure domains in
// 48 s.
func TestEvaluatorsAreBounded(t *testing.T) {
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(8 * time.Second)
			judging, first := 0, 0
			f.each(func(m *member) {
				if m.isEvaluator() {
					judging++
				}
				if m.isRolloutLeader() {
					first++
					if !m.isEvaluator() {
						t.Error("the one that writes does not judge")
					}
				}
			})
			if judging != min(daemons, maxEvaluators) || first != 1 {
				t.Errorf("%d daemons: %d judge, %d come first", daemons, judging, first)
			}
		})
	}
}
