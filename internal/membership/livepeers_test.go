package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// statusMap computes ranks and liveness from a plain map, as a reference.
type statusMap map[string]PeerStatus

func (s statusMap) rank(ownName string, eligible bool) (rank int) {
	for _, other := range s {
		before := xxhash.Sum64String(other.Name) < xxhash.Sum64String(ownName)
		if other.Eligible != eligible {
			before = other.Eligible
		}
		if before && !other.Leaving {
			rank++
		}
	}
	return rank
}

func (s statusMap) hasIncarnation(incarnation string) bool {
	return slices.ContainsFunc(s.list(), func(o PeerStatus) bool { return o.Incarnation == incarnation })
}

func (s statusMap) list() (out []PeerStatus) {
	for _, o := range s {
		out = append(out, o)
	}
	return out
}

// The incremental counts match a recount after random updates, restarts and expiries.
func TestLivePeersMatchesRecount(t *testing.T) {
	const own, timeout = "d050", time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	live, want, lastSeen := NewLivePeers(own), statusMap{}, map[string]time.Time{}
	now := time.Unix(100, 0)
	for step := range 4_000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		address := fmt.Sprintf("c%03d", rng.IntN(100))
		name := "d" + address[1:]
		if rng.IntN(50) == 0 {
			name = fmt.Sprintf("d%03d", rng.IntN(100)) // another daemon took over the address
		}
		s := PeerStatus{Name: name, Incarnation: fmt.Sprint(name, "/", rng.IntN(2)), Eligible: rng.IntN(3) > 0, Leaving: rng.IntN(5) == 0}
		live.Update(address, s, now)
		want[address], lastSeen[address] = s, now
		now = now.Add(time.Duration(rng.IntN(3)) * 100 * time.Millisecond)
		var expired, silent []string
		live.ExpireSilent(now, timeout, func(a string) { expired = append(expired, a) })
		for a, at := range lastSeen {
			if now.Sub(at) > timeout {
				silent = append(silent, a)
				delete(lastSeen, a)
				delete(want, a)
			}
		}
		slices.SortFunc(expired, cmp.Compare[string])
		slices.SortFunc(silent, cmp.Compare[string])
		if !slices.Equal(expired, silent) || live.Len() != len(want) {
			t.Fatalf("step %d: expired %v, want %v; %d left, want %d", step, expired, silent, live.Len(), len(want))
		}
		for _, eligible := range []bool{true, false} {
			if live.Rank(eligible) != want.rank(own, eligible) {
				t.Fatalf("step %d: rank %d, want %d", step, live.Rank(eligible), want.rank(own, eligible))
			}
		}
		if live.HasIncarnation(s.Incarnation) != want.hasIncarnation(s.Incarnation) || live.Contains(address) != (want[address] != PeerStatus{}) {
			t.Fatalf("step %d: incarnation live: %t", step, live.HasIncarnation(s.Incarnation))
		}
	}
}

// Daemons that are not leaving have distinct ranks, and the first one is eligible if any is.
func TestRanksAreUnique(t *testing.T) {
	for _, n := range []int{1, 6, 195} {
		all := make([]PeerStatus, n)
		for i := range all {
			all[i] = PeerStatus{Name: fmt.Sprintf("d%03d", i), Eligible: i%3 != 1, Leaving: i%5 == 4}
		}
		first, ranks := 0, map[int]bool{}
		for _, own := range all {
			live := NewLivePeers(own.Name)
			for _, status := range all {
				if status != own {
					live.Update(status.Name, status, time.Unix(1, 0))
				}
			}
			if own.Leaving {
				continue
			}
			rank := live.Rank(own.Eligible)
			if ranks[rank] {
				t.Errorf("%d daemons: two have rank %d", n, rank)
			}
			ranks[rank] = true
			if rank == 0 {
				first++
			}
			if rank == 0 && !own.Eligible && n > 1 {
				t.Errorf("%d daemons: the first one is not eligible", n)
			}
		}
		if first != 1 {
			t.Errorf("%d of %d daemons rank first", first, n)
		}
	}
}

func BenchmarkLivePeersUpdate(b *testing.B) {
	for _, n := range []int{6, 60, 195, 520, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			live, now := NewLivePeers("d050"), time.Unix(100, 0)
			all := make([]PeerStatus, n)
			for i := range all {
				name := fmt.Sprintf("d%03d", i)
				all[i] = PeerStatus{Name: name, Incarnation: name + "/1", Eligible: true}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := all[i%n]
				now = now.Add(time.Millisecond)
				live.Update(s.Name, s, now)
				live.ExpireSilent(now, time.Hour, func(string) {})
				_, _ = live.Len(), live.Rank(true)
			}
		})
	}
}
