package main

import (
	"io"
	"math/rand/v2"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
)

const (
	// cascadeRequests are sent at cascadeRate a second.
	cascadeRequests, cascadeRate = 40_000, 20
	// driftRequest is the request from which the cheap model is worse in one class.
	driftRequest = 20_000
	// ratingDelaySeconds is how many seconds a rating takes.
	ratingDelaySeconds = 10
	// qualityTarget is the wanted fraction of good answers.
	qualityTarget = 0.90
	// fixedConfidence is the fixed confidence below which the naive cascade escalates.
	fixedConfidence = 0.8
	// confidenceNoise is the standard deviation of the cheap model's confidence
	// around its true chance of being right.
	confidenceNoise = 0.08
	// recoveryRequests of the drifted class is the time allowed to recover.
	recoveryRequests = 500
)

var costs = cascade.Costs{Cheap: 1, Expensive: 15}

// requestClass is a class of requests with the mean chance that either model is right.
type requestClass struct {
	name             string
	share            float64
	cheap, expensive float64
}

var requestClasses = []requestClass{
	{"bib status", 0.40, 0.97, 0.98},
	{"confirmation", 0.30, 0.88, 0.96},
	{"assay summary", 0.20, 0.62, 0.95},
	{"waiver", 0.10, 0.35, 0.93},
}

// drifted is the class whose cheap answers turn worse, to this chance.
const (
	driftedClass   = 0
	driftedQuality = 0.55
)

// request is one request with its truth.
type request struct {
	class         int
	confidence    float64
	cheapGood     bool
	expensiveGood bool
}

func newRequest(rng *rand.Rand, index int) request {
	r := request{class: pickClass(rng)}
	class := requestClasses[r.class]
	// A question's own difficulty spreads the chance around the class's mean.
	quality := min(max(class.cheap+rng.NormFloat64()*0.12, 0.02), 0.995)
	r.confidence = min(max(quality+rng.NormFloat64()*confidenceNoise, 0), 1)
	if index >= driftRequest && r.class == driftedClass {
		quality *= driftedQuality / class.cheap
	}
	r.cheapGood = rng.Float64() < quality
	r.expensiveGood = rng.Float64() < class.expensive
	return r
}

func pickClass(rng *rand.Rand) int {
	x := rng.Float64()
	for i, k := range requestClasses {
		if x < k.share {
			return i
		}
		x -= k.share
	}
	return len(requestClasses) - 1
}

// result is what a rule did with one question.
type result struct {
	cost         float64
	good         bool
	cheapRan     bool
	expensiveRan bool
}

func serve(r request, cheapFirst bool, accept func() bool) result {
	out := result{cheapRan: cheapFirst}
	if cheapFirst {
		out.cost = costs.Cheap
		if accept() {
			out.good = r.cheapGood
			return out
		}
	}
	out.cost += costs.Expensive
	out.expensiveRan, out.good = true, r.expensiveGood
	return out
}

type pendingRating struct {
	due     int
	request request
	result  result
}

// stats sums up one phase of a trial.
type stats struct {
	requests, good int
	cost           float64
}

func (s *stats) add(r result) {
	s.requests++
	s.cost += r.cost
	if r.good {
		s.good++
	}
}

func (s stats) quality() float64  { return float64(s.good) / float64(s.requests) }
func (s stats) meanCost() float64 { return s.cost / float64(s.requests) }

