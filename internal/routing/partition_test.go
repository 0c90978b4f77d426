package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func idleEngines(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprint("e", i), Slots: 8, PrefillPerToken: time.Microsecond}
	}
	return out
}

// sequentialIndices returns 0 to n-1.
func sequentialIndices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestPartitionDividesEnginesByWork(t *testing.T) {
	for _, tt := range []struct {
		n            int
		small, large float64
		wantSmall    int
	}{
		{9, 1, 4, 2}, {9, 1, 1, 5}, {9, 1, 50, 1}, {2, 1, 9, 1}, {64, 1, 3, 16}, {126, 1, 3, 32},
	} {
		partition := NewPartition(map[string]float64{"small": tt.small, "large": tt.large})
		indices := sequentialIndices(tt.n)
		notSmall, notLarge := partition.IndicesOutside("small", indices), partition.IndicesOutside("large", indices)
		small, large := tt.n-notSmall.Len(), tt.n-notLarge.Len()
		if both := notSmall.Intersect(notLarge); small+large != tt.n || !both.Empty() {
			t.Errorf("%d engines: parts of %d and %d engines overlap or leave engines out", tt.n, small, large)
		}
		if small < tt.wantSmall-1 || small > tt.wantSmall+1 {
			t.Errorf("%d engines at work %g to %g: the small model has %d, want about %d", tt.n, tt.small, tt.large, small, tt.wantSmall)
		}
	}
}

func TestPartitionInactiveForOneModelOrTooFewEngines(t *testing.T) {
	if f := NewPartition(map[string]float64{"m": 1}).IndicesOutside("m", sequentialIndices(5)); !f.Empty() {
		t.Errorf("one model: outside %b", f)
	}
	if f := NewPartition(map[string]float64{"a": 1, "b": 1}).IndicesOutside("a", sequentialIndices(1)); !f.Empty() {
		t.Errorf("one engine: outside %b", f)
	}
	if f := NewPartition(map[string]float64{"a": 1, "b": 1}).IndicesOutside("c", sequentialIndices(5)); !f.Empty() {
		t.Errorf("unknown model: outside %b", f)
	}
}

func TestPartitionRebalancesWithWork(t *testing.T) {
	partition := NewPartition(map[string]float64{"small": 1, "large": 4})
	now := time.Unix(100, 0)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		partition.RecordWork("small", 100*time.Millisecond, now)
		partition.RecordWork("large", 100*time.Millisecond, now)
	}
	outside := partition.IndicesOutside("small", sequentialIndices(10))
	if n := 10 - outside.Len(); n < 4 || n > 6 {
		t.Errorf("the small model has %d of 10 engines for half of the work", n)
	}
}

// A request must leave its partition once the delay there exceeds the penalty.
func TestOverloadedPartitionSpillsOver(t *testing.T) {
	c := idleEngines(2)
	c[0].PendingPrefill = 2_000_000 // 2 s of prefill
	r := &Request{PromptTokens: 1000, OutsidePartition: NewSet(1)}
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 1 {
		t.Errorf("partition overloaded by 2 s: picked %d, want 1", d.Index)
	}
	c[0].PendingPrefill = 500_000
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 0 {
		t.Errorf("left the partition for a delay of 0.5 s")
	}
}

func TestFirstTokenFitConverges(t *testing.T) {
	fit := NewFirstTokenFit(60*time.Millisecond, 5*time.Microsecond)
	for i := range 400 {
		tokens := 500 + i%10*700
		fit.Observe(tokens, 40*time.Millisecond+time.Duration(tokens)*30*time.Microsecond)
	}
	if got := fit.PerToken(); got < 29*time.Microsecond || got > 31*time.Microsecond {
		t.Errorf("per token %s", got)
	}
	if got := fit.Fixed(); got < 38*time.Millisecond || got > 42*time.Millisecond {
		t.Errorf("fixed %s", got)
	}
}

func TestUncachedTokensWithBlockEnds(t *testing.T) {
	r := &Request{PromptTokens: 1000, BlockEnds: []int{600, 900}}
	for cached, want := range map[uint8]int{0: 1000, 1: 400, 2: 100} {
		r.CachedBlocks[3] = cached
		if got := r.UncachedTokens(3); got != want {
			t.Errorf("%d blocks cached: %d uncached tokens, want %d", cached, got, want)
		}
	}
}

// Preferences must not be part of the expected time, or the server of a request outside
// its partition counts as late.
func TestPreferencesDoNotCountAsExpectedTime(t *testing.T) {
	c := []Candidate{{ID: "a", Slots: 8, PrefillPerToken: time.Millisecond, PendingPrefill: 5000}, {ID: "b", Slots: 8, PrefillPerToken: time.Millisecond}}
	r := &Request{PromptTokens: 10, OutsidePartition: NewSet(1)}
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 1 || d.Expected > 50*time.Millisecond {
		t.Errorf("got %+v, want index 1 within 50 ms", d)
	}
}

func TestPickSkipsServersOverBudget(t *testing.T) {
	c := []Candidate{{ID: "a", Slots: 8, PrefillPerToken: time.Millisecond, PendingPrefill: 300}, {ID: "b", Slots: 8, PrefillPerToken: time.Millisecond}}
	r := &Request{PromptTokens: 10, OutsidePartition: NewSet(1), Budget: 200 * time.Millisecond}
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 1 {
		t.Errorf("got %+v, want index 1: the preferred server exceeds the budget", d)
	}
}

// Guards against work that is kept for every name of a model that callers send.
func TestPartitionRecordsABoundedNumberOfModels(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPartition(map[string]float64{"small": 1, "large": 3})
	for i := range 20 * maxPartitionModels {
		p.RecordWork(fmt.Sprint("model", i), time.Second, now)
	}
	if n := len(p.Work(now)); n != maxPartitionModels {
		t.Errorf("work on %d models is kept", n)
	}
	now = now.Add(time.Hour)
	p.RecordWork("new", time.Second, now)
	if work := p.Work(now); work["new"] != time.Second || len(work) != 1 {
		t.Errorf("after the work on the others has decayed: %v", work)
	}
}
