package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a prompt block.
	BlockBytes = 256
	// BlockTokens is the approximate number of tokens of a block, at 4 bytes per token.
	BlockTokens = BlockBytes / 4
	// MaxBlocks bounds the number of blocks hashed per prompt.
	MaxBlocks = 32
	// chainMultiplier is the odd 64-bit golden ratio; it makes the chained hash depend on
	// the order of blocks.
	chainMultiplier = 0x9E3779B97F4A7C15
	// prefixCapacity is the default number of blocks kept in a PrefixIndex.
	prefixCapacity = 1 << 14
)

// Blocks appends the chained hashes of a prompt's complete leading blocks to dst. For the
// same seed, equal hashes mean equal prompts up to that block. The seed identifies the
// model and version, whose caches are separate.
func Blocks(dst []uint64, seed, prompt string) []uint64 {
	chain := xxhash.Sum64String(seed)
	for len(prompt) >= BlockBytes && len(dst) < MaxBlocks {
		chain = chain*chainMultiplier + xxhash.Sum64String(prompt[:BlockBytes])
		dst = append(dst, chain)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// PrefixIndex records which servers were sent which prefix blocks. Dispatches are a
// fresher indication of cached blocks than the engines' cache events. Two generations
// bound its size: when the recent one is full, the previous one is dropped.
type PrefixIndex struct {
	recent, previous   map[uint64]Set
	generationCapacity int
	rotatedAt          time.Time
}

// generationLifetime is how long a generation lasts if Expire is called. It approximates
// the time after which engines evict unused blocks.
const generationLifetime = 12 * time.Second

// Expire drops the previous generation once the recent one has reached its lifetime.
func (p *PrefixIndex) Expire(now time.Time) {
	if now.Sub(p.rotatedAt) >= generationLifetime {
		p.rotate()
		p.rotatedAt = now
	}
}

func (p *PrefixIndex) rotate() { p.previous, p.recent = p.recent, make(map[uint64]Set, len(p.recent)) }

// SetCapacity bounds the number of blocks kept.
func (p *PrefixIndex) SetCapacity(blocks int) { p.generationCapacity = blocks / 2 }

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{recent: map[uint64]Set{}, previous: map[uint64]Set{}, generationCapacity: prefixCapacity / 2}
}

// Add records that the server with a candidate index was sent blocks.
func (p *PrefixIndex) Add(index int, blocks []uint64) {
	for _, b := range blocks {
		servers := p.recent[b].Union(p.previous[b])
		servers.Add(index)
		p.recent[b] = servers
	}
	if len(p.recent) >= p.generationCapacity {
		p.rotate()
	}
}

// RemoveServer drops all blocks recorded for a candidate index.
func (p *PrefixIndex) RemoveServer(index int) {
	for _, m := range []map[uint64]Set{p.recent, p.previous} {
		for b, servers := range m {
			if servers.Has(index) {
				servers.Remove(index)
				m[b] = servers
			}
		}
	}
}

// Lookup sets r.CachedBlocks from r.Blocks for every candidate index.
func (p *PrefixIndex) Lookup(r *Request) {
	var matching Set
	for i, b := range r.Blocks {
		servers := p.recent[b].Union(p.previous[b])
		if i > 0 {
			servers = servers.Intersect(matching)
		}
		matching = servers
		if matching.Empty() {
			return
		}
		matching.Each(func(index int) { r.CachedBlocks[index] = uint8(i + 1) })
	}
}
