package rollout

import "slices"

// LatencyBaseline is how long the answers of a service take, as ratios of the time expected
// of each, on the version that carries the traffic.
type LatencyBaseline struct {
	ring      [baselineSamples]float64
	count     int
	threshold float64
}

const (
	// baselineSamples is how many answers are remembered: some seconds of a
	// daemon's traffic, so that the usual follows the load.
	baselineSamples = 128
	// minBaselineSamples is how many must be known before any is called slow.
	minBaselineSamples = 24
	// slowFraction is the part of the usual answers that counts as slow, so that a
	// like version has as many or fewer. Of a version that takes eight times as
	// long for half of its answers 78 in 100 lie there, of a like one 5 in 100
	// while it carries little, and 22 when it carries all.
	slowFraction = 0.25
	// fullPhaseFactor is how much slower still an answer must be in the whole phase.
	// Then no answer of the old version is left to compare with, and the new one
	// carries more than it did.
	fullPhaseFactor = 2
	// sortInterval is how many samples pass between two looks at the slowest part.
	sortInterval = 8
)

// Observe takes a ratio; 0 is none.
func (b *LatencyBaseline) Observe(ratio float64) {
	if ratio <= 0 {
		return
	}
	b.ring[b.count%baselineSamples] = ratio
	b.count++
	if b.count >= minBaselineSamples && b.count%sortInterval == 0 {
		sorted := slices.Clone(b.ring[:min(b.count, baselineSamples)])
		slices.Sort(sorted)
		b.threshold = sorted[int(float64(len(sorted))*(1-slowFraction))]
	}
}

// IsSlow reports whether a ratio lies among the slowest.
func (u *LatencyBaseline) IsSlow(ratio float64, p Phase) bool {
	if u.threshold == 0 {
		return false
	}
	if p >= Full {
		return ratio > fullPhaseFactor*u.threshold
	}
	return ratio > u.threshold
}
