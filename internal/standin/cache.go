package standin

import "hash/fnv"

// blockBytes is the granularity of the engines' prefix cache.
const blockBytes = 256

// CacheEvent tells that a block entered or left an engine's prefix cache.
type CacheEvent struct {
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// blockCache is a prefix cache with first-in-first-out eviction. Every tenth
// event is dropped, as the published feed has gaps.
type blockCache struct {
	size   int
	held   map[uint64]bool
	order  []uint64
	events []CacheEvent
	count  int
}

// eventGap drops every n-th cache event.
const eventGap = 10

func newBlockCache(size int) *blockCache { return &blockCache{size: size, held: map[uint64]bool{}} }

// touch stores a prompt's blocks and returns how many bytes were not cached.
func (c *blockCache) touch(model, prompt string) int {
	missing := len(prompt)
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	hit := true
	for len(prompt) >= blockBytes {
		_, _ = h.Write([]byte(prompt[:blockBytes]))
		key := h.Sum64()
		if hit && c.held[key] {
			missing -= blockBytes
		} else {
			hit = false
			c.store(key)
		}
		prompt = prompt[blockBytes:]
	}
	return missing
}

func (c *blockCache) store(key uint64) {
	if c.size <= 0 || c.held[key] {
		return
	}
	c.held[key] = true
	c.order = append(c.order, key)
	c.event(CacheEvent{key, true})
	if len(c.order) > c.size {
		delete(c.held, c.order[0])
		c.event(CacheEvent{c.order[0], false})
		c.order = c.order[1:]
	}
}

func (c *blockCache) event(e CacheEvent) {
	c.count++
	if c.count%eventGap != 0 {
		c.events = append(c.events, e)
	}
}

func (c *blockCache) takeEvents() []CacheEvent {
	out := c.events
	c.events = nil
	return out
}
