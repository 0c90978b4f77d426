package relay

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// affinityKey hashes all parts of a prompt but the last, which is unique to the
// request. It determines the server of a prompt that no server has cached.
func affinityKey(model string, p Prompt) uint64 {
	key := xxhash.Sum64String(model)
	for i, part := range p.Parts {
		if i == len(p.Parts)-1 && i > 0 {
			break
		}
		key = key*hashMultiplier + part.ID
	}
	return key
}

// rendezvousWeight is a server's weight for a key; the highest weight ranks first.
func rendezvousWeight(server, key uint64) uint64 {
	h := (server ^ key) * hashMultiplier
	return h ^ h>>29
}

// homeWeight is the rendezvousWeight of an engine by its speed: one that takes half the time is home
// to twice as many keys.
func homeWeight(c *routing.Candidate, key uint64) uint64 {
	weight := rendezvousWeight(c.Hash, key)
	if c.Factor() == 1 {
		return weight
	}
	const scale = 1 << 64
	uniform := math.Pow(float64(weight)/scale, c.Factor())
	return uint64(min(uniform*scale, math.Nextafter(scale, 0)))
}

// rankAffinity ranks the candidates for a key by rendezvous hashing.
func rankAffinity(key uint64, candidates []routing.Candidate, r *routing.Request) {
	var ranked [routing.MaxAffinityRank]int
	var weights [routing.MaxAffinityRank]uint64
	count := 0
	for i := range candidates {
		r.AffinityRank[i] = routing.MaxAffinityRank
		weight := homeWeight(&candidates[i], key)
		rank := count
		for rank > 0 && weights[rank-1] < weight {
			rank--
		}
		if rank == routing.MaxAffinityRank {
			continue
		}
		copy(ranked[rank+1:], ranked[rank:])
		copy(weights[rank+1:], weights[rank:])
		ranked[rank], weights[rank] = i, weight
		count = min(count+1, routing.MaxAffinityRank)
	}
	for rank, i := range ranked[:count] {
		r.AffinityRank[i] = uint8(rank)
	}
	rankLocalAffinity(key, candidates, r)
}

// rankLocalAffinity counts the candidates in the daemon's own failure domain, and
// ranks the first of them second or better, so that the daemons of a domain prefer
// the same local server.
func rankLocalAffinity(key uint64, candidates []routing.Candidate, r *routing.Request) {
	best, bestWeight := -1, uint64(0)
	r.LocalCandidates = 0
	for i := range candidates {
		if candidates[i].ID == "" || candidates[i].FailureDomain != r.FailureDomain {
			continue
		}
		r.LocalCandidates++
		if weight := homeWeight(&candidates[i], key); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	if best >= 0 {
		r.AffinityRank[best] = min(r.AffinityRank[best], 1)
	}
}
