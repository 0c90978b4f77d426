// Package cascade decides which model of a cascade answers first and whether
// its answer is good enough, from late ratings of a sample. It does no I/O.
package cascade

import (
	"math"
	"slices"
)

const (
	// ConfidenceBands is how finely the cheap model's own confidence is told apart.
	ConfidenceBands = 8
	// ratingWindow is how many ratings of one band count; older ones fade, so that a
	// drift of the model's quality shows within about as many ratings.
	ratingWindow = 60
	// priorWeight is the weight, in ratings, of the belief before the first rating.
	priorWeight = 2
	// lowerBoundErrors is the number of standard errors taken off a band's pass rate.
	lowerBoundErrors = 0.75
)

// PassRate is a fading estimate of the fraction of good answers.
type PassRate struct {
	Good  float64
	Total float64
}

// Observe counts one rating.
func (r *PassRate) Observe(good bool) {
	fade := 1 - 1.0/ratingWindow
	r.Good *= fade
	r.Total *= fade
	r.Total++
	if good {
		r.Good++
	}
}

// Mean returns the estimate, drawn towards believed when ratings are few.
func (r PassRate) Mean(prior float64) float64 {
	return (r.Good + priorWeight*prior) / (r.Total + priorWeight)
}

// LowerBound returns a cautious estimate.
func (r PassRate) LowerBound(prior float64) float64 {
	mean := r.Mean(prior)
	return mean - lowerBoundErrors*math.Sqrt(mean*(1-mean)/(r.Total+priorWeight))
}

// Band returns the band of a confidence in [0, 1].
func Band(confidence float64) int {
	return min(max(int(confidence*ConfidenceBands), 0), ConfidenceBands-1)
}

// DriftDetector watches the ratings of one class for a drop of the cheap model's quality
// below what its evidence says: a cumulative sum of likelihood ratios that
// starts anew whenever it falls to zero. Waiting for a fading mean to follow
// would let some hundred bad answers stand.
type DriftDetector struct{ cusum float64 }

const (
	// detectedDrop is the drop of the pass rate that is looked for.
	detectedDrop = 0.25
	// driftThreshold is the likelihood ratio at which the evidence is dropped.
	driftThreshold = 1000
	// minRate keeps likelihoods off zero and one.
	minRate = 0.02
)

// Observe takes a rating and the pass rate it was expected to have. It reports
// a drop.
func (d *DriftDetector) Observe(good bool, expected float64) bool {
	before := min(max(expected, minRate+detectedDrop), 1-minRate)
	after := before - detectedDrop
	if good {
		d.cusum += math.Log(after / before)
	} else {
		d.cusum += math.Log((1 - after) / (1 - before))
	}
	d.cusum = max(0, d.cusum)
	if d.cusum < math.Log(driftThreshold) {
		return false
	}
	d.cusum = 0
	return true
}

// Class is the evidence for one request class of one workspace.
type Class struct {
	// BandCounts counts recent requests by band of the cheap model's confidence.
	BandCounts [ConfidenceBands]float64
	// Cheap is how often the cheap model's answers of a band are good.
	Cheap [ConfidenceBands]PassRate
	// Expensive is how often the dear model's answers are good.
	Expensive PassRate
	drift     DriftDetector
	// priorPenalty lowers the belief in cheap answers after a drop.
	priorPenalty float64
}

// RecordConfidence counts a cheap answer of some confidence.
func (c *Class) RecordConfidence(confidence float64) {
	fade := 1 - 1.0/(ratingWindow*ConfidenceBands)
	for i := range c.BandCounts {
		c.BandCounts[i] *= fade
	}
	c.BandCounts[Band(confidence)]++
}

// RecordRating counts a rating of a cheap answer. A drop of quality forgets what was
// learned before it and lowers the belief that takes its place.
func (c *Class) RecordRating(confidence float64, good bool) {
	band := Band(confidence)
	if c.drift.Observe(good, c.Cheap[band].Mean(c.priorRate(band))) {
		c.Cheap = [ConfidenceBands]PassRate{}
		c.priorPenalty = detectedDrop
	}
	c.Cheap[band].Observe(good)
}

// priorRate is the pass rate assumed for a band before its first rating.
func (c *Class) priorRate(band int) float64 { return cheapPrior(band) - c.priorPenalty }

