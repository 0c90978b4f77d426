package enginespeed

// LowTime estimates the undisturbed time of a step by the load: samples that were delayed have little
// effect. It is a least-squares fit with exponentially decaying weights. The zero value has no samples.
type LowTime struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

const (
	// lowTimeDecay is the factor by which each sample reduces the weight of older ones.
	lowTimeDecay = 0.98
	// slopePrior is the weight, in squared units of load, of the assumption that load has no effect.
	slopePrior = 50
	// maxRise bounds a sample as a multiple of the estimate. The firstSamples do not raise it.
	maxRise      = 1.1
	firstSamples = 8
	// resetRatio is the ratio of a sample to the estimate below which the earlier samples were all
	// delayed, and resetWeight the factor by which they lose weight then.
	resetRatio  = 0.5
	resetWeight = 0.2
	// minLowSamples is the weight from which the estimate is used.
	minLowSamples = 2
)

// Observe adds a sample at a load.
func (l *LowTime) Observe(load, value float64) {
	if l.weight > 0 {
		expected := l.at(load)
		if value < resetRatio*expected {
			l.scale(resetWeight)
		}
		rise := maxRise
		if l.weight < firstSamples {
			rise = 1
		}
		value = min(value, rise*expected)
	}
	l.scale(lowTimeDecay)
	l.weight++
	l.sumX += load
	l.sumY += value
	l.sumXX += load * load
	l.sumXY += load * value
}

func (l *LowTime) scale(factor float64) {
	for _, sum := range []*float64{&l.weight, &l.sumX, &l.sumY, &l.sumXX, &l.sumXY} {
		*sum *= factor
	}
}

// Predict returns the expected time at a load, or zero while it is unknown.
func (l *LowTime) Predict(load float64) float64 {
	if l.weight < minLowSamples {
		return 0
	}
	return l.at(load)
}

func (l *LowTime) at(load float64) float64 {
	meanX, meanY := l.sumX/l.weight, l.sumY/l.weight
	variance := max(0, l.sumXX-l.weight*meanX*meanX)
	slope := max(0, (l.sumXY-l.weight*meanX*meanY)/(variance+slopePrior))
	return max(meanY+slope*(load-meanX), meanY*resetRatio)
}
