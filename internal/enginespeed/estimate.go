package enginespeed

import (
	"math"
	"slices"
	"time"
)

// Estimate is the estimated speed of one engine.
type Estimate struct {
	Engine Engine
	// LogRatio is the logarithm of the ratio of the engine's time to the typical engine's.
	LogRatio float64
	// Samples and Daemons are the observations and the daemons behind the estimate.
	Samples float64
	Daemons int
}

const (
	// minKnownSamples is the number of samples with which an engine counts for the median.
	minKnownSamples = 4
	// minKnownEngines is the number of engines that the median needs.
	minKnownEngines = 3
	// minPools is the number of collectors that must have reported an engine.
	minPools = 2
	// overlap is about how often the pooled sums of partners have the same observation.
	overlap = 2
)

// Estimates returns the estimates for the engines of one service that are known well enough. The
// median engine has the ratio 1, so that what daemons expect wrongly of all engines cancels.
func (t *Table) Estimates(engines []Engine, now time.Duration) []Estimate {
	known := make([]Estimate, 0, len(engines))
	var means []float64
	spreads := make([][]summary, 0, len(engines))
	for _, engine := range engines {
		pools := t.poolsOf(engine, now)
		if len(pools) < t.requiredPools() {
			continue
		}
		e := Estimate{Engine: engine, Samples: math.Inf(1)}
		mean := 0.0
		for _, p := range pools {
			mean += p.mean / float64(len(pools))
			e.Samples = min(e.Samples, p.samples(now))
			e.Daemons = max(e.Daemons, p.daemons)
		}
		if e.Samples >= minKnownSamples {
			known, means, spreads = append(known, e), append(means, mean), append(spreads, pools)
		}
	}
	if len(known) < minKnownEngines {
		return nil
	}
	typical := median(means)
	for i := range known {
		known[i].LogRatio = agreed(spreads[i], typical) * known[i].Samples / (known[i].Samples + priorSamples)
	}
	return known
}

// requiredPools returns how many collectors must have reported an engine.
func (t *Table) requiredPools() int {
	if t.partnersOnly {
		return 1
	}
	return min(minPools, len(t.daemons))
}

// poolsOf returns the pooled sums of an engine by its collectors.
func (t *Table) poolsOf(engine Engine, now time.Duration) []summary {
	if t.partnersOnly {
		return t.partnersPool(engine, now)
	}
	var out []summary
	if own, collected := t.ownPools[engine]; collected {
		out = append(out, own)
	}
	for daemon, p := range t.pools[engine] {
		if t.collects(daemon, engine) {
			out = append(out, p)
		}
	}
	return out
}

// partnersPool combines the pooled sums of all partners.
func (t *Table) partnersPool(engine Engine, now time.Duration) []summary {
	if len(t.pools[engine]) == 0 && t.ownPools[engine].count == 0 {
		return nil
	}
	p := poolOf(t.ownPools[engine], t.pools[engine], now)
	p.count /= overlap
	return []summary{p}
}

// agreed returns the median deviation from the typical mean. Of two pools it is the smaller one, or
// zero if they differ in direction: one collector alone can only make an engine look typical.
func agreed(pools []summary, typical float64) float64 {
	deviations := make([]float64, len(pools))
	for i, p := range pools {
		deviations[i] = p.mean - typical
	}
	slices.Sort(deviations)
	if len(deviations) != 2 {
		return deviations[len(deviations)/2]
	}
	return max(deviations[0], 0) + min(deviations[1], 0)
}
