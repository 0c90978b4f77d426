package cascade

import "testing"

// class makes a class whose cheap answers of every band are good at a rate.
func class(mass, cheap, dear float64) *Class {
	c := &Class{Expensive: Rate{Good: dear * 1000, Total: 1000}}
	for i := range c.BandCounts {
		c.BandCounts[i] = mass
		c.Cheap[i] = Rate{Good: cheap * 1000, Total: 1000}
	}
	return c
}

var prices = Costs{Cheap: 1, Expensive: 10}

// On easy cases the plan is the naive one; where it differs, the case says why.
func TestMake(t *testing.T) {
	easy, hard := class(1, 0.98, 0.98), class(1, 0.2, 0.98)
	p := NewPlan(map[string]*Class{"easy": easy}, prices, 0.9)
	if !p.UseCheapFirst("easy", true, 1) || !p.Accepts("easy", 0.1) {
		t.Error("a cheap model as good as the dear one is not used")
	}
	p = NewPlan(map[string]*Class{"hard": hard}, prices, 0.9)
	if p.UseCheapFirst("hard", true, 1) || p.Accepts("hard", 0.99) {
		t.Error("a class whose cheap answers are bad still asks for them: cheap-then-escalate pays twice")
	}
	if !p.UseCheapFirst("hard", true, 0) {
		t.Error("a dear-first class never finds out that the cheap model got better")
	}
	p = NewPlan(map[string]*Class{"easy": easy, "hard": hard}, prices, 0.9)
	if !p.Accepts("easy", 0.5) || p.Accepts("hard", 0.5) || p.Quality < 0.9 {
		t.Errorf("mixed: %+v", p)
	}
	if p := (Plan{}); !p.UseCheapFirst("new", false, 1) || p.Accepts("new", 0.99) {
		t.Error("an unknown class must ask the cheap model and let nothing stand unjudged")
	}
	if p := NewPlan(nil, prices, 0.9); p.Cost != 0 {
		t.Errorf("no class: %+v", p)
	}
}

func TestTargetOutOfReachGoesDear(t *testing.T) {
	p := NewPlan(map[string]*Class{"a": class(1, 0.9, 0.92)}, prices, 0.99)
	if p.UseCheapFirst("a", true, 1) {
		t.Error("a target that even the dear model misses is no reason to go cheap")
	}
}

// Symptom: bad cheap answers stand for hundreds of requests after a silent change
// of the cheap model.
// Sequence: 200 good ratings, then four of ten are bad.
// Cause: a fading mean follows slowly; the evidence must be dropped at once.
func TestDropOfQualityIsNoticed(t *testing.T) {
	c := class(1, 0.97, 0.98)
	for i := range 200 {
		c.RecordRating(0.9, i%33 != 0)
	}
	if c.distrust != 0 {
		t.Fatal("good ratings raised an alarm")
	}
	n := 0
	for ; c.distrust == 0 && n < 60; n++ {
		c.RecordRating(0.9, n%10 >= 4)
	}
	if n > 25 {
		t.Fatalf("noticed after %d ratings", n)
	}
	c.Reset()
	if c.distrust != 0 || c.Expensive.Total == 0 {
		t.Fatal("a new version of the cheap model starts with distrust, or the dear model's evidence is gone")
	}
}
