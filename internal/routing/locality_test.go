package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Large bodies must stay in their failure domain unless its engines are much busier.
func TestLocalityPrefersOwnFailureDomainForLargeBodies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	candidatesWithLocalBacklog := func(nearBacklog float64) []Candidate {
		out := make([]Candidate, 8)
		for i := range out {
			out[i] = Candidate{ID: string(rune('a' + i)), FailureDomain: "far", Slots: 16, PrefillPerToken: 10 * time.Microsecond}
		}
		out[5].FailureDomain, out[5].PendingPrefill = "near", nearBacklog
		return out
	}
	r := &Request{PromptTokens: 1000, FailureDomain: "near", LocalCandidates: 8, BodyBytes: 18000}
	for range 50 {
		if d := EnginePipeline().Pick(r, candidatesWithLocalBacklog(1000), rng); d.Index != 5 {
			t.Fatalf("small local backlog: picked %d, want 5", d.Index)
		}
		if d := EnginePipeline().Pick(r, candidatesWithLocalBacklog(20000), rng); d.Index == 5 {
			t.Fatal("picked the local engine despite a backlog of 0.2 s")
		}
	}
	d := EnginePipeline().Pick(r, candidatesWithLocalBacklog(1000), rng)
	if d.Expected > 30*time.Millisecond {
		t.Errorf("locality cost counted as expected time: %s", d.Expected)
	}
}

// A few local engines must not fill up while many remote ones are idle.
func TestLocalityCostDecreasesWithFewLocalCandidates(t *testing.T) {
	s := Locality{PerKB: 10 * time.Millisecond, HalfCostAt: 8}
	far := &Candidate{ID: "a", FailureDomain: "far"}
	for near, want := range map[int]time.Duration{0: 0, 2: 4 * time.Millisecond, 8: 10 * time.Millisecond, 24: 15 * time.Millisecond} {
		r := &Request{FailureDomain: "near", LocalCandidates: near, BodyBytes: 2000}
		if got := s.Cost(r, far, 0); got != want {
			t.Errorf("%d local candidates: %s, want %s", near, got, want)
		}
	}
}
