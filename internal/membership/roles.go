package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// canServe reports whether a member may own keys and be offered to clients.
func canServe(m Member) bool { return m.State == Alive && m.Serving && !m.Leaving }

// Owners returns the n highest-ranked serving daemons for a key by rendezvous hashing,
// best first. The own daemon may be among them.
func (t *Table) Owners(key string, n int) []Member {
	return t.rendezvous(key, n, canServe)
}

// OwnersIn is Owners restricted to one failure domain.
func (t *Table) OwnersIn(domain, key string, n int) []Member {
	return t.rendezvous(key, n, func(m Member) bool { return canServe(m) && m.FailureDomain == domain })
}

// Replicas returns up to n daemons that hold copies for the own one. They are outside its
// failure domain unless no daemon there is available, and need not serve requests.
func (t *Table) Replicas(n int) []Member {
	domain := t.Self().FailureDomain
	available := func(m Member) bool { return m.State == Alive && !m.Leaving && m.ID != t.self }
	remote := t.rendezvous(t.self, n, func(m Member) bool { return available(m) && m.FailureDomain != domain })
	if len(remote) > 0 {
		return remote
	}
	return t.rendezvous(t.self, n, available)
}

// rendezvous returns the n members with the highest hashes for a key, in one pass: it runs
// for every billing record, where sorting the whole fleet would be too slow.
func (t *Table) rendezvous(key string, n int, eligible func(Member) bool) []Member {
	var best []Member
	var weights []uint64
	for _, m := range t.members {
		if !eligible(*m) {
			continue
		}
		w := xxhash.Sum64String(key + "\x00" + m.ID)
		index, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		if index >= n {
			continue
		}
		best = slices.Insert(best, index, *m)
		weights = slices.Insert(weights, index, w)
		if len(best) > n {
			best, weights = best[:n], weights[:n]
		}
	}
	return best
}

// Endpoints returns up to n addresses for a client, alternating between failure domains
// and preferring the least loaded daemons. A leaving daemon does not return itself.
func (t *Table) Endpoints(n int) []string {
	byDomain := map[string][]Member{}
	for _, m := range t.Members() {
		if canServe(m) {
			byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
		}
	}
	domains := make([]string, 0, len(byDomain))
	for d, members := range byDomain {
		slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(a.InFlight, b.InFlight) })
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
