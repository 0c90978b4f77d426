package cascade

// sureness learns from the opinions that models state of their own answers how
// likely an answer is right, and how much surer a larger model would be.
type sureness struct{ gains map[pair]*gain }

type pair struct{ from, to string }

// gain is how many points surer one model is than another of the same request.
type gain struct{ points, weight float64 }

const (
	// evenConfidence is the confidence at which an answer is as likely right as
	// wrong: a model that doubts its answer more than it trusts it says less.
	evenConfidence = 50
	// confidenceSpread is how many points from there an answer is right three times
	// in four. Of 640 answers of a small model, asked under a light load, a quarter
	// was right at 40 to 50, a half at 50 to 60, nine in ten at 60 to 70.
	confidenceSpread = 5.5
	// mostConfidence is where opinions end; nothing tells how much surer a model
	// that says so is.
	mostConfidence = 100
	// priorGain is how many points the dearest model is believed to be surer than
	// the cheapest until it was asked. Models between them get a part of it by their
	// prices: operators pay for what helps.
	priorGain = 50
	// gainPrior and gainMemory are the samples that the prior counts for, and that
	// count at most.
	gainPrior  = 2
	gainMemory = 40
)

// right returns the probability that an answer is right of which its model has this
// opinion.
func right(confidence float64) float64 {
	return logistic((confidence - evenConfidence) / confidenceSpread)
}

// asked takes the opinions of two models on one request. Opinions at either end of
// the scale are bounds, which count only if they contradict what is believed; a
// negative one is none stated.
func (s *sureness) asked(from, to Model, before, after float64) {
	if before <= 0 || after < 0 {
		return
	}
	g := s.gain(from, to)
	points := after - before
	if after >= mostConfidence {
		points = max(points, g.points)
	}
	if after <= 0 {
		points = min(points, g.points)
	}
	g.weight = min(g.weight+1, gainMemory)
	g.points += (points - g.points) / g.weight
}

func (s *sureness) gain(from, to Model) *gain {
	key := pair{from.Name, to.Name}
	g := s.gains[key]
	if g == nil {
		g = &gain{points: priorGain * to.rank(from), weight: gainPrior}
		if s.gains == nil {
			s.gains = map[pair]*gain{}
		}
		s.gains[key] = g
	}
	return g
}

// would returns the probability that a larger model's answer is right if a smaller
// one has this opinion of its own.
func (s *sureness) would(from, to Model, confidence float64) float64 {
	return right(confidence + s.gain(from, to).points)
}

// rank places a model between a cheaper one, 0, and the dearest, 1, by price.
func (m Model) rank(cheaper Model) float64 {
	if m.Price <= cheaper.Price || m.HighestPrice <= cheaper.Price {
		return 0
	}
	return (m.Price - cheaper.Price) / (m.HighestPrice - cheaper.Price)
}