// cascadeTrial runs ours and the naive rules over the same questions.
func cascadeTrial(seed uint64) []float64 {
	rng, coin := rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 12))
	classes := map[string]*cascade.Class{}
	for _, k := range requestClasses {
		classes[k.name] = &cascade.Class{}
	}
	var plan cascade.Plan
	var pending []pendingRating
	var ours, fixedThreshold, oracle, drifted, recovered stats
	var alwaysExpensive stats
	oracleRules := oraclePlan(rng)
	driftedRequests := 0
	for n := range cascadeRequests {
		if n%cascadeRate == 0 {
			pending = applyDueRatings(classes, pending, n/cascadeRate)
			plan = cascade.NewPlan(classes, costs, qualityTarget)
		}
		r := newRequest(rng, n)
		name := requestClasses[r.class].name
		_, hasPlan := plan.Accept[name]
		cheapFirst := plan.UseCheapFirst(name, hasPlan, coin.Float64())
		if cheapFirst {
			classes[name].RecordConfidence(r.confidence)
		}
		res := serve(r, cheapFirst, func() bool { return plan.Accepts(name, r.confidence) })
		if coin.Float64() < ratingShare {
			pending = append(pending, pendingRating{n/cascadeRate + ratingDelaySeconds, r, res})
		}
		// The first quarter is for learning.
		switch {
		case n >= driftRequest/2 && n < driftRequest:
			ours.add(res)
			fixedThreshold.add(serve(r, true, func() bool { return r.confidence >= fixedConfidence }))
			oracle.add(serve(r, oracleRules.UseCheapFirst(name, true, 1), func() bool { return oracleRules.Accepts(name, r.confidence) }))
			alwaysExpensive.add(serve(r, false, nil))
		case n >= driftRequest:
			if r.class == driftedClass {
				driftedRequests++
			}
			drifted.add(res)
			if driftedRequests > recoveryRequests {
				recovered.add(res)
			}
		}
	}
	return []float64{
		ours.meanCost() / alwaysExpensive.meanCost(), ours.meanCost() / fixedThreshold.meanCost(), ours.quality(), fixedThreshold.quality(), alwaysExpensive.quality(),
		ours.meanCost() / oracle.meanCost(), oracle.quality(), recovered.quality(), drifted.quality(),
	}
}

func applyDueRatings(classes map[string]*cascade.Class, pending []pendingRating, second int) []pendingRating {
	for len(pending) > 0 && pending[0].due <= second {
		p := pending[0]
		pending = pending[1:]
		c := classes[requestClasses[p.request.class].name]
		if p.result.cheapRan {
			c.RecordRating(p.request.confidence, p.request.cheapGood)
		}
		if p.result.expensiveRan {
			c.RecordExpensiveRating(p.request.expensiveGood)
		}
	}
	return pending
}

// oraclePlan knows the true rates: it is made from many rated questions.
func oraclePlan(rng *rand.Rand) cascade.Plan {
	classes := map[string]*cascade.Class{}
	for _, k := range requestClasses {
		classes[k.name] = &cascade.Class{}
	}
	for range 200_000 {
		r := newRequest(rng, 0)
		c := classes[requestClasses[r.class].name]
		band := cascade.Band(r.confidence)
		c.BandCounts[band]++
		c.Cheap[band].Total++
		c.Expensive.Total++
		if r.cheapGood {
			c.Cheap[band].Good++
		}
		if r.expensiveGood {
			c.Expensive.Good++
		}
	}
	return cascade.NewPlan(classes, costs, qualityTarget)
}

func cascadeTable(out io.Writer, seeds int) {
	rows := []row{
		{name: "cost, ours / always dear", target: 0.6},
		{name: "cost, ours / always cheap then escalate below 0.8", target: 0.85},
		{name: "quality, ours", target: qualityTarget, atLeast: true},
		{name: "  quality, always cheap then escalate", atLeast: true},
		{name: "  quality, always dear", atLeast: true},
		{name: "cost, ours / oracle"},
		{name: "  quality, oracle", atLeast: true},
		{name: "quality after a drop, from 500 requests of the class on", target: qualityTarget, atLeast: true},
		{name: "  quality after the drop, from its first request", atLeast: true},
	}
	writeTable(out, "cascade: 4 classes, prices 1 and 15, ratings of 5% after 10 s, one class drops from 0.97 to 0.55", collectValues(seeds, rows, cascadeTrial))
}
