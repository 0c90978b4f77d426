package routing

import (
	"math"
	"slices"
	"time"
)

// PooledLoad sums what other daemons report of their recent load by model. Each daemon alone sees
// too few requests of a large fleet to divide the engines among the models as the others do, or to
// notice soon that an overload has begun. It answers the load of many daemons that each send
// little.
type PooledLoad struct {
	byDaemon map[string]*loadReport
	sums     map[uint32]ModelLoad
	// reporters is the number of daemons with load in sums.
	reporters int
	summedAt  time.Time
}

// ModelLoad is the recent load of one model. Recent means decaying sums.
type ModelLoad struct {
	// Seconds is the engine time of the requests sent, and Requests their number.
	Seconds, Requests float64
	// DelayCost is the sum over the requests of the cost of one second of delay, in the unit of
	// prices.
	DelayCost float64
}

func (l ModelLoad) valid() bool {
	for _, v := range []float64{l.Seconds, l.Requests, l.DelayCost} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return true
}

// add returns the sum of two loads, the other one scaled.
func (l ModelLoad) add(other, scale ModelLoad) ModelLoad {
	return ModelLoad{l.Seconds + scale.Seconds*other.Seconds, l.Requests + scale.Requests*other.Requests, l.DelayCost + scale.DelayCost*other.DelayCost}
}

type loadReport struct {
	byModel map[uint32]ModelLoad
	at      time.Time
}

const (
	// loadReportLifetime is how long a report counts without a newer one.
	loadReportLifetime = 10 * time.Second
	// loadSumInterval is the time between two sums.
	loadSumInterval = 500 * time.Millisecond
	// maxLoadRatio bounds a daemon's load as a multiple of the median of the daemons that have
	// any, so that a wrong report cannot take the engines of a model. maxCostRatio is the same for
	// the cost of delay, which differs more: it rises at few daemons first.
	maxLoadRatio = 4
	maxCostRatio = 16
	// MaxReportedModels is the number of models in one report.
	MaxReportedModels = 16
)

// NewPooledLoad returns an empty pool.
func NewPooledLoad() *PooledLoad { return &PooledLoad{byDaemon: map[string]*loadReport{}} }

// Record replaces the report of a daemon, by the key of the model. It reports false, and keeps the
// previous one, if the report has too many models or an invalid amount.
func (p *PooledLoad) Record(daemon string, byModel map[uint32]ModelLoad, now time.Time) bool {
	if len(byModel) > MaxReportedModels {
		return false
	}
	for _, load := range byModel {
		if !load.valid() {
			return false
		}
	}
	p.byDaemon[daemon] = &loadReport{byModel, now}
	if len(p.byDaemon) > maxLoadReports {
		p.forget(now)
	}
	return true
}

// maxLoadReports is the number of reports beyond which expired ones are dropped at once.
const maxLoadReports = 256

// forget drops the reports that have expired.
func (p *PooledLoad) forget(now time.Time) {
	for daemon, report := range p.byDaemon {
		if now.Sub(report.at) > loadReportLifetime {
			delete(p.byDaemon, daemon)
		}
	}
}

// Reporters returns the number of other daemons that have reported load.
func (p *PooledLoad) Reporters(now time.Time) int {
	p.refresh(now)
	return p.reporters
}

// Of returns the sum for a model.
func (p *PooledLoad) Of(model uint32, now time.Time) ModelLoad {
	p.refresh(now)
	return p.sums[model]
}

func (p *PooledLoad) refresh(now time.Time) {
	if now.Sub(p.summedAt) >= loadSumInterval {
		p.sum(now)
	}
}

func (p *PooledLoad) sum(now time.Time) {
	p.summedAt, p.sums, p.reporters = now, map[uint32]ModelLoad{}, 0
	p.forget(now)
	limits := p.limits()
	for _, report := range p.byDaemon {
		total := report.total()
		if total.Seconds > 0 {
			p.reporters++
		}
		scale := total.scaleTo(limits)
		for model, load := range report.byModel {
			p.sums[model] = p.sums[model].add(load, scale)
		}
	}
}

// scaleTo returns the factors by which the quantities must be reduced to keep within limits.
func (l ModelLoad) scaleTo(limits ModelLoad) ModelLoad {
	return ModelLoad{Seconds: reduction(l.Seconds, limits.Seconds), Requests: reduction(l.Requests, limits.Requests), DelayCost: reduction(l.DelayCost, limits.DelayCost)}
}

func reduction(amount, limit float64) float64 {
	if amount <= limit {
		return 1
	}
	return limit / amount
}

// limits returns the most that one daemon's report counts of each quantity.
func (p *PooledLoad) limits() ModelLoad {
	var seconds, requests, costs []float64
	for _, report := range p.byDaemon {
		total := report.total()
		seconds, requests, costs = append(seconds, total.Seconds), append(requests, total.Requests), append(costs, total.DelayCost)
	}
	return ModelLoad{Seconds: maxLoadRatio * medianOfPositive(seconds), Requests: maxLoadRatio * medianOfPositive(requests), DelayCost: maxCostRatio * medianOfPositive(costs)}
}

func medianOfPositive(list []float64) float64 {
	list = slices.DeleteFunc(list, func(v float64) bool { return v <= 0 })
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

func (r *loadReport) total() (sum ModelLoad) {
	for _, load := range r.byModel {
		sum = sum.add(load, ModelLoad{1, 1, 1})
	}
	return sum
}
