package routing

import "time"

// FirstTokenFit learns how long a model takes to its first token: a fixed time, and a time
// for each prompt token that is not cached. It is a least-squares fit that forgets
// old samples, so that it follows a service whose VMs or versions change.
type FirstTokenFit struct {
	weight, x, y, xx, xy float64
	// fixed and perToken are the fit in seconds.
	fixed, perToken float64
}

const (
	// lineKeep is what a sample's weight keeps with each newer one: about the
	// last 60 count, some seconds of one daemon's load.
	lineKeep = 0.983
	// linePrior is the number of samples that the start values count for.
	linePrior = 4
	// priorTokens are the prompt lengths at which the start values are put in.
	priorTokens = 2000
	// leastPerToken and mostPerToken bound the slope in seconds: no engine reads
	// a million tokens a second, and one that needs a millisecond for each is
	// waiting for something else.
	leastPerToken = 1e-6
	mostPerToken  = 1e-3
	// mostFixed bounds the fixed time in seconds.
	mostFixed = 1.0
)

// NewFirstTokenFit returns a line that starts with the given values.
func NewFirstTokenFit(fixed, perToken time.Duration) *FirstTokenFit {
	l := &FirstTokenFit{}
	for range linePrior {
		l.add(0, fixed.Seconds())
		l.add(priorTokens, fixed.Seconds()+priorTokens*perToken.Seconds())
	}
	l.solve()
	return l
}

// Observe takes the time to a first token after some uncached prompt tokens on a
// server that had nothing else to read.
func (l *FirstTokenFit) Observe(uncached int, took time.Duration) {
	l.add(float64(uncached), took.Seconds())
	l.solve()
}

func (l *FirstTokenFit) add(x, y float64) {
	l.weight = l.weight*lineKeep + 1
	l.x = l.x*lineKeep + x
	l.y = l.y*lineKeep + y
	l.xx = l.xx*lineKeep + x*x
	l.xy = l.xy*lineKeep + x*y
}

func (l *FirstTokenFit) solve() {
	spread := l.weight*l.xx - l.x*l.x
	if spread > 0 {
		l.perToken = min(max((l.weight*l.xy-l.x*l.y)/spread, leastPerToken), mostPerToken)
	}
	l.fixed = min(max((l.y-l.perToken*l.x)/l.weight, 0), mostFixed)
}

// PerToken returns the time for one uncached prompt token.
func (l *FirstTokenFit) PerToken() time.Duration {
	return time.Duration(l.perToken * float64(time.Second))
}

// Fixed returns the time to the first token of a prompt that is wholly cached.
func (l *FirstTokenFit) Fixed() time.Duration { return time.Duration(l.fixed * float64(time.Second)) }

// Predict returns the expected time to the first token.
func (l *FirstTokenFit) Predict(uncached int) time.Duration {
	return time.Duration((l.fixed + l.perToken*float64(uncached)) * float64(time.Second))
}
