package relay

import (
	"fmt"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// rolloutsWithEvidence has the evidence of other daemons, each on a sixth of 126 servers.
func rolloutsWithEvidence(daemons int) *Rollouts {
	r := testRollouts()
	for daemon := range daemons - 1 {
		var evidence rollout.Evidence
		for i := range 21 {
			server := (daemon + 6*i) % 126
			evidence = append(evidence, rollout.ServerCounts{Server: fmt.Sprintf("i-%08x", server), FailureDomain: "d", New: server%2 == 0, Counts: rollout.Counts{Requests: 3}})
		}
		r.ApplyReports(fmt.Sprint("d", daemon), []OrderReport{{Service: "s", OrderOffset: 7, Evidence: evidence}})
	}
	return r
}

// Measures one evaluation of an order, by the number of daemons.
func BenchmarkNextPhases(b *testing.B) {
	for _, daemons := range []int{6, 60, 195, 520} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			r := rolloutsWithEvidence(daemons)
			b.ReportAllocs()
			for b.Loop() {
				r.NextPhases(func(string) bool { return true })
			}
		})
	}
}
