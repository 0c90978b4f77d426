// Package urgency decides in which order the requests that compete for a model engine are
// admitted to its batch, and which of them can take a busier engine. It answers load that exceeds
// the engines for seconds: requests wait for room, some have lost time to an earlier server or
// model, and some can't be in time any more.
//
// The order between ranks is strict. Within a rank, requests are ordered by the time left to
// their target.
package urgency

import "slices"

// Priorities is the number of priorities of an engine, of which 0 is the highest.
const Priorities = 10

// Ranks are the distinct ranks that a configuration uses, in ascending order; 0 is the highest.
// The priorities of engines are split evenly between them. The zero value has one rank.
type Ranks struct{ used []int }

// NewRanks returns the distinct ones of a list of ranks.
func NewRanks(list []int) Ranks {
	used := slices.Clone(list)
	slices.Sort(used)
	return Ranks{slices.Compact(used)}
}

// band returns the highest priority of a rank and the number of its priorities. Ranks beyond the
// number of priorities share the lowest one.
func (r Ranks) band(rank int) (first, width int) {
	n := min(max(len(r.used), 1), Priorities)
	position, found := slices.BinarySearch(r.used, rank)
	if !found {
		position--
	}
	position = min(max(position, 0), n-1)
	first = position * Priorities / n
	return first, (position+1)*Priorities/n - first
}

// precedesOthers reports whether a rank is the first of several.
func (r Ranks) precedesOthers(rank int) bool { return len(r.used) > 1 && rank <= r.used[0] }

// Priority returns the priority of requests of a rank that are not ordered within it.
func (r Ranks) Priority(rank int) int {
	first, width := r.band(rank)
	return first + (width-1)/2
}
