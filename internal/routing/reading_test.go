package routing

import (
	"math/rand/v2"
	"testing"
)

// Symptom: a fifth of all prompt tokens were read again though another engine had them.
// Sequence: the engine that has a prompt's beginning has 60 ms to read; an idle one
// would read the whole prompt in 50 ms.
// Cause: the time to the request's own first token was all that counted; the engine time
// that reading again takes is paid by those that come after.
func TestPromptWaitsWhereItIsCached(t *testing.T) {
	c := engines(2)
	rng := rand.New(rand.NewPCG(1, 1))
	c[0].PendingPrefill = 60_000
	r := Request{PromptTokens: 50_000, Blocks: []uint64{1, 2}, BlockEnds: []int{45_000, 50_000}, SharedPrefixTokens: 45_000}
	r.CachedBlocks[0] = 1
	if got := EnginePipeline().Pick(&r, c, rng).Index; got != 0 {
		t.Errorf("the prompt went to engine %d", got)
	}
	c[0].PendingPrefill = 2_000_000
	if got := EnginePipeline().Pick(&r, c, rng).Index; got != 1 {
		t.Errorf("with two seconds of work ahead the prompt went to engine %d", got)
	}
}
