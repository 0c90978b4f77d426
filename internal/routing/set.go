package routing

import "math/bits"

const wordBits = 64

// Set is a set of candidate indices. The zero value is empty.
type Set [MaxCandidates / wordBits]uint64

// NewSet returns a set of indices.
func NewSet(indices ...int) (s Set) {
	for _, i := range indices {
		s.Add(i)
	}
	return s
}

// Add adds an index.
func (s *Set) Add(i int) { s[i/wordBits] |= 1 << (i % wordBits) }

// Remove removes an index.
func (s *Set) Remove(i int) { s[i/wordBits] &^= 1 << (i % wordBits) }

// Has reports whether an index is in the set.
func (s *Set) Has(i int) bool { return s[i/wordBits]&(1<<(i%wordBits)) != 0 }

// Empty reports whether the set has no index.
func (s *Set) Empty() bool { return *s == Set{} }

// Len returns the number of indices.
func (s *Set) Len() (n int) {
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Union returns the indices that are in either set.
func (s Set) Union(o Set) Set {
	for i, w := range o {
		s[i] |= w
	}
	return s
}

// Intersect returns the indices that are in both sets.
func (s Set) Intersect(o Set) Set {
	for i, w := range o {
		s[i] &= w
	}
	return s
}

// Each calls f for each index, in order.
func (s *Set) Each(f func(i int)) {
	for n, w := range s {
		for ; w != 0; w &= w - 1 {
			f(n*wordBits + bits.TrailingZeros64(w))
		}
	}
}
