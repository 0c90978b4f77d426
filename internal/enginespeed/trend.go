package enginespeed

// Trend estimates how a time grows with the load, by least squares with exponentially decaying
// weights. The zero value has no samples.
type Trend struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

const (
	// trendDecay is the factor by which each sample reduces the weight of older ones.
	trendDecay = 0.995
	// slopePrior is the weight, in squared units of load, of the assumption that load has no effect.
	slopePrior = 50
	// minTrendShare is the least prediction as a fraction of the mean.
	minTrendShare = 0.25
)

// Observe adds a sample at a load.
func (t *Trend) Observe(load, value float64) {
	t.weight = t.weight*trendDecay + 1
	t.sumX = t.sumX*trendDecay + load
	t.sumY = t.sumY*trendDecay + value
	t.sumXX = t.sumXX*trendDecay + load*load
	t.sumXY = t.sumXY*trendDecay + load*value
}

// Predict returns the expected value at a load, or zero without samples.
func (t *Trend) Predict(load float64) float64 {
	if t.weight == 0 {
		return 0
	}
	meanX, meanY := t.sumX/t.weight, t.sumY/t.weight
	variance := t.sumXX - t.weight*meanX*meanX
	slope := max(0, (t.sumXY-t.weight*meanX*meanY)/(max(variance, 0)+slopePrior))
	return max(meanY+slope*(load-meanX), minTrendShare*meanY)
}
