// Package enginespeed estimates how long each engine of a service takes compared with the fleet's
// typical engine. It answers load on engines of unequal speed, each of which a single daemon of
// many sees rarely: the daemons pool bounded sums of their observations. The package does no I/O
// and does not read the clock; times are readings of one monotonic clock.
package enginespeed

import (
	"math"
	"time"
)

// Engine is the key of one incarnation of an engine. A restarted engine has a new key, and with it
// an unknown speed.
type Engine uint32

const (
	// halfLife is the half-life of observations.
	halfLife = 40 * time.Second
	// maxLogRatio bounds the logarithm of a single ratio, so that no observation weighs much.
	maxLogRatio = 1.0
	// minSamples is the decayed number of samples below which sums are dropped.
	minSamples = 0.2
)

// sums are decaying sums of logarithms of ratios.
type sums struct {
	count, sum float64
	updatedAt  time.Duration
}

// add adds a sample of a weight.
func (s *sums) add(logRatio, weight float64, now time.Duration) {
	kept := decay(now - s.updatedAt)
	s.count = s.count*kept + weight
	s.sum = s.sum*kept + weight*min(max(logRatio, -maxLogRatio), maxLogRatio)
	s.updatedAt = now
}

// samples returns the decayed number of samples.
func (s *sums) samples(now time.Duration) float64 { return s.count * decay(now-s.updatedAt) }

// mean returns the mean logarithm.
func (s *sums) mean() float64 {
	if s.count == 0 {
		return 0
	}
	return s.sum / s.count
}

func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// validRatio reports whether a ratio can be that of two durations.
func validRatio(r float64) bool { return r > 0 && !math.IsInf(r, 1) }
