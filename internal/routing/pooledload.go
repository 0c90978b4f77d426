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
	summedAt time.Time
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
func (l ModelLoad) add(other ModelLoad, scale float64) ModelLoad {
	return ModelLoad{l.Seconds + scale*other.Seconds, l.Requests + scale*other.Requests, l.DelayCost + scale*other.DelayCost}
}

type loadReport struct {
	byModel map[uint32]ModelLoad
	at      time.Time
}

const (
	// loadReportLifetime is how long a report counts without a newer one.
	loadReportLifetime = 5 * time.Second
	// loadSumInterval is the time between two sums.
	loadSumInterval = 500 * time.Millisecond
	// maxLoadRatio bounds a daemon's load as a multiple of the median of the daemons that have
	// any, so that a wrong report cannot take the engines of a model or set its price.
	maxLoadRatio = 4
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
	return true
}

// Of returns the sum for a model.
func (p *PooledLoad) Of(model uint32, now time.Time) ModelLoad {
	if now.Sub(p.summedAt) >= loadSumInterval {
		p.sum(now)
	}
	return p.sums[model]
}

func (p *PooledLoad) sum(now time.Time) {
	p.summedAt, p.sums = now, map[uint32]ModelLoad{}
	for daemon, report := range p.byDaemon {
		if now.Sub(report.at) > loadReportLifetime {
			delete(p.byDaemon, daemon)
		}
	}
	limits := p.limits()
	for _, report := range p.byDaemon {
		total := report.total()
		scale := 1.0
		for i, amount := range total.amounts() {
			if amount > limits[i] {
				scale = min(scale, limits[i]/amount)
			}
		}
		for model, load := range report.byModel {
			p.sums[model] = p.sums[model].add(load, scale)
		}
	}
}

// amounts lists the bounded quantities.
func (l ModelLoad) amounts() [3]float64 { return [3]float64{l.Seconds, l.Requests, l.DelayCost} }

// limits returns the most that one daemon's report counts of each quantity.
func (p *PooledLoad) limits() (limits [3]float64) {
	var totals [3][]float64
	for _, report := range p.byDaemon {
		for i, amount := range report.total().amounts() {
			if amount > 0 {
				totals[i] = append(totals[i], amount)
			}
		}
	}
	for i, list := range totals {
		if slices.Sort(list); len(list) > 0 {
			limits[i] = maxLoadRatio * list[len(list)/2]
		}
	}
	return limits
}

func (r *loadReport) total() (sum ModelLoad) {
	for _, load := range r.byModel {
		sum = sum.add(load, 1)
	}
	return sum
}
