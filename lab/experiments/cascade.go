package main

import (
	"io"
	"math/rand/v2"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
)

const (
	// cascadeRequests is the number of requests, sent at cascadeRate per second.
	cascadeRequests, cascadeRate = 40_000, 20
	// driftRequest is the index of the first request with lower quality of the cheap
	// model in driftedClass.
	driftRequest = 20_000
	// ratingDelaySeconds is the time from an answer to its rating.
	ratingDelaySeconds = 10
	// qualityTarget is the required fraction of good answers.
	qualityTarget = 0.90
	// fixedConfidence is the confidence below which the baseline cascade escalates.
	fixedConfidence = 0.8
	// confidenceNoise is the standard deviation of the cheap model's confidence from
	// the probability of a good answer.
	confidenceNoise = 0.08
	// recoveryRequests is the number of requests of driftedClass after the drift that
	// are not part of the recovered quality.
	recoveryRequests = 500
)

var costs = cascade.Costs{Cheap: 1, Expensive: 15}

// requestClass is a class of requests with its share of the traffic and the mean
// probability of a good answer of each model.
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

// The quality of the cheap model in driftedClass drops to driftedQuality.
const (
	driftedClass   = 0
	driftedQuality = 0.55
)

// request is a request with the quality of both models' answers.
type request struct {
	class         int
	confidence    float64
	cheapGood     bool
	expensiveGood bool
}

func newRequest(rng *rand.Rand, index int) request {
	r := request{class: pickClass(rng)}
	class := requestClasses[r.class]
	// The difficulty varies between requests of a class.
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
	for i, class := range requestClasses {
		if x < class.share {
			return i
		}
		x -= class.share
	}
	return len(requestClasses) - 1
}

// result is the outcome of serving a request.
type result struct {
	cost         float64
	good         bool
	cheapRan     bool
	expensiveRan bool
}

// serve runs the cheap model first if cheapFirst is set, and the expensive model if the
// cheap answer is not accepted.
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

// pendingRating is a rating that arrives at second due.
type pendingRating struct {
	due     int
	request request
	result  result
}

// stats accumulates the results of one phase of a trial.
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

// cascadeTrial serves the same requests with the adaptive plan and with the baselines.
func cascadeTrial(seed uint64) []float64 {
	rng, sampler := rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 12))
	classes := map[string]*cascade.Class{}
	for _, class := range requestClasses {
		classes[class.name] = &cascade.Class{}
	}
	var plan cascade.Plan
	var pending []pendingRating
	var ours, fixedThreshold, oracle, drifted, recovered stats
	var alwaysExpensive stats
	bestPlan := oraclePlan(rng)
	driftedRequests := 0
	for index := range cascadeRequests {
		if index%cascadeRate == 0 {
			pending = applyDueRatings(classes, pending, index/cascadeRate)
			plan = cascade.NewPlan(classes, costs, qualityTarget)
		}
		r := newRequest(rng, index)
		name := requestClasses[r.class].name
		_, hasPlan := plan.Accept[name]
		cheapFirst := plan.UseCheapFirst(name, hasPlan, sampler.Float64())
		if cheapFirst {
			classes[name].RecordConfidence(r.confidence)
		}
		res := serve(r, cheapFirst, func() bool { return plan.Accepts(name, r.confidence) })
		if sampler.Float64() < ratingShare {
			pending = append(pending, pendingRating{index/cascadeRate + ratingDelaySeconds, r, res})
		}
		// The first quarter of the requests is excluded from the results.
		switch {
		case index >= driftRequest/2 && index < driftRequest:
			ours.add(res)
			fixedThreshold.add(serve(r, true, func() bool { return r.confidence >= fixedConfidence }))
			oracle.add(serve(r, bestPlan.UseCheapFirst(name, true, 1), func() bool { return bestPlan.Accepts(name, r.confidence) }))
			alwaysExpensive.add(serve(r, false, nil))
		case index >= driftRequest:
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

// applyDueRatings records the ratings that are due and returns the remaining ones.
func applyDueRatings(classes map[string]*cascade.Class, pending []pendingRating, second int) []pendingRating {
	for len(pending) > 0 && pending[0].due <= second {
		due := pending[0]
		pending = pending[1:]
		class := classes[requestClasses[due.request.class].name]
		if due.result.cheapRan {
			class.RecordRating(due.request.confidence, due.request.cheapGood)
		}
		if due.result.expensiveRan {
			class.RecordExpensiveRating(due.request.expensiveGood)
		}
	}
	return pending
}

// oraclePlan returns a plan based on a large sample of rated requests.
func oraclePlan(rng *rand.Rand) cascade.Plan {
	classes := map[string]*cascade.Class{}
	for _, class := range requestClasses {
		classes[class.name] = &cascade.Class{}
	}
	for range 200_000 {
		r := newRequest(rng, 0)
		c := classes[requestClasses[r.class].name]
		band := cascade.BandIndex(r.confidence)
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
