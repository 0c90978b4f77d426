package routing

import "time"

// FirstTokenFit estimates a model's time to first token as a fixed time plus a time per
// uncached prompt token. It is a least-squares fit with exponentially decaying sample
// weights.
type FirstTokenFit struct {
	sumWeight, sumX, sumY, sumXX, sumXY float64
	// fixed and perToken are the fitted coefficients in seconds.
	fixed, perToken float64
}

const (
	// sampleDecay is the factor by which each new sample reduces the weight of older ones.
	sampleDecay = 0.983
	// priorSamples is the number of times that the initial values are entered.
	priorSamples = 4
	// priorTokens is the prompt length at which the initial slope is entered.
	priorTokens = 2000
	// minPerToken and maxPerToken bound the slope, in seconds per token. A steeper slope
	// indicates queueing rather than prefill.
	minPerToken = 1e-6
	maxPerToken = 1e-3
	// maxFixed bounds the fixed time, in seconds.
	maxFixed = 1.0
)

// NewFirstTokenFit returns a fit that starts at the given values.
func NewFirstTokenFit(fixed, perToken time.Duration) *FirstTokenFit {
	f := &FirstTokenFit{}
	for range priorSamples {
		f.add(0, fixed.Seconds())
		f.add(priorTokens, fixed.Seconds()+priorTokens*perToken.Seconds())
	}
	f.solve()
	return f
}

// Observe adds the time to first token of a prompt on a server without other pending
// prefills.
func (f *FirstTokenFit) Observe(uncached int, elapsed time.Duration) {
	f.add(float64(uncached), elapsed.Seconds())
	f.solve()
}

func (f *FirstTokenFit) add(x, y float64) {
	f.sumWeight = f.sumWeight*sampleDecay + 1
	f.sumX = f.sumX*sampleDecay + x
	f.sumY = f.sumY*sampleDecay + y
	f.sumXX = f.sumXX*sampleDecay + x*x
	f.sumXY = f.sumXY*sampleDecay + x*y
}

func (f *FirstTokenFit) solve() {
	denominator := f.sumWeight*f.sumXX - f.sumX*f.sumX
	if denominator > 0 {
		f.perToken = min(max((f.sumWeight*f.sumXY-f.sumX*f.sumY)/denominator, minPerToken), maxPerToken)
	}
	f.fixed = min(max((f.sumY-f.perToken*f.sumX)/f.sumWeight, 0), maxFixed)
}

// PerToken returns the prefill time per uncached prompt token.
func (f *FirstTokenFit) PerToken() time.Duration {
	return time.Duration(f.perToken * float64(time.Second))
}

// Fixed returns the time to first token of a fully cached prompt.
func (f *FirstTokenFit) Fixed() time.Duration { return time.Duration(f.fixed * float64(time.Second)) }

// Predict returns the expected time to first token of a prompt with the given number of
// uncached tokens.
func (f *FirstTokenFit) Predict(uncached int) time.Duration {
	return time.Duration((f.fixed + f.perToken*float64(uncached)) * float64(time.Second))
}
