package cascade

import (
	"math"
	"time"
)

// LatencyForecast learns by which factor times come out from what was expected of them,
// so that a decision can ask how likely something is over by then. An estimate that
// is right on average says little there: first events come after twice the expected
// time in one case of ten, and it is these that miss a target.
//
// The logarithm of the factor is taken for normal. The zero value expects no bias
// and the spread of priorSpread.
type LatencyForecast struct {
	weight, bias, variance float64
}

const (
	// priorStdDev is the spread of the factor's logarithm before the first sample:
	// two thirds of the times lie within 0.55 to 1.8 of the expected one.
	priorStdDev = 0.6
	// priorSamples is the number of samples that the prior counts for.
	priorSamples = 10
	// maxForecastWeight is the number of samples that count: some ten seconds of one
	// daemon's requests.
	maxForecastWeight = 100
	// minStdDev keeps the forecast from certainty.
	minStdDev = 0.1
	// maxFactor bounds one sample: a wait that is a hundred times the expected one
	// is a lost connection.
	maxFactor = 100
	// minExpected keeps factors finite, in seconds.
	minExpected = 0.001
	// logisticScale turns a deviation in units of the spread into the argument of
	// the logistic curve that has the same spread.
	logisticScale = math.Pi / 1.7320508
)

// Observe takes a time and what had been expected of it.
func (f *LatencyForecast) Observe(expected, actual time.Duration) {
	f.initialize()
	factor := max(actual.Seconds(), minExpected) / max(expected.Seconds(), minExpected)
	x := math.Log(min(max(factor, 1.0/maxFactor), maxFactor))
	f.weight = min(f.weight+1, maxForecastWeight)
	deviation := x - f.bias
	f.bias += deviation / f.weight
	f.variance += (deviation*deviation - f.variance) / f.weight
}

func (f *LatencyForecast) initialize() {
	if f.weight == 0 {
		f.weight, f.variance = priorSamples, priorStdDev*priorStdDev
	}
}

// Within returns the probability that something of which a time is expected is over
// within another.
func (f *LatencyForecast) Within(expected, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	if expected <= 0 {
		return 1
	}
	f.initialize()
	margin := math.Log(limit.Seconds()/max(expected.Seconds(), minExpected)) - f.bias
	return logistic(logisticScale * margin / max(math.Sqrt(f.variance), minStdDev))
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }
