package cascade

// confidenceCalibration learns from the opinions that models state of their own answers how
// likely an answer is right, and how much surer a larger model would be.
type confidenceCalibration struct{ gains map[modelPair]*confidenceGain }

type modelPair struct{ from, to string }

// confidenceGain is how many points surer one model is than another of the same request.
type confidenceGain struct{ points, weight float64 }

const (
	// midpointConfidence is the confidence at which an answer is as likely right as
	// wrong: a model that doubts its answer more than it trusts it says less.
	midpointConfidence = 50
	// confidenceScale is how many points from there an answer is right three times
	// in four. Of 640 answers of a small model, asked under a light load, a quarter
	// was right at 40 to 50, a half at 50 to 60, nine in ten at 60 to 70.
	confidenceScale = 5.5
	// maxConfidence is where opinions end; nothing tells how much surer a model
	// that says so is.
	maxConfidence = 100
	// priorGain is how many points the dearest model is believed to be surer than
	// the cheapest until it was asked. Models between them get a part of it by their
	// prices: operators pay for what helps.
	priorGain = 50
	// priorGainWeight and gainMemory are the samples that the prior counts for, and that
	// count at most.
	priorGainWeight = 2
	maxGainWeight   = 40
)

// correctProbability returns the probability that an answer is right of which its model has this
// opinion.
func correctProbability(confidence float64) float64 {
	return logistic((confidence - midpointConfidence) / confidenceScale)
}

// observe takes the opinions of two models on one request. Opinions at either end of
// the scale are bounds, which count only if they contradict what is believed; a
// negative one is none stated.
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

// predict returns the probability that a larger model's answer is right if a smaller
// one has this opinion of its own.
func (c *confidenceCalibration) predict(from, to Model, confidence float64) float64 {
	return correctProbability(confidence + c.gain(from, to).points)
}

// priceRank places a model between a cheaper one, 0, and the dearest, 1, by price.
func (m Model) priceRank(cheaper Model) float64 {
	if m.Price <= cheaper.Price || m.HighestPrice <= cheaper.Price {
		return 0
	}
	return (m.Price - cheaper.Price) / (m.HighestPrice - cheaper.Price)
}
