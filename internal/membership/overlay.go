package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MeshLimit is the largest number of daemons that all exchange messages with each other. Beyond
// it, each daemon exchanges messages with its partners only, which forward peer records.
const MeshLimit = 256

// ringsPerScope is the number of rings in which a daemon has two neighbors, among the daemons of
// its failure domain and among all.
const ringsPerScope = 3

// MaxPartners is the largest number of partners of a daemon.
const MaxPartners = 2 * 2 * ringsPerScope

// OverlayNode is a daemon that may be a partner.
type OverlayNode struct{ Address, FailureDomain string }

// Partners returns the addresses of the daemons with which a daemon exchanges messages. Half of
// them are in its failure domain, where traffic is cheap; the others are chosen among all. Daemons
// with the same view choose each other, and their graph stays connected when many are lost.
func Partners(self OverlayNode, others []OverlayNode) []string {
	all := append(slices.Clone(others), self)
	local := slices.DeleteFunc(slices.Clone(all), func(n OverlayNode) bool { return n.FailureDomain != self.FailureDomain })
	var partners []string
	for ring := range ringsPerScope {
		partners = append(partners, ringNeighbors(self, local, byte(ring))...)
		partners = append(partners, ringNeighbors(self, all, byte(ringsPerScope+ring))...)
	}
	slices.Sort(partners)
	return slices.Compact(partners)
}

// ringNeighbors orders nodes by a hash and returns the two neighbors of one. The salt makes the
// orders of rings independent: together they form a random graph, in which each daemon is few
// hops from any other, and of which a change of one daemon affects few links.
func ringNeighbors(self OverlayNode, nodes []OverlayNode, salt byte) []string {
	own := ringHash(self, salt)
	var before, after, first, last ringPosition
	for _, n := range nodes {
		if n.Address == self.Address {
			continue
		}
		p := ringPosition{ringHash(n, salt), n.Address}
		first, last = p.lowest(first), p.highest(last)
		if p.hash < own {
			before = p.highest(before)
		} else {
			after = p.lowest(after)
		}
	}
	if before.address == "" {
		before = last
	}
	if after.address == "" {
		after = first
	}
	if first.address == "" {
		return nil
	}
	return []string{before.address, after.address}
}

func ringHash(n OverlayNode, salt byte) uint64 {
	return xxhash.Sum64String(string([]byte{salt}) + n.Address)
}

// ringPosition is the position of a daemon in a ring. The empty address is no position.
type ringPosition struct {
	hash    uint64
	address string
}

func (p ringPosition) lowest(other ringPosition) ringPosition {
	if other.address != "" && other.compare(p) < 0 {
		return other
	}
	return p
}

func (p ringPosition) highest(other ringPosition) ringPosition {
	if other.address != "" && other.compare(p) > 0 {
		return other
	}
	return p
}

func (p ringPosition) compare(other ringPosition) int {
	return cmp.Or(cmp.Compare(p.hash, other.hash), cmp.Compare(p.address, other.address))
}
