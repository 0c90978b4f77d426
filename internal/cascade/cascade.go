// Package cascade decides which model of a cascade answers a request first and whether its
// answer is accepted or escalated, based on ratings of a sample of answers. It does no
// I/O.
package cascade

import (
	"math"
	"slices"
)

const (
	// ConfidenceBands is the number of intervals of the cheap model's confidence.
	ConfidenceBands = 8
	// ratingWindow is the time constant, in ratings, of the exponentially decaying pass
	// rates. A drift of a model's quality shows within about as many ratings.
	ratingWindow = 60
	// priorWeight is the weight of the prior pass rate, in ratings.
	priorWeight = 2
	// lowerBoundErrors is the number of standard errors subtracted for a lower bound.
	lowerBoundErrors = 0.75
)

// PassRate is an exponentially decaying estimate of the fraction of good answers.
type PassRate struct {
	Good  float64
	Total float64
}

// Observe counts one rating.
func (r *PassRate) Observe(good bool) {
	decay := 1 - 1.0/ratingWindow
	r.Good *= decay
	r.Total *= decay
	r.Total++
	if good {
		r.Good++
	}
}

// Mean returns the estimated rate given a prior rate.
func (r PassRate) Mean(prior float64) float64 {
	return (r.Good + priorWeight*prior) / (r.Total + priorWeight)
}

// LowerBound returns the mean less lowerBoundErrors standard errors.
func (r PassRate) LowerBound(prior float64) float64 {
	mean := r.Mean(prior)
	return mean - lowerBoundErrors*math.Sqrt(mean*(1-mean)/(r.Total+priorWeight))
}

// BandIndex returns the interval of a confidence in [0, 1].
func BandIndex(confidence float64) int {
	return min(max(int(confidence*ConfidenceBands), 0), ConfidenceBands-1)
}

// DriftDetector detects a drop of the cheap model's pass rate by a cumulative sum (CUSUM)
// of log-likelihood ratios. It reacts sooner than the decaying pass rate, which would follow
// only after some hundred bad answers.
type DriftDetector struct{ cusum float64 }

const (
	// detectedDrop is the drop of the pass rate to detect.
	detectedDrop = 0.25
	// driftThreshold is the likelihood ratio at which a drop is reported.
	driftThreshold = 1000
	// minRate keeps the likelihoods away from 0 and 1.
	minRate = 0.02
)

// Observe takes a rating and its expected pass rate, and reports whether a drop was
// detected. A detection resets the sum.
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

// Class holds the statistics of one request class of one workspace.
type Class struct {
	// BandCounts counts recent requests by band of the cheap model's confidence.
	BandCounts [ConfidenceBands]float64
	// Cheap is the pass rate of the cheap model by band.
	Cheap [ConfidenceBands]PassRate
	// Expensive is the pass rate of the expensive model.
	Expensive PassRate
	drift     DriftDetector
	// priorPenalty is subtracted from the prior pass rates after a detected drop.
	priorPenalty float64
}

// RecordConfidence counts a cheap answer by its confidence.
func (c *Class) RecordConfidence(confidence float64) {
	decay := 1 - 1.0/(ratingWindow*ConfidenceBands)
	for i := range c.BandCounts {
		c.BandCounts[i] *= decay
	}
	c.BandCounts[BandIndex(confidence)]++
}

// RecordRating adds a rating of a cheap answer. A detected drop resets the cheap model's
// pass rates and lowers their priors.
func (c *Class) RecordRating(confidence float64, good bool) {
	band := BandIndex(confidence)
	if c.drift.Observe(good, c.Cheap[band].Mean(c.priorRate(band))) {
		c.Cheap = [ConfidenceBands]PassRate{}
		c.priorPenalty = detectedDrop
	}
	c.Cheap[band].Observe(good)
}

// priorRate is the prior pass rate of a band.
func (c *Class) priorRate(band int) float64 { return cheapPrior(band) - c.priorPenalty }

// RecordExpensiveRating adds a rating of an expensive answer.
func (c *Class) RecordExpensiveRating(good bool) { c.Expensive.Observe(good) }

// Reset drops the statistics of the cheap model, for use when its version changes.
func (c *Class) Reset() {
	*c = Class{Expensive: c.Expensive}
}

// Costs holds the prices of one answer in micros.
type Costs struct{ Cheap, Expensive float64 }

// Plan determines how the requests of each class are answered.
type Plan struct {
	// CheapFirst contains the classes whose requests go to the cheap model first.
	CheapFirst map[string]bool
	// Accept reports, by class and band, whether a cheap answer is accepted.
	Accept map[string][ConfidenceBands]bool
	// Quality and Cost are the expected values per request: pass rate and micros.
	Quality, Cost float64
}

const (
	// cheapPriorHigh and cheapPriorLow are the prior pass rates of the cheap model at full
	// and at no confidence.
	cheapPriorHigh, cheapPriorLow = 0.85, 0.30
	// expensivePrior is the prior pass rate of the expensive model.
	expensivePrior = 0.95
)

// cheapPrior returns the prior pass rate of a band, interpolated linearly.
func cheapPrior(band int) float64 {
	fraction := (float64(band) + 0.5) / ConfidenceBands
	return cheapPriorLow + fraction*(cheapPriorHigh-cheapPriorLow)
}

type bandOption struct {
	class string
	band  int
	count float64
	loss  float64
}

// NewPlan returns a plan that accepts cheap answers in the order of least quality loss,
// over all classes, as long as the expected quality meets the target. Classes for which
// trying the cheap model first would not lower the cost go directly to the expensive one.
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

// sortedBands returns every band of every class by ascending quality loss, the total
// count, and the quality if the expensive model answers all requests.
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

// explorationRate is the fraction of requests of other classes that still go to the cheap
// model first, so that an improvement of it is detected.
const explorationRate = 0.02

// UseCheapFirst reports whether a request of a class goes to the cheap model first.
// Classes unknown to the plan do. The draw is uniform in [0, 1).
func (p Plan) UseCheapFirst(class string, known bool, draw float64) bool {
	return !known || p.CheapFirst[class] || draw < explorationRate
}

// Accepts reports whether a cheap answer with a confidence is accepted.
func (p Plan) Accepts(class string, confidence float64) bool {
	return p.Accept[class][BandIndex(confidence)]
}
