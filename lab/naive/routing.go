// Package naive holds the plain rules that the project's decisions are compared
// with.
package naive

import "github.com/damaskrudder/damaskrudder/internal/routing"

// RoundRobin sends each request to the next live server.
type RoundRobin struct{ next int }

// Pick returns the index of the next live candidate, or -1.
func (r *RoundRobin) Pick(candidates []routing.Candidate) int {
	for range candidates {
		r.next++
		if i := r.next % len(candidates); !candidates[i].Leaving && !candidates[i].Suspect {
			return i
		}
	}
	return -1
}

// LeastReported sends each request to the live server whose last report is the lowest.
type LeastReported struct{}

// Pick returns the index of the live candidate with the least reported work, or -1.
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
