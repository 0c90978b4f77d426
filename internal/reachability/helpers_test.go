package reachability

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a request that is refused because all daemons refused lately or seem silent.
func TestDaemonInDoubtIsTriedIfNoOtherIsLeft(t *testing.T) {
	likely, doubtful := []string{"a", "b"}, []string{"c"}
	for _, tt := range []struct {
		name                  string
		refused, served, used []string
		want                  []string
	}{
		{"others left", []string{"a"}, nil, nil, []string{"b"}},
		{"one without a refusal", []string{"a", "b"}, nil, nil, []string{"c"}},
		{"the oldest refusal", []string{"b", "a", "c"}, nil, nil, []string{"b"}},
		{"one that served", []string{"a", "b"}, []string{"c"}, nil, []string{"c"}},
		{"all used", nil, nil, []string{"a", "b", "c"}, nil},
		{"used ones are passed over", []string{"b", "a"}, nil, []string{"b", "c"}, []string{"a"}},
	} {
		h := NewHelpers()
		now := time.Minute
		for _, d := range tt.refused {
			now += time.Millisecond
			h.Refused(d, now)
		}
		for _, d := range tt.served {
			h.Served(d, now)
		}
		got, found := h.PickOrTry(likely, doubtful, tt.used, now, testRand())
		if found != (len(tt.want) > 0) || found && !slices.Contains(tt.want, got) {
			t.Errorf("%s: picked %q, want one of %v", tt.name, got, tt.want)
		}
	}
}

// Guards against many requests that wait for daemons that are gone or refuse, and against daemons that
// are never tried again.
func TestOneDaemonInDoubtIsTriedAtATime(t *testing.T) {
	h := NewHelpers()
	doubtful, rng := []string{"a", "b"}, testRand()
	first, found := h.PickOrTry(nil, doubtful, nil, time.Minute, rng)
	if !found {
		t.Fatal("none is tried")
	}
	if _, found := h.PickOrTry(nil, doubtful, nil, time.Minute, rng); found {
		t.Error("two are tried at a time")
	}
	h.Refused(first, time.Minute)
	h.EndTrial(first)
	second, found := h.PickOrTry(nil, doubtful, nil, time.Minute, rng)
	if !found || second == first {
		t.Errorf("after a refusal of %q %q is tried", first, second)
	}
	h.Served(second, time.Minute)
	h.EndTrial(second)
	for range 3 {
		if d, found := h.PickOrTry(nil, doubtful, nil, time.Minute, rng); !found || d != second {
			t.Errorf("picked %q, found %t, although %q has served", d, found, second)
		}
	}
}
