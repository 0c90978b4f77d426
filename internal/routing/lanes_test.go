package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func engines(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{ID: fmt.Sprint("e", i), Slots: 8, PrefillPerToken: time.Microsecond}
	}
	return out
}

// indices are those of n candidates.
func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestLanesShareEnginesByWork(t *testing.T) {
	for _, tt := range []struct {
		n            int
		small, large float64
		wantSmall    int
	}{
		{9, 1, 4, 2}, {9, 1, 1, 5}, {9, 1, 50, 1}, {2, 1, 9, 1}, {64, 1, 3, 16}, {126, 1, 3, 32},
	} {
		l := NewPartition(map[string]float64{"small": tt.small, "large": tt.large})
		c := indices(tt.n)
		notSmall, notLarge := l.Outside("small", c), l.Outside("large", c)
		small, large := tt.n-notSmall.Len(), tt.n-notLarge.Len()
		if both := notSmall.And(notLarge); small+large != tt.n || !both.Empty() {
			t.Errorf("%d engines: %d and %d do not divide them", tt.n, small, large)
		}
		if small < tt.wantSmall-1 || small > tt.wantSmall+1 {
			t.Errorf("%d engines by %g to %g: the small model has %d, want about %d", tt.n, tt.small, tt.large, small, tt.wantSmall)
		}
	}
}

func TestLanesOfOneModelOrTooFewEngines(t *testing.T) {
	if f := NewPartition(map[string]float64{"m": 1}).Outside("m", indices(5)); !f.Empty() {
		t.Errorf("one model: %b", f)
	}
	if f := NewPartition(map[string]float64{"a": 1, "b": 1}).Outside("a", indices(1)); !f.Empty() {
		t.Errorf("one engine: %b", f)
	}
	if f := NewPartition(map[string]float64{"a": 1, "b": 1}).Outside("c", indices(5)); !f.Empty() {
		t.Errorf("an unknown model: %b", f)
	}
}

func TestLanesFollowTheWork(t *testing.T) {
	l := NewPartition(map[string]float64{"small": 1, "large": 4})
	now := time.Unix(100, 0)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		l.RecordWork("small", 100*time.Millisecond, now)
		l.RecordWork("large", 100*time.Millisecond, now)
	}
	foreign := l.Outside("small", indices(10))
	if n := 10 - foreign.Len(); n < 4 || n > 6 {
		t.Errorf("the small model has %d of 10 engines at half of the work", n)
	}
}

// A lane that is behind spills over: a request waits no longer than leaving costs.
func TestBusyLaneSpillsOver(t *testing.T) {
	c := engines(2)
	c[0].PendingPrefill = 2_000_000 // 2 s to read
	r := &Request{PromptTokens: 1000, OutsidePartition: SetOf(1)}
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 1 {
		t.Errorf("chose %d", d.Index)
	}
	c[0].PendingPrefill = 500_000
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 0 {
		t.Errorf("left the lane for 0.5 s")
	}
}

func TestLineLearnsFixedAndPerToken(t *testing.T) {
	l := NewFirstTokenFit(60*time.Millisecond, 5*time.Microsecond)
	for i := range 400 {
		tokens := 500 + i%10*700
		l.Observe(tokens, 40*time.Millisecond+time.Duration(tokens)*30*time.Microsecond)
	}
	if got := l.PerToken(); got < 29*time.Microsecond || got > 31*time.Microsecond {
		t.Errorf("per token %s", got)
	}
	if got := l.Fixed(); got < 38*time.Millisecond || got > 42*time.Millisecond {
		t.Errorf("fixed %s", got)
	}
}

func TestUncachedByPartsOfUnlikeLength(t *testing.T) {
	r := &Request{PromptTokens: 1000, BlockEnds: []int{600, 900}}
	for cached, want := range map[uint8]int{0: 1000, 1: 400, 2: 100} {
		r.CachedBlocks[3] = cached
		if got := r.UncachedTokens(3); got != want {
			t.Errorf("%d parts cached: %d tokens left, want %d", cached, got, want)
		}
	}
}

// Symptom: requests with a small prompt were given up after a second and a half as if
// their server were stuck, or kept for a small model because the large one seemed late.
// Sequence: the own lane is busy, so a request goes to another lane, which answers soon.
// Cause: what it costs others to leave the lane counted as time to the first token.
func TestPreferencesAreNoTime(t *testing.T) {
	c := []Candidate{{ID: "a", Slots: 8, PrefillPerToken: time.Millisecond, PendingPrefill: 5000}, {ID: "b", Slots: 8, PrefillPerToken: time.Millisecond}}
	r := &Request{PromptTokens: 10, OutsidePartition: SetOf(1)}
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 1 || d.Expected > 50*time.Millisecond {
		t.Errorf("got %+v", d)
	}
}

func TestServerThatIsTooLateGivesWay(t *testing.T) {
	c := []Candidate{{ID: "a", Slots: 8, PrefillPerToken: time.Millisecond, PendingPrefill: 300}, {ID: "b", Slots: 8, PrefillPerToken: time.Millisecond}}
	r := &Request{PromptTokens: 10, OutsidePartition: SetOf(1), Budget: 200 * time.Millisecond}
	if d := EnginePipeline().Pick(r, c, rand.New(rand.NewPCG(1, 2))); d.Index != 1 {
		t.Errorf("got %+v: the preferred server begins after the deadline", d)
	}
}
