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
	young, old map[uint64]Set
	capacity   int
	since      time.Time
}

// prefixLife is how long one generation lasts where Age is called: engines drop what
// was not used for so long, and believing in more sends prompts to servers that read
// them again.
const prefixLife = 12 * time.Second

// Expire forgets the older generation if its time is over.
func (p *PrefixIndex) Expire(now time.Time) {
	if now.Sub(p.since) >= prefixLife {
		p.turn()
		p.since = now
	}
}

func (p *PrefixIndex) turn() { p.old, p.young = p.young, make(map[uint64]Set, len(p.young)) }

// SetCapacity bounds the remembered blocks.
func (p *PrefixIndex) SetCapacity(blocks int) { p.capacity = blocks / 2 }

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{young: map[uint64]Set{}, old: map[uint64]Set{}, capacity: prefixCapacity / 2}
}

// Sent records that a server (by candidate slot) got a prompt.
func (p *PrefixIndex) Sent(slot int, blocks []uint64) {
	for _, b := range blocks {
		held := p.young[b].Union(p.old[b])
		held.Add(slot)
		p.young[b] = held
	}
	if len(p.young) >= p.capacity {
		p.turn()
	}
}

// Forget drops all knowledge of a slot, for a server that was replaced.
func (p *PrefixIndex) Forget(slot int) {
	for _, m := range []map[uint64]Set{p.young, p.old} {
		for b, held := range m {
			if held.Has(slot) {
				held.Remove(slot)
				m[b] = held
			}
		}
	}
}

// Lookup sets CachedBlocks of r for every slot.
func (p *PrefixIndex) Lookup(r *Request) {
	var alive Set
	for i, b := range r.Blocks {
		held := p.young[b].Union(p.old[b])
		if i > 0 {
			held = held.And(alive)
		}
		alive = held
		if alive.Empty() {
			return
		}
		alive.Each(func(slot int) { r.CachedBlocks[slot] = uint8(i + 1) })
	}
}
