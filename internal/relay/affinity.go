package relay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// affinityKey hashes all parts of a prompt but the last, which is unique to the
// request. It determines the server of a prompt that no server has cached.
func affinityKey(model string, p Prompt) uint64 {
	chain := xxhash.Sum64String(model)
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 && i > 0 {
			break
		}
		chain = chain*hashMultiplier + part.ID
	}
	return chain
}

// rendezvousWeight is a server's weight for a key; the highest weight ranks first.
func rendezvousWeight(server, key uint64) uint64 {
	h := (server ^ key) * hashMultiplier
	return h ^ h>>29
}

// rankAffinity ranks the candidates for a key by rendezvous hashing.
func rankAffinity(key uint64, candidates []routing.Candidate, r *routing.Request) {
	var first [routing.FarHome]int
	var weights [routing.FarHome]uint64
	found := 0
	for i := range candidates {
		r.Home[i] = routing.FarHome
		weight := rendezvousWeight(candidates[i].Hash, key)
		place := found
		for place > 0 && weights[place-1] < weight {
			place--
		}
		if place == routing.FarHome {
			continue
		}
		copy(first[place+1:], first[place:])
		copy(weights[place+1:], weights[place:])
		first[place], weights[place] = i, weight
		found = min(found+1, routing.FarHome)
	}
	for place, i := range first[:found] {
		r.Home[i] = uint8(place)
	}
	rankLocalAffinity(key, candidates, r)
}

// rankLocalAffinity counts the candidates in the daemon's own failure domain, and
// ranks the first of them second or better, so that the daemons of a domain prefer
// the same local server.
func rankLocalAffinity(key uint64, candidates []routing.Candidate, r *routing.Request) {
	best, most := -1, uint64(0)
	r.Near = 0
	for i := range candidates {
		if candidates[i].ID == "" || candidates[i].FailureDomain != r.FailureDomain {
			continue
		}
		r.Near++
		if weight := rendezvousWeight(candidates[i].Hash, key); best < 0 || weight > most {
			best, most = i, weight
		}
	}
	if best >= 0 {
		r.Home[best] = min(r.Home[best], 1)
	}
}
