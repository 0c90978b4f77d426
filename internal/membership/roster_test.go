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

// standings counts as the definitions say, over a plain list.
type standings map[string]PeerStatus

func (s standings) rank(own string, able bool) (rank int) {
	for _, o := range s {
		before := xxhash.Sum64String(o.Name) < xxhash.Sum64String(own)
		if o.Eligible != able {
			before = o.Eligible
		}
		if before && !o.Leaving {
			rank++
		}
	}
	return rank
}

func (s standings) lives(incarnation string) bool {
	return slices.ContainsFunc(s.list(), func(o PeerStatus) bool { return o.Incarnation == incarnation })
}

func (s standings) list() (out []PeerStatus) {
	for _, o := range s {
		out = append(out, o)
	}
	return out
}

// What is kept up to date is what counting anew gives, after every step of random comings,
// changes, restarts and silences.
func TestRosterCountsAsCountingAnewDoes(t *testing.T) {
	const own, limit = "d050", time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	r, want, heard := NewLivePeers(own), standings{}, map[string]time.Time{}
	now := time.Unix(100, 0)
	for step := range 4_000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		address := fmt.Sprintf("c%03d", rng.IntN(100))
		name := "d" + address[1:]
		if rng.IntN(50) == 0 {
			name = fmt.Sprintf("d%03d", rng.IntN(100)) // another daemon has taken the address
		}
		s := PeerStatus{Name: name, Incarnation: fmt.Sprint(name, "/", rng.IntN(2)), Eligible: rng.IntN(3) > 0, Leaving: rng.IntN(5) == 0}
		r.Update(address, s, now)
		want[address], heard[address] = s, now
		now = now.Add(time.Duration(rng.IntN(3)) * 100 * time.Millisecond)
		var gone, silent []string
		r.ExpireSilent(now, limit, func(a string) { gone = append(gone, a) })
		for a, at := range heard {
			if now.Sub(at) > limit {
				silent = append(silent, a)
				delete(heard, a)
				delete(want, a)
			}
		}
		slices.SortFunc(gone, cmp.Compare[string])
		slices.SortFunc(silent, cmp.Compare[string])
		if !slices.Equal(gone, silent) || r.Len() != len(want) {
			t.Fatalf("step %d: gone %v of %v, %d left of %d", step, gone, silent, r.Len(), len(want))
		}
		for _, able := range []bool{true, false} {
			if r.Rank(able) != want.rank(own, able) {
				t.Fatalf("step %d: rank %d, not %d", step, r.Rank(able), want.rank(own, able))
			}
		}
		if r.HasIncarnation(s.Incarnation) != want.lives(s.Incarnation) || r.Contains(address) != (want[address] != PeerStatus{}) {
			t.Fatalf("step %d: lives %t", step, r.HasIncarnation(s.Incarnation))
		}
	}
}

// Of the daemons that do not leave exactly one is first, an able one if there is any, and no
// two have the same place.
func TestOneDaemonComesFirst(t *testing.T) {
	for _, n := range []int{1, 6, 195} {
		all := make([]PeerStatus, n)
		for i := range all {
			all[i] = PeerStatus{Name: fmt.Sprintf("d%03d", i), Eligible: i%3 != 1, Leaving: i%5 == 4}
		}
		first, ranks := 0, map[int]bool{}
		for _, own := range all {
			r := NewLivePeers(own.Name)
			for _, o := range all {
				if o != own {
					r.Update(o.Name, o, time.Unix(1, 0))
				}
			}
			if own.Leaving {
				continue
			}
			rank := r.Rank(own.Eligible)
			if ranks[rank] {
				t.Errorf("%d daemons: two have rank %d", n, rank)
			}
			ranks[rank] = true
			if rank == 0 {
				first++
			}
			if rank == 0 && !own.Eligible && n > 1 {
				t.Errorf("%d daemons: one that is not able is first", n)
			}
		}
		if first != 1 {
			t.Errorf("%d of %d daemons come first", first, n)
		}
	}
}

// A daemon heard, and what is asked after that: 0.2 us at every size.
func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{6, 60, 195, 520, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, now := NewLivePeers("d050"), time.Unix(100, 0)
			all := make([]PeerStatus, n)
			for i := range all {
				name := fmt.Sprintf("d%03d", i)
				all[i] = PeerStatus{Name: name, Incarnation: name + "/1", Eligible: true}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := all[i%n]
				now = now.Add(time.Millisecond)
				r.Update(s.Name, s, now)
				r.ExpireSilent(now, time.Hour, func(string) {})
				_, _ = r.Len(), r.Rank(true)
			}
		})
	}
}
