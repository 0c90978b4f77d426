package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against long bodies that are moved to another failure domain although a near engine
// would answer as soon, and against a near engine that is preferred over much work less.
func TestLongBodiesStayInTheirFailureDomain(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	candidates := func(nearBacklog float64) []Candidate {
		out := make([]Candidate, 8)
		for i := range out {
			out[i] = Candidate{ID: string(rune('a' + i)), FailureDomain: "far", Slots: 16, PrefillPerToken: 10 * time.Microsecond}
		}
		out[5].FailureDomain, out[5].PendingPrefill = "near", nearBacklog
		return out
	}
	r := &Request{PromptTokens: 1000, FailureDomain: "near", LocalCandidates: 8, BodyBytes: 18000}
	for range 50 {
		if d := EnginePipeline().Pick(r, candidates(1000), rng); d.Index != 5 {
			t.Fatalf("with little work near: %d", d.Index)
		}
		if d := EnginePipeline().Pick(r, candidates(20000), rng); d.Index == 5 {
			t.Fatal("near although 0.2 s of work waits there")
		}
	}
	d := EnginePipeline().Pick(r, candidates(1000), rng)
	if d.Expected > 30*time.Millisecond {
		t.Errorf("the distance counts as time: %s", d.Expected)
	}
}

// Guards against few near engines that are filled while many others are idle.
func TestDistanceCountsLessWithFewNearEngines(t *testing.T) {
	s := Distance{PerKB: 10 * time.Millisecond, Halved: 8}
	far := &Candidate{ID: "a", FailureDomain: "far"}
	for near, want := range map[int]time.Duration{0: 0, 2: 4 * time.Millisecond, 8: 10 * time.Millisecond, 24: 15 * time.Millisecond} {
		r := &Request{FailureDomain: "near", LocalCandidates: near, BodyBytes: 2000}
		if got := s.Cost(r, far, 0); got != want {
			t.Errorf("%d near: %s in place of %s", near, got, want)
		}
	}
}
