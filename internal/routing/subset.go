package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns up to size members for a daemon, chosen by rendezvous hashing: a
// membership change replaces few of them, and the choices of daemons differ.
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

// meanShardSize bounds the average size of a shard, so that a single shard is unlikely to
// exceed MaxCandidates.
const meanShardSize = 184

// Shard returns the servers of a service that a daemon uses: all up to MaxCandidates,
// beyond that those of its shard. All daemons of a shard use the same servers, so that
// partitions, canary shares and homes agree. The number of shards is a power of two:
// doubling it splits each shard and moves no server between others.
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
