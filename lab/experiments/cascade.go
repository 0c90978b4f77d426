package main

import (
	"io"
	"math/rand/v2"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
)

const (
	// cascadeRequests are sent at cascadeRate a second.
	cascadeRequests, cascadeRate = 40_000, 20
	// driftAt is the request from which the cheap model is worse in one class.
	driftAt = 20_000
	// ratingLag is how many seconds a rating takes.
	ratingLag = 10
	// target is the wanted fraction of good answers.
	target = 0.90
	// naiveConfidence is the fixed confidence below which the naive cascade escalates.
	naiveConfidence = 0.8
	// confidenceNoise is the standard deviation of the cheap model's confidence
	// around its true chance of being right.
	confidenceNoise = 0.08
	// recoveryRequests of the drifted class is the time allowed to recover.
	recoveryRequests = 500
)

var costs = cascade.Costs{Cheap: 1, Expensive: 15}

// kind is a class of requests with the mean chance that either model is right.
type kind struct {
	name        string
	share       float64
	cheap, dear float64
}

var kinds = []kind{
	{"bib status", 0.40, 0.97, 0.98},
	{"confirmation", 0.30, 0.88, 0.96},
	{"assay summary", 0.20, 0.62, 0.95},
	{"waiver", 0.10, 0.35, 0.93},
}

// drifted is the class whose cheap answers turn worse, to this chance.
const (
	drifted   = 0
	driftedTo = 0.55
)

// question is one request with its truth.
type question struct {
	kind       int
	confidence float64
	cheap      bool
	dear       bool
}

func ask(rng *rand.Rand, n int) question {
	q := question{kind: pickKind(rng)}
	k := kinds[q.kind]
	// A question's own difficulty spreads the chance around the class's mean.
	own := min(max(k.cheap+rng.NormFloat64()*0.12, 0.02), 0.995)
	q.confidence = min(max(own+rng.NormFloat64()*confidenceNoise, 0), 1)
	if n >= driftAt && q.kind == drifted {
		own *= driftedTo / k.cheap
	}
	q.cheap = rng.Float64() < own
	q.dear = rng.Float64() < k.dear
	return q
}

func pickKind(rng *rand.Rand) int {
	x := rng.Float64()
	for i, k := range kinds {
		if x < k.share {
			return i
		}
		x -= k.share
	}
	return len(kinds) - 1
}

// answered is what a rule did with one question.
type answered struct {
	cost     float64
	good     bool
	cheapRan bool
	dearRan  bool
}

func answer(q question, cheapFirst bool, accept func() bool) answered {
	a := answered{cheapRan: cheapFirst}
	if cheapFirst {
		a.cost = costs.Cheap
		if accept() {
			a.good = q.cheap
			return a
		}
	}
	a.cost += costs.Expensive
	a.dearRan, a.good = true, q.dear
	return a
}

type pendingRating struct {
	due int
	q   question
	a   answered
}

// tally sums up one phase of a trial.
type tally struct {
	requests, good int
	cost           float64
}

func (t *tally) add(a answered) {
	t.requests++
	t.cost += a.cost
	if a.good {
		t.good++
	}
}

func (t tally) quality() float64 { return float64(t.good) / float64(t.requests) }
func (t tally) mean() float64    { return t.cost / float64(t.requests) }

// cascadeTrial runs ours and the naive rules over the same questions.
func cascadeTrial(seed uint64) []float64 {
	rng, coin := rand.New(rand.NewPCG(seed, 11)), rand.New(rand.NewPCG(seed, 12))
	classes := map[string]*cascade.Class{}
	for _, k := range kinds {
		classes[k.name] = &cascade.Class{}
	}
	var plan cascade.Plan
	var pending []pendingRating
	var ours, escalate, oracle, after, recovered tally
	var dears tally
	best := oraclePlan(rng)
	classSince := 0
	for n := range cascadeRequests {
		if n%cascadeRate == 0 {
			pending = rate(classes, pending, n/cascadeRate)
			plan = cascade.NewPlan(classes, costs, target)
		}
		q := ask(rng, n)
		name := kinds[q.kind].name
		_, known := plan.Accept[name]
		first := plan.UseCheapFirst(name, known, coin.Float64())
		if first {
			classes[name].RecordConfidence(q.confidence)
		}
		a := answer(q, first, func() bool { return plan.Accepts(name, q.confidence) })
		if coin.Float64() < ratingShare {
			pending = append(pending, pendingRating{n/cascadeRate + ratingLag, q, a})
		}
		// The first quarter is for learning.
		switch {
		case n >= driftAt/2 && n < driftAt:
			ours.add(a)
			escalate.add(answer(q, true, func() bool { return q.confidence >= naiveConfidence }))
			oracle.add(answer(q, best.UseCheapFirst(name, true, 1), func() bool { return best.Accepts(name, q.confidence) }))
			dears.add(answer(q, false, nil))
		case n >= driftAt:
			if q.kind == drifted {
				classSince++
			}
			after.add(a)
			if classSince > recoveryRequests {
				recovered.add(a)
			}
		}
	}
	return []float64{
		ours.mean() / dears.mean(), ours.mean() / escalate.mean(), ours.quality(), escalate.quality(), dears.quality(),
		ours.mean() / oracle.mean(), oracle.quality(), recovered.quality(), after.quality(),
	}
}

func rate(classes map[string]*cascade.Class, pending []pendingRating, second int) []pendingRating {
	for len(pending) > 0 && pending[0].due <= second {
		p := pending[0]
		pending = pending[1:]
		c := classes[kinds[p.q.kind].name]
		if p.a.cheapRan {
			c.RecordRating(p.q.confidence, p.q.cheap)
		}
		if p.a.dearRan {
			c.RecordExpensiveRating(p.q.dear)
		}
	}
	return pending
}

// oraclePlan knows the true rates: it is made from many rated questions.
func oraclePlan(rng *rand.Rand) cascade.Plan {
	classes := map[string]*cascade.Class{}
	for _, k := range kinds {
		classes[k.name] = &cascade.Class{}
	}
	for range 200_000 {
		q := ask(rng, 0)
		c := classes[kinds[q.kind].name]
		band := cascade.Band(q.confidence)
		c.BandCounts[band]++
		c.Cheap[band].Total++
		c.Expensive.Total++
		if q.cheap {
			c.Cheap[band].Good++
		}
		if q.dear {
			c.Expensive.Good++
		}
	}
	return cascade.NewPlan(classes, costs, target)
}

func cascadeTable(out io.Writer, seeds int) {
	rows := []row{
		{name: "cost, ours / always dear", target: 0.6},
		{name: "cost, ours / always cheap then escalate below 0.8", target: 0.85},
		{name: "quality, ours", target: target, atLeast: true},
		{name: "  quality, always cheap then escalate", atLeast: true},
		{name: "  quality, always dear", atLeast: true},
		{name: "cost, ours / oracle"},
		{name: "  quality, oracle", atLeast: true},
		{name: "quality after a drop, from 500 requests of the class on", target: target, atLeast: true},
		{name: "  quality after the drop, from its first request", atLeast: true},
	}
	writeTable(out, "cascade: 4 classes, prices 1 and 15, ratings of 5% after 10 s, one class drops from 0.97 to 0.55", collect(seeds, rows, cascadeTrial))
}
