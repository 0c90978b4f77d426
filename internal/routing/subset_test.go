package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestSetIsASet(t *testing.T) {
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
			t.Fatalf("%d: %t, %d of %d", i, s.Has(i), s.Len(), len(want))
		}
	}
	var each []int
	s.Each(func(i int) { each = append(each, i) })
	if !slices.IsSorted(each) || SetOf(each...) != s {
		t.Errorf("%v", each)
	}
	if a, b := SetOf(1, 70, 200), SetOf(70, 201); a.And(b) != SetOf(70) || a.Union(b) != SetOf(1, 70, 200, 201) {
		t.Errorf("%v and %v", a, b)
	}
}

// pool is servers of two versions in five failure domains.
func pool(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{ID: fmt.Sprintf("v%d-%d", i%2, i), FailureDomain: fmt.Sprint("d", i/2%5)}
	}
	return out
}

// Symptom: during a roll-out 63 engines and the 63 of the next version were 64 to each
// daemon, others to each; a canary part was another for each, and models met engines that
// other daemons had given to another model.
// Sequence: a service has more servers than a daemon works with.
// Cause: the subsets were drawn by each daemon for itself.
func TestDaemonsThatShareServersShareAllOfThem(t *testing.T) {
	const daemons = 520
	for _, n := range []int{6, 63, 126, 256, 257, 400, 1600} {
		members, sets, uses := pool(n), map[string][]Member{}, map[string]int{}
		for d := range daemons {
			shard := Shard(fmt.Sprint("daemon-", d), members)
			sets[shard[0].ID] = shard
			for _, m := range shard {
				uses[m.ID]++
				if !slices.Equal(shard, sets[shard[0].ID]) {
					t.Fatalf("%d servers: daemons that share %s differ", n, m.ID)
				}
			}
		}
		if len(uses) != n {
			t.Errorf("%d servers: %d are used", n, len(uses))
		}
		for _, shard := range sets {
			versions, domains := map[string]int{}, map[string]int{}
			for _, m := range shard {
				versions[m.ID[:2]]++
				domains[m.FailureDomain]++
			}
			if len(shard) > MaxCandidates || n >= 126 && (versions["v0"] < len(shard)/3 || versions["v1"] < len(shard)/3 || len(domains) != 5) {
				t.Errorf("%d servers: a shard of %d, by version %v, by domain %v", n, len(shard), versions, domains)
			}
		}
	}
}
