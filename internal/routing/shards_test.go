package routing

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a fleet that spreads a small load over all servers, so that daemons seldom meet a
// server that has read their prompt.
func TestShardsInUseFollowDemand(t *testing.T) {
	const servers = 9647
	total := ShardCount(servers)
	for _, c := range []struct {
		demand      float64
		before, min int
		max         int
	}{
		{demand: 0, before: 1, min: 1, max: 1},
		{demand: 220, before: 1, min: 2, max: 4},
		{demand: 220, before: 64, min: 2, max: 8},
		{demand: 3000, before: 1, min: 32, max: 64},
		{demand: 1e6, before: 4, min: total, max: total},
	} {
		if got := ShardsInUse(c.before, total, c.demand); got < c.min || got > c.max {
			t.Errorf("demand %.0f: %d shards in use, want %d to %d", c.demand, got, c.min, c.max)
		}
	}
}

// Guards against a change of shards, which loses cached prompts, with each fluctuation of load.
func TestShardsInUseAreStable(t *testing.T) {
	total, inUse := ShardCount(9647), 1
	inUse = ShardsInUse(inUse, total, 220)
	for _, factor := range []float64{1.3, 0.7, 1.1, 0.6} {
		if got := ShardsInUse(inUse, total, 220*factor); got != inUse {
			t.Errorf("%d shards at a load of %.1f, %d before", got, factor, inUse)
		}
	}
}

// Guards against daemons that use different servers although the fleet needs few.
func TestDaemonsShareShardsInUse(t *testing.T) {
	members, first := poolMembers(9647), map[string]bool{}
	for d := range 200 {
		first[shardOf(fmt.Sprint("daemon-", d), members, 2)[0].ID] = true
	}
	if len(first) != 2 {
		t.Errorf("daemons use %d shards, want 2", len(first))
	}
}

func TestConcurrencyFollowsLoad(t *testing.T) {
	var c Concurrency
	now := time.Unix(1000, 0)
	for range 200 {
		c.Add(1, now)
		now = now.Add(300 * time.Millisecond)
		c.Add(-1, now)
		now = now.Add(700 * time.Millisecond)
	}
	if got := c.Mean(now); got < 0.2 || got > 0.4 {
		t.Errorf("mean %.2f of requests that take 0.3 s each second", got)
	}
	if got := c.Mean(now.Add(time.Minute)); got > 0.01 {
		t.Errorf("mean %.2f after a minute without load", got)
	}
}

// shardOf returns the members that a daemon uses.
func shardOf(daemon string, members []Member, inUse int) (out []Member) {
	uses := ShardFilter(daemon, ShardCount(len(members)), inUse)
	for _, m := range members {
		if uses(m.ID) {
			out = append(out, m)
		}
	}
	return out
}
