package main

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// A store that is away for a moment and comes back from a copy some seconds old. What the
// operator and the servers wrote since is written again soon after.

const (
	// snapshotInterval is how often the store is copied, and copiesKept how many copies there are:
	// the oldest is some seconds old.
	snapshotInterval = 700 * time.Millisecond
	maxSnapshots     = 6
	// restoreInterval is the pause between two returns, silentFor the outage before each, and
	// againAfter the time until what was lost is written again.
	restoreInterval = 3 * time.Second
	outageDuration  = 300 * time.Millisecond
	rewriteDelay    = 200 * time.Millisecond
)

// startStoreRestores has the store come back from copies until it is stopped.
func (c *cluster) startStoreRestores() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		snapshots := []*standin.MetadataCopy{c.store.Copy()}
		snapshotTicker, restoreTicker := time.NewTicker(snapshotInterval), time.NewTicker(restoreInterval)
		defer snapshotTicker.Stop()
		defer restoreTicker.Stop()
		for turn := 0; ; {
			select {
			case <-done:
				return
			case <-snapshotTicker.C:
				snapshots = append(snapshots, c.store.Copy())
				snapshots = snapshots[max(0, len(snapshots)-maxSnapshots):]
			case <-restoreTicker.C:
				c.restoreStore(snapshots[turn%len(snapshots)])
				snapshots, turn = snapshots[:turn%len(snapshots)+1], turn+1
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

func (c *cluster) restoreStore(snapshot *standin.MetadataCopy) {
	c.store.Refuse("", 503)
	time.Sleep(outageDuration)
	c.store.Return(snapshot)
	c.store.Refuse("", 0)
	time.Sleep(rewriteDelay)
	c.mu.Lock()
	c.store.Put("keyed.op", "config", c.config)
	c.restoreCount++
	c.mu.Unlock()
	for i, s := range c.servers {
		c.rewriteEntry(i, s.Born())
	}
}
