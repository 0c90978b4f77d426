package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the prompt length hashed into one block.
	BlockBytes = 256
	// BlockTokens approximates the tokens of one block at 4 bytes a token.
	BlockTokens = BlockBytes / 4
	// MaxBlocks bounds the blocks of one prompt; longer prompts share a prefix
	// of 8 KiB at most in our estimate.
	MaxBlocks = 32
	// chainMultiplier is the odd 64-bit golden ratio; it keeps block order
	// significant in the chain.
	chainMultiplier = 0x9E3779B97F4A7C15
	// prefixCapacity bounds the remembered blocks of one pool and version.
	prefixCapacity = 1 << 14
)

// Blocks returns the chained hashes of a prompt's whole leading blocks, appended
// to dst. Equal values mean equal prompts up to that block for the same seed;
// the seed names the model and version, whose caches share nothing.
func Blocks(dst []uint64, seed, prompt string) []uint64 {
	chain := xxhash.Sum64String(seed)
	for len(prompt) >= BlockBytes && len(dst) < MaxBlocks {
		chain = chain*chainMultiplier + xxhash.Sum64String(prompt[:BlockBytes])
		dst = append(dst, chain)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// PrefixIndex remembers which servers were sent which prefix blocks. What this
// daemon routed is a fresher sign of what is cached than the engines' own cache
// events, which come late and with gaps. Two generations bound the memory: the
// older one is forgotten when the newer one is full.
type PrefixIndex struct {
	recent, previous   map[uint64]Set
	generationCapacity int
	rotatedAt          time.Time
}

// generationLifetime is how long one generation lasts where Age is called: engines drop what
// was not used for so long, and believing in more sends prompts to servers that read
// them again.
const generationLifetime = 12 * time.Second

// Expire forgets the older generation if its time is over.
func (p *PrefixIndex) Expire(now time.Time) {
	if now.Sub(p.rotatedAt) >= generationLifetime {
		p.rotate()
		p.rotatedAt = now
	}
}

func (p *PrefixIndex) rotate() { p.previous, p.recent = p.recent, make(map[uint64]Set, len(p.recent)) }

// SetCapacity bounds the remembered blocks.
func (p *PrefixIndex) SetCapacity(blocks int) { p.generationCapacity = blocks / 2 }

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{recent: map[uint64]Set{}, previous: map[uint64]Set{}, generationCapacity: prefixCapacity / 2}
}

// Add records that a server (by candidate slot) got a prompt.
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

// RemoveServer drops all knowledge of a slot, for a server that was replaced.
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

// Lookup sets CachedBlocks of r for every slot.
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
