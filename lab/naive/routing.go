// Package naive implements simple baseline algorithms for comparison in experiments.
package naive

import "github.com/damaskrudder/damaskrudder/internal/routing"

// RoundRobin picks available servers in turn.
type RoundRobin struct{ next int }

// Pick returns the index of the next candidate that is neither leaving nor suspect, or -1.
func (r *RoundRobin) Pick(candidates []routing.Candidate) int {
	for range candidates {
		r.next++
		if i := r.next % len(candidates); !candidates[i].Leaving && !candidates[i].Suspect {
			return i
		}
	}
	return -1
}

// LeastReported picks the available server with the lowest reported load.
type LeastReported struct{}

// Pick returns the index of the candidate with the lowest reported load that is neither
// leaving nor suspect, or -1.
func (LeastReported) Pick(candidates []routing.Candidate, reported []int) int {
	best := -1
	for i, c := range candidates {
		if c.Leaving || c.Suspect {
			continue
		}
		if best < 0 || reported[i] < reported[best] {
			best = i
		}
	}
	return best
}
