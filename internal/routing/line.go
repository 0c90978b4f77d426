package routing

import "time"

// FirstTokenFit learns how long a model takes to its first token: a fixed time, and a time
// for each prompt token that is not cached. It is a least-squares fit that forgets
// old samples, so that it follows a service whose VMs or versions change.
type FirstTokenFit struct {
	sumWeight, sumX, sumY, sumXX, sumXY float64
	// fixed and perToken are the fit in seconds.
	fixed, perToken float64
}

const (
	// sampleDecay is what a sample's weight keeps with each newer one: about the
	// last 60 count, some seconds of one daemon's load.
	sampleDecay = 0.983
	// priorSamples is the number of samples that the start values count for.
	priorSamples = 4
	// priorTokens are the prompt lengths at which the start values are put in.
	priorTokens = 2000
	// minPerToken and mostPerToken bound the slope in seconds: no engine reads
	// a million tokens a second, and one that needs a millisecond for each is
	// waiting for something else.
	minPerToken = 1e-6
	maxPerToken = 1e-3
	// maxFixed bounds the fixed time in seconds.
	maxFixed = 1.0
)

// NewFirstTokenFit returns a line that starts with the given values.
func NewFirstTokenFit(fixed, perToken time.Duration) *FirstTokenFit {
	l := &FirstTokenFit{}
	for range priorSamples {
		l.add(0, fixed.Seconds())
		l.add(priorTokens, fixed.Seconds()+priorTokens*perToken.Seconds())
	}
	l.solve()
	return l
}

// Observe takes the time to a first token after some uncached prompt tokens on a
// server that had nothing else to read.
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

// PerToken returns the time for one uncached prompt token.
func (f *FirstTokenFit) PerToken() time.Duration {
	return time.Duration(f.perToken * float64(time.Second))
}

// Fixed returns the time to the first token of a prompt that is wholly cached.
func (f *FirstTokenFit) Fixed() time.Duration { return time.Duration(f.fixed * float64(time.Second)) }

// Predict returns the expected time to the first token.
func (f *FirstTokenFit) Predict(uncached int) time.Duration {
	return time.Duration((f.fixed + f.perToken*float64(uncached)) * float64(time.Second))
}
