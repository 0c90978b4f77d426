package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset chooses up to size of members for one daemon by rendezvous
// hashing, so that a changed member moves few others and daemons differ.
func Subset(daemon string, members []Member, size int) []Member {
	size = min(size, MaxCandidates)
	if len(members) <= size {
		return members
	}
	type ranked struct {
		weight uint64
		m      Member
	}
	rankedMembers := make([]ranked, len(members))
	for i, m := range members {
		rankedMembers[i] = ranked{xxhash.Sum64String(daemon + "\x00" + m.ID), m}
	}
	slices.SortFunc(rankedMembers, func(a, b ranked) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		if a.m.ID < b.m.ID {
			return -1
		}
		return 1
	})
	subset := make([]Member, size)
	for i := range size {
		subset[i] = rankedMembers[i].m
	}
	return subset
}

// meanShardSize is the most servers that a shard has on average. Their number varies by its
// square root, so that one in a million has more than MaxCandidates.
const meanShardSize = 184

// Shard returns the servers of a service that a daemon works with: all of them up to
// MaxCandidates, and beyond that the part of the daemon's shard. All daemons of a shard
// have the same servers, in like parts of all versions and failure domains, so that what
// they divide by a common order (engines between models, a canary's part, where a prompt
// has its home) fits together. With subsets of 64 drawn by each daemon for itself, 63
// engines and the 63 of their next version gave each of 195 daemons another half.
//
// The number of shards is a power of two: one more server than fit splits each shard in
// two, and moves no server between others.
func Shard(daemon string, members []Member) []Member {
	if len(members) <= MaxCandidates {
		return members
	}
	shards := uint64(2)
	for uint64(len(members)) > shards*meanShardSize {
		shards *= 2
	}
	ownShard := xxhash.Sum64String(daemon) % shards
	var shard []Member
	for _, m := range members {
		if xxhash.Sum64String(m.ID)%shards == ownShard {
			shard = append(shard, m)
		}
	}
	return shard[:min(len(shard), MaxCandidates)]
}
