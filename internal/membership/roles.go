package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// usable rows may hold roles and get callers.
func usable(m Member) bool { return m.State == Alive && m.Serving && !m.Leaving }

// Owners returns the n best usable daemons for a key by rendezvous hashing, best
// first, own daemon included.
func (t *Table) Owners(key string, n int) []Member {
	return t.ranked(key, n, usable)
}

// OwnersIn returns the n best usable daemons of one failure domain for a key.
func (t *Table) OwnersIn(domain, key string, n int) []Member {
	return t.ranked(key, n, func(m Member) bool { return usable(m) && m.FailureDomain == domain })
}

// Replicas returns up to n daemons outside the own failure domain that keep copies
// for the own one; where there is none, others of the own domain. A keeper need
// not serve requests.
func (t *Table) Replicas(n int) []Member {
	domain := t.Self().FailureDomain
	stays := func(m Member) bool { return m.State == Alive && !m.Leaving && m.ID != t.self }
	away := t.ranked(t.self, n, func(m Member) bool { return stays(m) && m.FailureDomain != domain })
	if len(away) > 0 {
		return away
	}
	return t.ranked(t.self, n, stays)
}

// ranked keeps the n best in one pass: a fleet of 520 is ranked for every bill,
// and sorting it each time would cost more than the bill.
func (t *Table) ranked(key string, n int, keep func(Member) bool) []Member {
	var best []Member
	var weights []uint64
	for _, m := range t.rows {
		if !keep(*m) {
			continue
		}
		w := xxhash.Sum64String(key + "\x00" + m.ID)
		at, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, *m)
		weights = slices.Insert(weights, at, w)
		if len(best) > n {
			best, weights = best[:n], weights[:n]
		}
	}
	return best
}

// Endpoints returns up to n addresses for a caller: usable daemons, one failure
// domain after the other, the least loaded of each first. The own daemon's
// leaving mark counts too, so a leaving daemon never names itself.
func (t *Table) Endpoints(n int) []string {
	byDomain := map[string][]Member{}
	for _, m := range t.Members() {
		if usable(m) {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
		}
	}
	domains := make([]string, 0, len(byDomain))
	for d, rows := range byDomain {
		slices.SortStableFunc(rows, func(a, b Member) int { return cmp.Compare(a.InFlight, b.InFlight) })
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(byDomain[a][0].InFlight, byDomain[b][0].InFlight), strings.Compare(a, b))
	})
	var out []string
	for round := 0; len(out) < n; round++ {
		before := len(out)
		for _, d := range domains {
			if round < len(byDomain[d]) && len(out) < n {
				out = append(out, byDomain[d][round].Address)
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