// RecordExpensiveRating counts a rating of a dear answer.
func (c *Class) RecordExpensiveRating(good bool) { c.Expensive.Observe(good) }

// Reset forgets what was learned of the cheap model, for a new version of it.
func (c *Class) Reset() {
	*c = Class{Expensive: c.Expensive}
}

// Costs are the prices of one answer in micros.
type Costs struct{ Cheap, Expensive float64 }

// Plan says how to answer the requests of each class.
type Plan struct {
	// CheapFirst lists the classes whose requests go to the cheap model first.
	CheapFirst map[string]bool
	// Accept gives, by class and band, whether a cheap answer may stand.
	Accept map[string][ConfidenceBands]bool
	// Quality and Cost are the expected values per request.
	Quality, Cost float64
}

const (
	// believedCheap is assumed of the cheap model before ratings, at full and
	// at no confidence.
	cheapPriorHigh, cheapPriorLow = 0.85, 0.30
	// expensivePrior is assumed of the dear model before ratings.
	expensivePrior = 0.95
)

// cheapPrior is the pass rate assumed for a band before its first rating: a
// confident answer is more likely good.
func cheapPrior(band int) float64 {
	f := (float64(band) + 0.5) / ConfidenceBands
	return cheapPriorLow + f*(cheapPriorHigh-cheapPriorLow)
}

type bandOption struct {
	class string
	band  int
	count float64
	loss  float64
}

// NewPlan plans a cascade: it accepts cheap answers where that costs the least
// quality, over all classes together, as long as the expected quality stays at
// the target. A class most of whose cheap answers would be thrown away goes to
// the dear model at once, since the cheap run would only add cost and delay.
func NewPlan(classes map[string]*Class, costs Costs, target float64) Plan {
	p := Plan{CheapFirst: map[string]bool{}, Accept: map[string][ConfidenceBands]bool{}}
	options, total, quality := sortedBands(classes)
	if total == 0 {
		return p
	}
	for _, o := range options {
		if quality-o.count*o.loss/total < target {
			continue
		}
		quality -= o.count * o.loss / total
		a := p.Accept[o.class]
		a[o.band] = true
		p.Accept[o.class] = a
	}
	p.Quality = quality
	p.selectCheapFirst(classes, costs, total)
	return p
}

// sortedBands lists every band of every class, least loss of quality first, with the
// quality of answering all by the dear model.
func sortedBands(classes map[string]*Class) (options []bandOption, total, quality float64) {
	names := make([]string, 0, len(classes))
	for n := range classes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, name := range names {
		c := classes[name]
		expensive := c.Expensive.Mean(expensivePrior)
		for band, count := range c.BandCounts {
			if count == 0 {
				continue
			}
			total += count
			quality += count * expensive
			options = append(options, bandOption{name, band, count, expensive - c.Cheap[band].LowerBound(c.priorRate(band))})
		}
	}
	slices.SortStableFunc(options, func(a, b bandOption) int {
		switch {
		case a.loss < b.loss:
			return -1
		case a.loss > b.loss:
			return 1
		}
		return 0
	})
	if total > 0 {
		quality /= total
	}
	return options, total, quality
}

func (p *Plan) selectCheapFirst(classes map[string]*Class, costs Costs, total float64) {
	for name, c := range classes {
		var accepted, all float64
		for band, count := range c.BandCounts {
			all += count
			if p.Accept[name][band] {
				accepted += count
			}
		}
		if all == 0 {
			continue
		}
		viaCheap := costs.Cheap + (1-accepted/all)*costs.Expensive
		if viaCheap < costs.Expensive {
			p.CheapFirst[name] = true
			p.Cost += all / total * viaCheap
			continue
		}
		p.Cost += all / total * costs.Expensive
	}
}

// explorationRate is the fraction of a dear-first class that still asks the cheap
// model, so that an improvement of it can show.
const explorationRate = 0.02

// UseCheapFirst reports whether a request of a class goes to the cheap model first. A
// class not planned yet does: nothing is known of it and the cheap answer is
// judged before it stands. Coin is uniform in [0, 1).
func (p Plan) UseCheapFirst(class string, known bool, draw float64) bool {
	return !known || p.CheapFirst[class] || draw < explorationRate
}

// Accepts reports whether a cheap answer of some confidence may stand.
func (p Plan) Accepts(class string, confidence float64) bool {
	return p.Accept[class][Band(confidence)]
}
