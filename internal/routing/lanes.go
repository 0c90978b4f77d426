package routing

import (
	"math"
	"slices"
	"time"
)

// Partition divides the engines of a service between its models. An engine that runs
// two models makes a step of each in turn, so every token of the fast model waits
// for a step of the slow one: a small model's stream takes as long as a large
// one's. Apart, the small model's streams end several times sooner, and the large
// model's steps serve a larger batch.
//
// The division is a preference: see Lane for what it costs to leave it.
type Partition struct {
	work  map[string]float64
	at    time.Time
	share map[string]float64
}

const (
	// laneHalfLife ages the work that the division goes by.
	laneHalfLife = 5 * time.Second
	// laneStep is the change of a model's share, in engines, for which the
	// division is made anew; every change costs cached prompts.
	laneStep = 0.7
	// leastShare leaves out models that hardly work.
	leastShare = 0.01
)

// NewPartition returns a division that starts with an expected work by model.
func NewPartition(expected map[string]float64) *Partition {
	l := &Partition{work: map[string]float64{}, share: map[string]float64{}}
	for m, w := range expected {
		l.work[m] = w
	}
	l.divide(l.shares())
	return l
}

// RecordWork books engine time spent for a model.
func (l *Partition) RecordWork(model string, spent time.Duration, now time.Time) {
	keep := decay(now.Sub(l.at), laneHalfLife)
	l.at = now
	for m := range l.work {
		l.work[m] *= keep
	}
	l.work[model] += spent.Seconds()
}

func (l *Partition) shares() map[string]float64 {
	sum := 0.0
	for _, w := range l.work {
		sum += w
	}
	out := make(map[string]float64, len(l.work))
	for m, w := range l.work {
		if sum > 0 && w/sum >= leastShare {
			out[m] = w / sum
		}
	}
	return out
}

func (l *Partition) divide(shares map[string]float64) { l.share = shares }

// Outside marks the candidates that are not in a model's lane. Daemons see like
// traffic, so they divide alike without a word; where they differ by an engine,
// it serves both.
//
// Order lists the candidates that there are by their hashes: see Picture.Order.
func (l *Partition) Outside(model string, order []int) (foreign Set) {
	l.adapt(len(order))
	if len(l.share) < 2 || l.share[model] == 0 || len(order) < len(l.share) {
		return foreign
	}
	from, to := l.span(model, len(order))
	for place, index := range order {
		if place < from || place >= to {
			foreign.Add(index)
		}
	}
	return foreign
}

// adapt makes the division anew if a share has changed by much of an engine.
func (l *Partition) adapt(engines int) {
	now := l.shares()
	for m := range l.work {
		if math.Abs(now[m]-l.share[m])*float64(engines) > laneStep {
			l.divide(now)
			return
		}
	}
}

// span returns the places of a model's engines among n: at least one each, the
// rest by share.
func (l *Partition) span(model string, n int) (from, to int) {
	names := make([]string, 0, len(l.share))
	for m := range l.share {
		names = append(names, m)
	}
	slices.Sort(names)
	left, place, rest := n, 0, 1.0
	for i, m := range names {
		others := len(names) - i - 1
		count := left
		if others > 0 {
			count = int(math.Round(l.share[m] / rest * float64(left)))
			count = min(max(count, 1), left-others)
		}
		if m == model {
			return place, place + count
		}
		place, left, rest = place+count, left-count, max(rest-l.share[m], leastShare)
	}
	return 0, n
}

// Lane is the cost of running where another model's lane is.
type Lane struct {
	// Leaving is what it costs to leave the lane. A lane that is behind by more spills
	// over into the others.
	Leaving time.Duration
}

// Name implements Scorer.
func (Lane) Name() string { return "lane" }

// Cost implements Scorer.
func (l Lane) Cost(r *Request, _ *Candidate, index int) time.Duration {
	if r.OutsidePartition.Has(index) {
		return l.Leaving
	}
	return 0
}
