package routing

import "time"

// DecayingMean is a mean of recent samples that returns to zero in their absence.
type DecayingMean struct {
	sum, weight float64
	updatedAt   time.Time
}

// meanHalfLife is the half-life of a sample, about the time in which an overload builds up and ends.
const meanHalfLife = 2 * time.Second

// Observe adds a sample.
func (m *DecayingMean) Observe(sample float64, now time.Time) {
	decayFactor := decay(now.Sub(m.updatedAt), meanHalfLife)
	m.updatedAt = now
	m.sum = m.sum*decayFactor + sample
	m.weight = m.weight*decayFactor + 1
}

// Mean returns the mean. Zero counts as one sample.
func (m *DecayingMean) Mean(now time.Time) float64 {
	decayFactor := decay(now.Sub(m.updatedAt), meanHalfLife)
	return m.sum * decayFactor / (m.weight*decayFactor + 1)
}
