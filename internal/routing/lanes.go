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
	workByModel  map[string]float64
	updatedAt    time.Time
	shareByModel map[string]float64
}

const (
	// workHalfLife ages the work that the division goes by.
	workHalfLife = 5 * time.Second
	// rebalanceThreshold is the change of a model's share, in engines, for which the
	// division is made anew; every change costs cached prompts.
	rebalanceThreshold = 0.7
	// minShare leaves out models that hardly work.
	minShare = 0.01
)

// NewPartition returns a division that starts with an expected work by model.
func NewPartition(expected map[string]float64) *Partition {
	l := &Partition{workByModel: map[string]float64{}, shareByModel: map[string]float64{}}
	for m, w := range expected {
		l.workByModel[m] = w
	}
	l.setShares(l.currentShares())
	return l
}

// RecordWork books engine time spent for a model.
func (p *Partition) RecordWork(model string, spent time.Duration, now time.Time) {
	decayFactor := decay(now.Sub(p.updatedAt), workHalfLife)
	p.updatedAt = now
	for m := range p.workByModel {
		p.workByModel[m] *= decayFactor
	}
	p.workByModel[model] += spent.Seconds()
}

func (p *Partition) currentShares() map[string]float64 {
	sum := 0.0
	for _, w := range p.workByModel {
		sum += w
	}
	shares := make(map[string]float64, len(p.workByModel))
	for m, w := range p.workByModel {
		if sum > 0 && w/sum >= minShare {
			shares[m] = w / sum
		}
	}
	return shares
}

func (p *Partition) setShares(shares map[string]float64) { p.shareByModel = shares }

// Outside marks the candidates that are not in a model's lane. Daemons see like
// traffic, so they divide alike without a word; where they differ by an engine,
// it serves both.
//
// Order lists the candidates that there are by their hashes: see Picture.Order.
func (p *Partition) Outside(model string, order []int) (outside Set) {
	p.rebalance(len(order))
	if len(p.shareByModel) < 2 || p.shareByModel[model] == 0 || len(order) < len(p.shareByModel) {
		return outside
	}
	from, to := p.indexRange(model, len(order))
	for rank, index := range order {
		if rank < from || rank >= to {
			outside.Add(index)
		}
	}
	return outside
}

// rebalance makes the division anew if a share has changed by much of an engine.
func (p *Partition) rebalance(engines int) {
	current := p.currentShares()
	for m := range p.workByModel {
		if math.Abs(current[m]-p.shareByModel[m])*float64(engines) > rebalanceThreshold {
			p.setShares(current)
			return
		}
	}
}

// indexRange returns the places of a model's engines among n: at least one each, the
// rest by share.
func (p *Partition) indexRange(model string, n int) (from, to int) {
	names := make([]string, 0, len(p.shareByModel))
	for m := range p.shareByModel {
		names = append(names, m)
	}
	slices.Sort(names)
	remaining, start, remainingShare := n, 0, 1.0
	for i, m := range names {
		others := len(names) - i - 1
		count := remaining
		if others > 0 {
			count = int(math.Round(p.shareByModel[m] / remainingShare * float64(remaining)))
			count = min(max(count, 1), remaining-others)
		}
		if m == model {
			return start, start + count
		}
		start, remaining, remainingShare = start+count, remaining-count, max(remainingShare-p.shareByModel[m], minShare)
	}
	return 0, n
}

// PartitionAffinity is the cost of running where another model's lane is.
type PartitionAffinity struct {
	// Penalty is what it costs to leave the lane. A lane that is behind by more spills
	// over into the others.
	Penalty time.Duration
}

// Name implements Scorer.
func (PartitionAffinity) Name() string { return "lane" }

// Cost implements Scorer.
func (p PartitionAffinity) Cost(r *Request, _ *Candidate, index int) time.Duration {
	if r.OutsidePartition.Has(index) {
		return p.Penalty
	}
	return 0
}
