package cascade

import (
	"math"
	"time"
)

// LatencyForecast estimates the distribution of the ratio of actual to expected times, to
// predict the probability that a deadline is met. The ratio is modeled as log-normal. The
// zero value assumes no bias and a deviation of priorStdDev.
type LatencyForecast struct {
	weight, bias, variance float64
}

const (
	// priorStdDev is the initial standard deviation of the ratio's logarithm: two thirds of
	// the times lie within 0.55 to 1.8 of the expected one.
	priorStdDev = 0.6
	// priorSamples is the weight of the prior, in samples.
	priorSamples = 10
	// maxForecastWeight bounds the weight of the past, in samples, so that old samples
	// decay.
	maxForecastWeight = 100
	// minStdDev bounds the standard deviation from below.
	minStdDev = 0.1
	// maxFactor bounds the ratio of one sample. A longer wait is a lost connection.
	maxFactor = 100
	// minExpected bounds times from below, in seconds, to keep ratios finite.
	minExpected = 0.001
	// logisticScale converts standard deviations to the argument of the logistic function,
	// which approximates the normal distribution.
	logisticScale = math.Pi / 1.7320508
)

// Observe adds an actual time and its expected value.
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

// ProbabilityWithin returns the probability that an operation with an expected time ends within the
// limit.
func (f *LatencyForecast) ProbabilityWithin(expected, limit time.Duration) float64 {
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
