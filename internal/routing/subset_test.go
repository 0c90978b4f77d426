package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestSetOperations(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var s Set
	want := map[int]bool{}
	for range 5000 {
		i := rng.IntN(MaxCandidates)
		if rng.IntN(2) == 0 {
			s.Add(i)
			want[i] = true
		} else {
			s.Remove(i)
			delete(want, i)
		}
		if s.Has(i) != want[i] || s.Len() != len(want) || s.Empty() != (len(want) == 0) {
			t.Fatalf("index %d: has %t, %d indices, want %d", i, s.Has(i), s.Len(), len(want))
		}
	}
	var each []int
	s.Each(func(i int) { each = append(each, i) })
	if !slices.IsSorted(each) || NewSet(each...) != s {
		t.Errorf("Each: %v", each)
	}
	if a, b := NewSet(1, 70, 200), NewSet(70, 201); a.Intersect(b) != NewSet(70) || a.Union(b) != NewSet(1, 70, 200, 201) {
		t.Errorf("intersection or union of %v and %v", a, b)
	}
}

// poolMembers returns n servers of two versions in five failure domains.
func poolMembers(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{ID: fmt.Sprintf("v%d-%d", i%2, i), FailureDomain: fmt.Sprint("d", i/2%5)}
	}
	return out
}

// Daemons that share one server must share all servers of their shard, and shards must
// contain both versions and all failure domains.
func TestShardsAreDisjointAndBalanced(t *testing.T) {
	const daemons = 520
	for _, n := range []int{6, 63, 126, 256, 257, 400, 1600} {
		members, shards, uses := poolMembers(n), map[string][]Member{}, map[string]int{}
		for d := range daemons {
			shard := shardOf(fmt.Sprint("daemon-", d), members, ShardCount(n))
			shards[shard[0].ID] = shard
			for _, m := range shard {
				uses[m.ID]++
				if !slices.Equal(shard, shards[shard[0].ID]) {
					t.Fatalf("%d servers: daemons sharing %s have different shards", n, m.ID)
				}
			}
		}
		if len(uses) != n {
			t.Errorf("%d servers: only %d are used", n, len(uses))
		}
		for _, shard := range shards {
			versions, domains := map[string]int{}, map[string]int{}
			for _, m := range shard {
				versions[m.ID[:2]]++
				domains[m.FailureDomain]++
			}
			if len(shard) > MaxCandidates || n >= 126 && (versions["v0"] < len(shard)/3 || versions["v1"] < len(shard)/3 || len(domains) != 5) {
				t.Errorf("%d servers: shard of %d, versions %v, failure domains %v", n, len(shard), versions, domains)
			}
		}
	}
}
