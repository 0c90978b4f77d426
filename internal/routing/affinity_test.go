package routing

import (
	"math/rand/v2"
	"testing"
)

// A short wait at the engine that has the prefix cached must be preferred to a repeated
// prefill on an idle engine, which would delay other requests.
func TestPickPrefersCachedPrefixOverIdleEngine(t *testing.T) {
	c := idleEngines(2)
	rng := rand.New(rand.NewPCG(1, 1))
	c[0].PendingPrefill = 60_000
	r := Request{PromptTokens: 50_000, Blocks: []uint64{1, 2}, BlockEnds: []int{45_000, 50_000}, SharedPrefixTokens: 45_000}
	r.CachedBlocks[0] = 1
	if got := EnginePipeline().Pick(&r, c, rng).Index; got != 0 {
		t.Errorf("picked engine %d, want 0", got)
	}
	c[0].PendingPrefill = 2_000_000
	if got := EnginePipeline().Pick(&r, c, rng).Index; got != 1 {
		t.Errorf("cached engine busy for 2 s: picked engine %d, want 1", got)
	}
}
