package cascade

import "testing"

func TestLadderAsksLessUnderLoad(t *testing.T) {
	var l Ladder
	if got := l.Threshold(1000); got != calmConfidence {
		t.Errorf("at ease %g", got)
	}
	for range 300 {
		l.Observed(0.8)
	}
	if got := l.Threshold(1000); got != calmConfidence {
		t.Errorf("in time %g", got)
	}
	for range 300 {
		l.Observed(2)
	}
	if got := l.Threshold(1000); got != leastConfidence {
		t.Errorf("overloaded %g", got)
	}
	for range 500 {
		l.Observed(0.3)
	}
	if got := l.Threshold(1000); got < calmConfidence-1 {
		t.Errorf("after the overload %g", got)
	}
}

// Symptom: a third of the engines was lost, and for the rest of the day first events took
// three times as long as usual, though the load was no larger than an hour before.
// Sequence: requests gather while the engines are lost. Two thirds of them ask the
// larger model, whose queue makes all others late, and so on.
// Cause: how often the larger model was asked followed the mean time to first events,
// which stays under the target while a third of them is late.
func TestLadderLeavesAnOverload(t *testing.T) {
	const (
		capacity = 60.0  // larger answers a second
		load     = 200.0 // requests a second, whose confidence is even from 0 to 100
		step     = 0.05  // seconds
		until    = 60.0  // seconds
	)
	var l Ladder
	waiting, late := 300.0, 0.0
	for now := 0.0; now < until; now += step {
		waiting = max(0, waiting+load*step*l.Threshold(1000)/100-capacity*step)
		first := 0.3 + waiting/capacity
		for range int(load * step) {
			l.Observed(first)
		}
		if first > 1 && now > until/2 {
			late += step
		}
	}
	if part := late / (until / 2); part > 0.25 {
		t.Errorf("in the second half of the time %.2f of the requests are late", part)
	}
}

func TestLadderSteps(t *testing.T) {
	var l Ladder
	for _, tt := range []struct {
		name       string
		models, at int
		confidence float64
		late       bool
		want       int
	}{
		{"sure", 3, 0, 90, false, 0},
		{"doubtful", 3, 0, 30, false, 2},
		{"doubtful at the largest", 3, 2, 5, false, 2},
		{"silent about itself", 3, 0, -1, false, 0},
		{"doubtful, but a larger one would be late", 3, 0, 50, true, 0},
		{"wrong for sure, though late", 3, 0, 20, true, 2},
		{"one model", 1, 0, 5, false, 0},
	} {
		if got := l.Next(tt.models, tt.at, 1000, tt.confidence, tt.late); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
	if l.First(3, 1000, false) != 0 || l.First(3, 1000, true) != 2 {
		t.Error("a continued stream goes to the largest model, others begin with the smallest")
	}
}

func TestLongPromptsTakeMostOfTheRelief(t *testing.T) {
	var l Ladder
	for range 400 {
		l.First(3, 1000, false)
		l.First(3, 9000, false)
	}
	if short, long := l.Threshold(1000), l.Threshold(9000); short != long {
		t.Errorf("at ease %g of short and %g of long prompts", short, long)
	}
	for range 10 {
		l.Observed(2)
	}
	if short, long := l.Threshold(1000), l.Threshold(9000); short < 50 || long > 15 {
		t.Errorf("under load %g of short and %g of long prompts", short, long)
	}
}
