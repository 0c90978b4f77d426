package routing

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Partition assigns the engines of a service to its models in proportion to their work. An
// engine that serves two models alternates between their steps, so the streams of the
// small model run at the speed of the large one. The assignment is a preference:
// PartitionAffinity sets the cost of leaving it.
type Partition struct {
	workByModel map[string]float64
	// peerWork is the reported work of other daemons, in seconds as workByModel.
	peerWork map[string]float64
	// countOwn is set if the work of this daemon counts beside peerWork.
	countOwn     bool
	updatedAt    time.Time
	shareByModel map[string]float64
}

const (
	// workHalfLife is the half-life of the recorded work.
	workHalfLife = 5 * time.Second
	// rebalanceThreshold is the change of a model's share, in engines, that triggers a new
	// assignment. Every reassignment loses cached prompts.
	rebalanceThreshold = 0.7
	// minShare is the share of work below which a model gets no engines of its own.
	minShare = 0.01
	// maxPartitionModels is the number of models whose work is recorded: callers may name any.
	maxPartitionModels = 128
	// negligibleWork is the work in seconds below which a model gives way to another one.
	negligibleWork = 1e-3
)

// NewPartition returns a partition for the expected work by model.
func NewPartition(expected map[string]float64) *Partition {
	p := &Partition{workByModel: map[string]float64{}, countOwn: true, shareByModel: map[string]float64{}}
	for model, work := range expected {
		p.workByModel[model] = work
	}
	p.setShares(p.currentShares())
	return p
}

// RecordWork adds engine time spent on a model. Work on a further model is not recorded while
// maxPartitionModels have more than negligible work.
func (p *Partition) RecordWork(model string, spent time.Duration, now time.Time) {
	decayFactor := decay(now.Sub(p.updatedAt), workHalfLife)
	p.updatedAt = now
	for other := range p.workByModel {
		p.workByModel[other] *= decayFactor
	}
	if _, known := p.workByModel[model]; known || p.hasRoom() {
		p.workByModel[model] += spent.Seconds()
	}
}

// hasRoom reports whether the work on a further model is recorded, and drops negligible work if it must.
func (p *Partition) hasRoom() bool {
	if len(p.workByModel) >= maxPartitionModels {
		maps.DeleteFunc(p.workByModel, func(_ string, work float64) bool { return work < negligibleWork })
	}
	return len(p.workByModel) < maxPartitionModels
}

// Work returns the engine time that this daemon has recently spent on each model.
func (p *Partition) Work(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(p.workByModel))
	for model, work := range p.workByModel {
		out[model] = time.Duration(work * decay(now.Sub(p.updatedAt), workHalfLife) * float64(time.Second))
	}
	return out
}

// SetPeerWork sets the reported engine time of the other daemons by model, in seconds, and whether
// the work of this daemon counts beside it.
func (p *Partition) SetPeerWork(byModel map[string]float64, countOwn bool) {
	p.peerWork, p.countOwn = byModel, countOwn
}

// countedWork returns the work by model that decides the shares.
func (p *Partition) countedWork() map[string]float64 {
	if !p.countOwn {
		return p.peerWork
	}
	out := maps.Clone(p.workByModel)
	for model, work := range p.peerWork {
		out[model] += work
	}
	return out
}

func (p *Partition) currentShares() map[string]float64 {
	sum := 0.0
	work := p.countedWork()
	for _, w := range work {
		sum += w
	}
	shares := make(map[string]float64, len(work))
	for model, work := range work {
		if sum > 0 && work/sum >= minShare {
			shares[model] = work / sum
		}
	}
	return shares
}

func (p *Partition) setShares(shares map[string]float64) { p.shareByModel = shares }

// IndicesOutside returns the candidates outside a model's part. The order lists the candidate
// indices by hash, see LoadTracker.IndicesByHash. Daemons with similar traffic compute the
// same partition without coordination.
func (p *Partition) IndicesOutside(model string, order []int) (outside Set) {
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

// rebalance recomputes the shares if one has changed by more than rebalanceThreshold.
func (p *Partition) rebalance(engines int) {
	current := p.currentShares()
	if p.changed(current, engines) {
		p.setShares(current)
	}
}

func (p *Partition) changed(current map[string]float64, engines int) bool {
	for model, share := range current {
		if math.Abs(share-p.shareByModel[model])*float64(engines) > rebalanceThreshold {
			return true
		}
	}
	for model, share := range p.shareByModel {
		if current[model] == 0 && share*float64(engines) > rebalanceThreshold {
			return true
		}
	}
	return false
}

// indexRange returns the half-open range of a model's engines among n: at least one engine
// per model, the rest by share.
func (p *Partition) indexRange(model string, n int) (from, to int) {
	names := make([]string, 0, len(p.shareByModel))
	for name := range p.shareByModel {
		names = append(names, name)
	}
	slices.Sort(names)
	remaining, start, remainingShare := n, 0, 1.0
	for i, name := range names {
		others := len(names) - i - 1
		count := remaining
		if others > 0 {
			count = int(math.Round(p.shareByModel[name] / remainingShare * float64(remaining)))
			count = min(max(count, 1), remaining-others)
		}
		if name == model {
			return start, start + count
		}
		start, remaining, remainingShare = start+count, remaining-count, max(remainingShare-p.shareByModel[name], minShare)
	}
	return 0, n
}

// PartitionAffinity is the cost of running on an engine assigned to another model.
type PartitionAffinity struct {
	// Penalty is the cost of leaving the partition. Requests spill over when the
	// partition's delay exceeds that of other engines by more than this.
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
