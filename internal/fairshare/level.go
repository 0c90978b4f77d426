package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// demand is the work of a workspace and its weight.
type demand struct{ work, weight float64 }

// fairLevel returns the work per weight up to which a workspace is within its share. The part of the
// work that waits too long is taken to be beyond the capacity. Unlisted work is that of workspaces
// below the level. The level is at least the mean work per weight: if all use the same, none is
// beyond its share.
func fairLevel(used map[Key]float64, unlisted float64, weights map[Key]float64, lateFraction float64) float64 {
	demands := make([]demand, 0, len(used))
	total, weight := unlisted, 0.0
	for workspace, work := range used {
		demands = append(demands, demand{work, weights[workspace]})
		total += work
		weight += weights[workspace]
	}
	if weight <= 0 {
		return math.Inf(1)
	}
	return max(total/weight, maxMinLevel(demands, total*(1-lateFraction)-unlisted))
}

// maxMinLevel returns the largest level such that the demands, each limited to the level times its
// weight, do not exceed the capacity. It is infinite if all demands fit.
func maxMinLevel(demands []demand, capacity float64) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.work*b.weight, b.work*a.weight) })
	weight := 0.0
	for _, d := range demands {
		weight += d.weight
	}
	for _, d := range demands {
		level := max(capacity, 0) / weight
		if d.work > level*d.weight {
			return level
		}
		capacity -= d.work
		weight -= d.weight
	}
	return math.Inf(1)
}
