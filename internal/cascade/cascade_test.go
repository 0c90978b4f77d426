package cascade

import "testing"

// uniformClass returns a class with the same count and the same pass rates in every band.
func uniformClass(count, cheap, expensive float64) *Class {
	c := &Class{Expensive: PassRate{Good: expensive * 1000, Total: 1000}}
	for i := range c.BandCounts {
		c.BandCounts[i] = count
		c.Cheap[i] = PassRate{Good: cheap * 1000, Total: 1000}
	}
	return c
}

var testCosts = Costs{Cheap: 1, Expensive: 10}

func TestNewPlan(t *testing.T) {
	easy, hard := uniformClass(1, 0.98, 0.98), uniformClass(1, 0.2, 0.98)
	plan := NewPlan(map[string]*Class{"easy": easy}, testCosts, 0.9)
	if !plan.UseCheapFirst("easy", true, 1) || !plan.Accepts("easy", 0.1) {
		t.Error("cheap model as good as the expensive one is not used")
	}
	plan = NewPlan(map[string]*Class{"hard": hard}, testCosts, 0.9)
	if plan.UseCheapFirst("hard", true, 1) || plan.Accepts("hard", 0.99) {
		t.Error("class with bad cheap answers goes to the cheap model first")
	}
	if !plan.UseCheapFirst("hard", true, 0) {
		t.Error("no exploration of the cheap model in an expensive-first class")
	}
	plan = NewPlan(map[string]*Class{"easy": easy, "hard": hard}, testCosts, 0.9)
	if !plan.Accepts("easy", 0.5) || plan.Accepts("hard", 0.5) || plan.Quality < 0.9 {
		t.Errorf("easy and hard class: %+v", plan)
	}
	if plan := (Plan{}); !plan.UseCheapFirst("new", false, 1) || plan.Accepts("new", 0.99) {
		t.Error("unknown class must go to the cheap model first and accept no answer")
	}
	if plan := NewPlan(nil, testCosts, 0.9); plan.Cost != 0 {
		t.Errorf("no classes: %+v", plan)
	}
}

func TestUnreachableTargetUsesExpensiveModel(t *testing.T) {
	plan := NewPlan(map[string]*Class{"a": uniformClass(1, 0.9, 0.92)}, testCosts, 0.99)
	if plan.UseCheapFirst("a", true, 1) {
		t.Error("cheap model used although even the expensive one misses the target")
	}
}

// A drop of the cheap model's quality must be detected within a few ratings.
func TestQualityDropIsDetected(t *testing.T) {
	class := uniformClass(1, 0.97, 0.98)
	for i := range 200 {
		class.RecordRating(0.9, i%33 != 0)
	}
	if class.priorPenalty != 0 {
		t.Fatal("drop detected in good ratings")
	}
	n := 0
	for ; class.priorPenalty == 0 && n < 60; n++ {
		class.RecordRating(0.9, n%10 >= 4)
	}
	if n > 25 {
		t.Fatalf("drop detected after %d ratings, want at most 25", n)
	}
	class.Reset()
	if class.priorPenalty != 0 || class.Expensive.Total == 0 {
		t.Fatal("Reset kept the prior penalty or dropped the expensive model's ratings")
	}
}
