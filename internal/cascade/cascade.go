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
	// memory is how many ratings of one band count; older ones fade, so that a
	// drift of the model's quality shows within about as many ratings.
	memory = 60
	// prior is the weight, in ratings, of the belief before the first rating.
	prior = 2
	// caution is the number of standard errors taken off a band's pass rate.
	caution = 0.75
)

// Rate is a fading estimate of the fraction of good answers.
type Rate struct {
	Good  float64
	Total float64
}

// Observe counts one rating.
func (r *Rate) Observe(good bool) {
	fade := 1 - 1.0/memory
	r.Good *= fade
	r.Total *= fade
	r.Total++
	if good {
		r.Good++
	}
}

// Mean returns the estimate, drawn towards believed when ratings are few.
func (r Rate) Mean(believed float64) float64 {
	return (r.Good + prior*believed) / (r.Total + prior)
}

// Low returns a cautious estimate.
func (r Rate) Low(believed float64) float64 {
	m := r.Mean(believed)
	return m - caution*math.Sqrt(m*(1-m)/(r.Total+prior))
}

// Band returns the band of a confidence in [0, 1].
func Band(confidence float64) int {
	return min(max(int(confidence*ConfidenceBands), 0), ConfidenceBands-1)
}

// Drift watches the ratings of one class for a drop of the cheap model's quality
// below what its evidence says: a cumulative sum of likelihood ratios that
// starts anew whenever it falls to zero. Waiting for a fading mean to follow
// would let some hundred bad answers stand.
type Drift struct{ sum float64 }

const (
	// driftDrop is the drop of the pass rate that is looked for.
	driftDrop = 0.25
	// driftAlarm is the likelihood ratio at which the evidence is dropped.
	driftAlarm = 1000
	// rateFloor keeps likelihoods off zero and one.
	rateFloor = 0.02
)

// Observe takes a rating and the pass rate it was expected to have. It reports
// a drop.
func (d *Drift) Observe(good bool, expected float64) bool {
	was := min(max(expected, rateFloor+driftDrop), 1-rateFloor)
	now := was - driftDrop
	if good {
		d.sum += math.Log(now / was)
	} else {
		d.sum += math.Log((1 - now) / (1 - was))
	}
	d.sum = max(0, d.sum)
	if d.sum < math.Log(driftAlarm) {
		return false
	}
	d.sum = 0
	return true
}

// Class is the evidence for one request class of one workspace.
type Class struct {
	// BandCounts counts recent requests by band of the cheap model's confidence.
	BandCounts [ConfidenceBands]float64
	// Cheap is how often the cheap model's answers of a band are good.
	Cheap [ConfidenceBands]Rate
	// Expensive is how often the dear model's answers are good.
	Expensive Rate
	drift     Drift
	// distrust lowers the belief in cheap answers after a drop.
	distrust float64
}

// RecordConfidence counts a cheap answer of some confidence.
func (c *Class) RecordConfidence(confidence float64) {
	fade := 1 - 1.0/(memory*ConfidenceBands)
	for i := range c.BandCounts {
		c.BandCounts[i] *= fade
	}
	c.BandCounts[Band(confidence)]++
}

// RecordRating counts a rating of a cheap answer. A drop of quality forgets what was
// learned before it and lowers the belief that takes its place.
func (c *Class) RecordRating(confidence float64, good bool) {
	band := Band(confidence)
	if c.drift.Observe(good, c.Cheap[band].Mean(c.believed(band))) {
		c.Cheap = [ConfidenceBands]Rate{}
		c.distrust = driftDrop
	}
	c.Cheap[band].Observe(good)
}

// believed is the pass rate assumed for a band before its first rating.
func (c *Class) believed(band int) float64 { return believedCheap(band) - c.distrust }

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
	believedCheapHigh, believedCheapLow = 0.85, 0.30
	// believedDear is assumed of the dear model before ratings.
	believedDear = 0.95
)

// believedCheap is the pass rate assumed for a band before its first rating: a
// confident answer is more likely good.
func believedCheap(band int) float64 {
	f := (float64(band) + 0.5) / ConfidenceBands
	return believedCheapLow + f*(believedCheapHigh-believedCheapLow)
}

type option struct {
	class string
	band  int
	mass  float64
	loss  float64
}

// NewPlan plans a cascade: it accepts cheap answers where that costs the least
// quality, over all classes together, as long as the expected quality stays at
// the target. A class most of whose cheap answers would be thrown away goes to
// the dear model at once, since the cheap run would only add cost and delay.
func NewPlan(classes map[string]*Class, costs Costs, target float64) Plan {
	p := Plan{CheapFirst: map[string]bool{}, Accept: map[string][ConfidenceBands]bool{}}
	options, total, quality := gather(classes)
	if total == 0 {
		return p
	}
	for _, o := range options {
		if quality-o.mass*o.loss/total < target {
			continue
		}
		quality -= o.mass * o.loss / total
		a := p.Accept[o.class]
		a[o.band] = true
		p.Accept[o.class] = a
	}
	p.Quality = quality
	p.prune(classes, costs, total)
	return p
}

// gather lists every band of every class, least loss of quality first, with the
// quality of answering all by the dear model.
func gather(classes map[string]*Class) (options []option, total, quality float64) {
	names := make([]string, 0, len(classes))
	for n := range classes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, name := range names {
		c := classes[name]
		dear := c.Expensive.Mean(believedDear)
		for band, mass := range c.BandCounts {
			if mass == 0 {
				continue
			}
			total += mass
			quality += mass * dear
			options = append(options, option{name, band, mass, dear - c.Cheap[band].Low(c.believed(band))})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
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

func (p *Plan) prune(classes map[string]*Class, costs Costs, total float64) {
	for name, c := range classes {
		var accepted, all float64
		for band, mass := range c.BandCounts {
			all += mass
			if p.Accept[name][band] {
				accepted += mass
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

// exploreShare is the fraction of a dear-first class that still asks the cheap
// model, so that an improvement of it can show.
const exploreShare = 0.02

// UseCheapFirst reports whether a request of a class goes to the cheap model first. A
// class not planned yet does: nothing is known of it and the cheap answer is
// judged before it stands. Coin is uniform in [0, 1).
func (p Plan) UseCheapFirst(class string, known bool, coin float64) bool {
	return !known || p.CheapFirst[class] || coin < exploreShare
}

// Accepts reports whether a cheap answer of some confidence may stand.
func (p Plan) Accepts(class string, confidence float64) bool {
	return p.Accept[class][Band(confidence)]
}
