package standin

import "hash/fnv"

// blockBytes is the size of a block of the prefix cache.
const blockBytes = 256

// CacheEvent reports that a block was stored in or evicted from a prefix cache.
type CacheEvent struct {
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// blockCache is a prefix cache with FIFO eviction. It drops some of its events, because the
// event feed is specified as lossy.
type blockCache struct {
	capacity       int
	cached         map[uint64]bool
	insertionOrder []uint64
	events         []CacheEvent
	eventCount     int
}

// eventDropInterval is the number of cache events of which the last one is dropped.
const eventDropInterval = 10

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, cached: map[uint64]bool{}}
}

// lookupAndStore stores the blocks of a prompt and returns the number of bytes after the
// longest cached prefix.
func (c *blockCache) lookupAndStore(model, prompt string) int {
	uncachedBytes := len(prompt)
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	hit := true
	for len(prompt) >= blockBytes {
		_, _ = h.Write([]byte(prompt[:blockBytes]))
		key := h.Sum64()
		if hit && c.cached[key] {
			uncachedBytes -= blockBytes
		} else {
			hit = false
			c.store(key)
		}
		prompt = prompt[blockBytes:]
	}
	return uncachedBytes
}

func (c *blockCache) store(key uint64) {
	if c.capacity <= 0 || c.cached[key] {
		return
	}
	c.cached[key] = true
	c.insertionOrder = append(c.insertionOrder, key)
	c.recordEvent(CacheEvent{key, true})
	if len(c.insertionOrder) > c.capacity {
		delete(c.cached, c.insertionOrder[0])
		c.recordEvent(CacheEvent{c.insertionOrder[0], false})
		c.insertionOrder = c.insertionOrder[1:]
	}
}

func (c *blockCache) recordEvent(e CacheEvent) {
	c.eventCount++
	if c.eventCount%eventDropInterval != 0 {
		c.events = append(c.events, e)
	}
}

func (c *blockCache) drainEvents() []CacheEvent {
	out := c.events
	c.events = nil
	return out
}
