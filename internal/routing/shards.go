package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// meanShardSize bounds the average size of a shard, so that a single shard is unlikely to
	// exceed MaxCandidates.
	meanShardSize = 184
	// targetConcurrency is the mean number of requests in flight per server up to which the
	// fleet uses no further shards.
	targetConcurrency = 0.5
	// shrinkFactor is the factor by which the demand must fall below the capacity of half of
	// the shards in use before they are given up: the servers left behind have cached prompts.
	shrinkFactor = 2
	// concurrencyHalfLife is the half-life of the mean of the requests in flight.
	concurrencyHalfLife = 5 * time.Second
)

// ShardCount returns the number of shards of a service with n servers, a power of two. Doubling it
// splits each shard and moves no server between others.
func ShardCount(n int) int {
	if n <= MaxCandidates {
		return 1
	}
	shards := 2
	for n > shards*meanShardSize {
		shards *= 2
	}
	return shards
}

// ShardsInUse returns how many of the shards of a service the fleet uses, a power of two, for the
// number used so far and the demand, in requests in flight of all daemons. A request is more
// likely to meet a server that has its prompt if the fleet uses no more servers than it needs.
func ShardsInUse(inUse, total int, demand float64) int {
	inUse = min(max(inUse, 1), total)
	for inUse < total && demand > targetConcurrency*meanShardSize*float64(inUse) {
		inUse *= 2
	}
	for inUse > 1 && demand*shrinkFactor < targetConcurrency*meanShardSize*float64(inUse/2) {
		inUse /= 2
	}
	return inUse
}

// ShardFilter returns which servers a daemon uses, by their ids, of a service with a number of
// shards of which the fleet uses some. All daemons of a shard use the same servers, so that
// partitions, canary shares and homes of prompts agree.
func ShardFilter(daemon string, total, inUse int) func(id string) bool {
	if total <= 1 {
		return func(string) bool { return true }
	}
	ownShard := xxhash.Sum64String(daemon) % uint64(inUse)
	return func(id string) bool { return xxhash.Sum64String(id)%uint64(total) == ownShard }
}

// Concurrency is the mean number of requests in flight.
type Concurrency struct {
	mean      float64
	current   int
	updatedAt time.Time
}

// Add changes the number of requests in flight.
func (c *Concurrency) Add(delta int, now time.Time) {
	c.mean = c.Mean(now)
	c.updatedAt = now
	c.current = max(0, c.current+delta)
}

// Mean returns the mean, in which older values count less.
func (c *Concurrency) Mean(now time.Time) float64 {
	weight := decay(now.Sub(c.updatedAt), concurrencyHalfLife)
	return math.FMA(c.mean, weight, float64(c.current)*(1-weight))
}
