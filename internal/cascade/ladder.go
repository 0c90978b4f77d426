package cascade

import "math"

// Ladder decides for streams whose head carries the model's own confidence:
// which model begins, and whether a larger one is asked before anything is passed
// on. An answer too hard for its model is worth next to nothing to the caller,
// and a larger model takes several times the server's time. So the confidence
// asked for is high while servers have time to spare, and falls as they fill.
type Ladder struct {
	// relief is how much less confidence is asked for because first events came late.
	relief float64
	// tokens is the mean length of prompts lately.
	tokens float64
}

const (
	// calmConfidence is asked for when first events come in time. Of fixed thresholds
	// on two quiet loads 60 earned most of what was owed, less the price of the models:
	// 0.847 and 0.815, against 0.840 and 0.803 at 70, and 0.837 and 0.804 at 50. Between
	// 50 and 60 a fifth of the answers is wrong.
	calmConfidence = 61
	// leastConfidence is asked for at least: an answer doubted more is wrong for sure.
	leastConfidence = 5
	// lateFrom is the part of the latency target from which a first event counts as
	// late: the caller's way to the daemon is not in it.
	lateFrom = 0.95
	// reliefStep is how much less is asked for after each late first event, and
	// reliefKeep what is left of the relief after each one in time. They balance where
	// 5 in 100 are late at a confidence of 45, and 12 in 100 at 20. Asking by the mean
	// time to first events instead balanced with a third of them late: the queues that
	// the larger model had filled kept all engines slow long after the surge that filled
	// them. Shares of the worth that was owed on the heaviest days, by mean and by
	// relief: 0.619 and 0.640, 0.806 and 0.815, and 0.584 and 0.616 after a loss of a
	// third of the engines.
	reliefStep = 3
	reliefKeep = 0.99
	// leastWeight and mostWeight bound how much of the relief a prompt takes by its
	// length: see Threshold.
	leastWeight = 0.3
	mostWeight  = 2
	// tokensWeight is the weight of a new prompt in the mean length: some 50 count.
	tokensWeight = 0.02
)

// Observed records how much of its latency target a first event used.
func (l *Ladder) Observed(part float64) {
	if part < lateFrom {
		l.relief *= reliefKeep
		return
	}
	l.relief = math.Min(l.relief+reliefStep, calmConfidence-leastConfidence)
}

// Threshold returns the confidence asked for now of an answer to a prompt of some
// tokens, 0 to 100. Long prompts take most of the relief: while the larger model reads
// one of nine thousand tokens it could read four of two thousand, and a right answer to
// each of these is worth more than half as much. Without this 0.629 of what was owed on
// three heavy days was earned, with it 0.646, and 0.634 and 0.643 in larger deployments.
func (l *Ladder) Threshold(tokens int) float64 {
	weight := 1.0
	if l.tokens > 0 {
		weight = min(max(float64(tokens)/l.tokens, leastWeight), mostWeight)
	}
	return math.Max(calmConfidence-weight*l.relief, leastConfidence)
}

// First returns the index of the model to begin with for a prompt of some tokens. A stream that continues
// after an event goes to the largest: nobody knows which model made its
// beginning, and one piece by a model it was too hard for spoils the whole.
func (l *Ladder) First(models, tokens int, continued bool) int {
	if l.tokens == 0 {
		l.tokens = float64(tokens)
	}
	l.tokens += tokensWeight * (float64(tokens) - l.tokens)
	if continued {
		return models - 1
	}
	return 0
}

// lateConfidence is asked for when the larger model's first event is expected
// after the latency target. A late answer has lost most of its value, so that one
// which is right half of the time and comes in time is worth more.
const lateConfidence = 42

// Next returns the model to ask after one answered a prompt of some tokens with a
// confidence, or the same if its answer may stand. Late says that the larger model would begin after
// the latency target. The middle sizes are skipped: they are right hardly more
// often than the smallest. A negative confidence is none stated.
func (l *Ladder) Next(models, at, tokens int, confidence float64, late bool) int {
	asked := l.Threshold(tokens)
	if late {
		asked = math.Min(asked, lateConfidence)
	}
	if at >= models-1 || confidence < 0 || confidence >= asked {
		return at
	}
	return models - 1
}
