package cascade

// confidenceCalibration estimates how much more confident a larger model is than a smaller
// one about the same request.
type confidenceCalibration struct{ gains map[modelPair]*confidenceGain }

type modelPair struct{ from, to string }

// confidenceGain is the mean difference in confidence of two models, in points, and its
// weight in samples.
type confidenceGain struct{ points, weight float64 }

const (
	// midpointConfidence is the confidence, in percent, at which half of the answers are
	// correct: a model that doubts an answer more than it trusts it states less.
	midpointConfidence = 50
	// confidenceScale is the scale of the logistic function from confidence to
	// probability, in points.
	confidenceScale = 5.5
	// maxConfidence is the upper end of the confidence scale.
	maxConfidence = 100
	// priorGain is the initial gain, in points, of the most expensive model over the
	// cheapest. Models in between get a part of it by price.
	priorGain = 50
	// priorGainWeight is the weight of the prior and maxGainWeight the maximum weight, in
	// samples.
	priorGainWeight = 2
	maxGainWeight   = 40
)

// correctProbability returns the probability that an answer with a stated confidence is
// correct.
func correctProbability(confidence float64) float64 {
	return logistic((confidence - midpointConfidence) / confidenceScale)
}

// observe adds the confidences stated by two models on one request. A second confidence at
// either end of the scale is a bound and changes the gain in its direction only. Samples
// with a first confidence of 0 or less, or a negative second one, are ignored.
func (c *confidenceCalibration) observe(from, to Model, before, after float64) {
	if before <= 0 || after < 0 {
		return
	}
	g := c.gain(from, to)
	points := after - before
	if after >= maxConfidence {
		points = max(points, g.points)
	}
	if after <= 0 {
		points = min(points, g.points)
	}
	g.weight = min(g.weight+1, maxGainWeight)
	g.points += (points - g.points) / g.weight
}

func (c *confidenceCalibration) gain(from, to Model) *confidenceGain {
	key := modelPair{from.Name, to.Name}
	g := c.gains[key]
	if g == nil {
		g = &confidenceGain{points: priorGain * to.priceRank(from), weight: priorGainWeight}
		if c.gains == nil {
			c.gains = map[modelPair]*confidenceGain{}
		}
		c.gains[key] = g
	}
	return g
}

// predict returns the probability that a larger model's answer is correct, given the
// confidence of a smaller one.
func (c *confidenceCalibration) predict(from, to Model, confidence float64) float64 {
	return correctProbability(confidence + c.gain(from, to).points)
}

// priceRank returns the position of a model's price between that of a cheaper model, 0,
// and the highest price, 1.
func (m Model) priceRank(cheaper Model) float64 {
	if m.Price <= cheaper.Price || m.HighestPrice <= cheaper.Price {
		return 0
	}
	return (m.Price - cheaper.Price) / (m.HighestPrice - cheaper.Price)
}
