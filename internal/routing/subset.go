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
