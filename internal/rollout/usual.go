package rollout

import "slices"

// LatencyBaseline is how long the answers of a service take, as ratios of the time expected
// of each, on the version that carries the traffic.
type LatencyBaseline struct {
	ring  [usualSamples]float64
	count int
	limit float64
}

const (
	// usualSamples is how many answers are remembered: some seconds of a
	// daemon's traffic, so that the usual follows the load.
	usualSamples = 128
	// usualLeast is how many must be known before any is called slow.
	usualLeast = 24
	// slowestPart is the part of the usual answers that counts as slow, so that a
	// like version has as many or fewer. Of a version that takes eight times as
	// long for half of its answers 78 in 100 lie there, of a like one 5 in 100
	// while it carries little, and 22 when it carries all.
	slowestPart = 0.25
	// wholeFactor is how much slower still an answer must be in the whole phase.
	// Then no answer of the old version is left to compare with, and the new one
	// carries more than it did.
	wholeFactor = 2
	// sortEvery is how many samples pass between two looks at the slowest part.
	sortEvery = 8
)

// Observe takes a ratio; 0 is none.
func (u *LatencyBaseline) Observe(ratio float64) {
	if ratio <= 0 {
		return
	}
	u.ring[u.count%usualSamples] = ratio
	u.count++
	if u.count >= usualLeast && u.count%sortEvery == 0 {
		known := slices.Clone(u.ring[:min(u.count, usualSamples)])
		slices.Sort(known)
		u.limit = known[int(float64(len(known))*(1-slowestPart))]
	}
}

// IsSlow reports whether a ratio lies among the slowest.
func (u *LatencyBaseline) IsSlow(ratio float64, p Phase) bool {
	if u.limit == 0 {
		return false
	}
	if p >= Full {
		return ratio > wholeFactor*u.limit
	}
	return ratio > u.limit
}
