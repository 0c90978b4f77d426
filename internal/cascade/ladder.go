package cascade

import "math"

// Ladder decides for streams whose head carries the model's own confidence:
// which model begins, and whether a larger one is asked before anything is passed
// on. An answer too hard for its model is worth next to nothing to the caller,
// and a larger model takes several times the server's time. So the confidence
// asked for is high while servers have time to spare, and falls as they fill.
type Ladder struct {
	pressure float64
}

const (
	// calmConfidence is asked for when servers have time to spare. Of fixed
	// thresholds on two quiet loads 60 earned most of what was owed, less the
	// price of the models: 0.847 and 0.815, against 0.840 and 0.803 at 70, and
	// 0.837 and 0.804 at 50. Between 50 and 60 a fifth of the answers is wrong.
	calmConfidence = 61
	// pressedConfidence is asked for when first events come as late as the route
	// allows. On heavy loads 50 earned most: 0.740 against 0.709 at 70.
	pressedConfidence = 45
	// calmPressure and fullPressure are the parts of the latency target, used
	// by first events lately, between which the threshold falls.
	calmPressure = 0.25
	fullPressure = 0.8
	// overConfidence is asked for when first events come far later than the route
	// allows: servers are overloaded, and what the larger model would answer comes
	// late, and makes others late. overPressure is where it is reached.
	overConfidence = 20
	overPressure   = 1.4
	// pressureWeight is the weight of a new first event in the pressure: about
	// the last 20 count, which is two seconds of one daemon's load.
	pressureWeight = 0.05
)

// Observed records how much of its latency target a first event used.
func (l *Ladder) Observed(part float64) {
	l.pressure += pressureWeight * (math.Min(part, 2) - l.pressure)
}

// Threshold returns the confidence asked for now, 0 to 100.
func (l *Ladder) Threshold() float64 {
	if l.pressure > fullPressure {
		return between(l.pressure, fullPressure, overPressure, pressedConfidence, overConfidence)
	}
	return between(l.pressure, calmPressure, fullPressure, calmConfidence, pressedConfidence)
}

// between goes from a to b as x goes from low to high.
func between(x, low, high, a, b float64) float64 {
	part := math.Max(0, math.Min(1, (x-low)/(high-low)))
	return a + part*(b-a)
}

// Pressure returns the part of the latency target used lately.
func (l *Ladder) Pressure() float64 { return l.pressure }

// First returns the index of the model to begin with. A stream that continues
// after an event goes to the largest: nobody knows which model made its
// beginning, and one piece by a model it was too hard for spoils the whole.
func (l *Ladder) First(models int, continued bool) int {
	if continued {
		return models - 1
	}
	return 0
}

// lateConfidence is asked for when the larger model's first event is expected
// after the latency target. A late answer has lost most of its value, so that one
// which is right half of the time and comes in time is worth more.
const lateConfidence = 42

// Next returns the model to ask after one answered with a confidence, or the
// same if its answer may stand. Late says that the larger model would begin after
// the latency target. The middle sizes are skipped: they are right hardly more
// often than the smallest. A negative confidence is none stated.
func (l *Ladder) Next(models, at int, confidence float64, late bool) int {
	asked := l.Threshold()
	if late {
		asked = math.Min(asked, lateConfidence)
	}
	if at >= models-1 || confidence < 0 || confidence >= asked {
		return at
	}
	return models - 1
}
