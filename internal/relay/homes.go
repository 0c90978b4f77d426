package relay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// homeKey is what decides where a prompt that nobody has cached goes: all parts
// but the last, which is the request's own.
func homeKey(model string, p Prompt) uint64 {
	chain := xxhash.Sum64String(model)
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 && i > 0 {
			break
		}
		chain = chain*prime + part.ID
	}
	return chain
}

// rendezvous is a server's weight for a key: the server with the largest is its first.
func rendezvous(server, key uint64) uint64 {
	h := (server ^ key) * prime
	return h ^ h>>29
}

// homes ranks the first candidates by rendezvous hashing.
func homes(key uint64, candidates []routing.Candidate, r *routing.Request) {
	var first [routing.MaxHomeRank]int
	var weights [routing.MaxHomeRank]uint64
	found := 0
	for i := range candidates {
		r.HomeRank[i] = routing.MaxHomeRank
		weight := rendezvous(candidates[i].Hash, key)
		place := found
		for place > 0 && weights[place-1] < weight {
			place--
		}
		if place == routing.MaxHomeRank {
			continue
		}
		copy(first[place+1:], first[place:])
		copy(weights[place+1:], weights[place:])
		first[place], weights[place] = i, weight
		found = min(found+1, routing.MaxHomeRank)
	}
	for place, i := range first[:found] {
		r.HomeRank[i] = uint8(place)
	}
	nearHome(key, candidates, r)
}

// nearHome counts the candidates of the daemon's own failure domain, and gives the first of them
// the second place at least: the daemons of a domain keep to one of their own where none of the
// first is near.
func nearHome(key uint64, candidates []routing.Candidate, r *routing.Request) {
	best, most := -1, uint64(0)
	r.LocalCandidates = 0
	for i := range candidates {
		if candidates[i].ID == "" || candidates[i].FailureDomain != r.FailureDomain {
			continue
		}
		r.LocalCandidates++
		if weight := rendezvous(candidates[i].Hash, key); best < 0 || weight > most {
			best, most = i, weight
		}
	}
	if best >= 0 {
		r.HomeRank[best] = min(r.HomeRank[best], 1)
	}
}
