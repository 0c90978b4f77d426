package rollout

import "slices"

// LatencyBaseline keeps recent ratios of actual to expected answer time on the version
// that serves most requests.
type LatencyBaseline struct {
	ring      [baselineSamples]float64
	count     int
	threshold float64
}

const (
	// baselineSamples is the number of ratios kept.
	baselineSamples = 128
	// minBaselineSamples is the number of ratios below which no answer counts as slow.
	minBaselineSamples = 24
	// slowFraction is the fraction of the baseline's answers that count as slow. A new version
	// that is as fast has this fraction of slow answers or less.
	slowFraction = 0.25
	// fullPhaseFactor multiplies the threshold from the full phase on, when the new
	// version carries the whole load and the old one no longer serves as a reference.
	fullPhaseFactor = 2
	// sortInterval is the number of samples between updates of the threshold.
	sortInterval = 8
)

// Observe adds a ratio. Ratios of 0 or less are ignored.
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

// IsSlow reports whether a ratio exceeds the threshold of a phase.
func (b *LatencyBaseline) IsSlow(ratio float64, phase Phase) bool {
	if b.threshold == 0 {
		return false
	}
	if phase >= Full {
		return ratio > fullPhaseFactor*b.threshold
	}
	return ratio > b.threshold
}
