package main

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Scenario: the store fails briefly and is restored from an older snapshot. The operator and
// the servers write the lost entries again shortly afterwards.

const (
	// snapshotInterval is the time between snapshots, and maxSnapshots the number kept.
	snapshotInterval = 700 * time.Millisecond
	maxSnapshots     = 6
	// restoreInterval is the time between restores, outageDuration the outage before each, and
	// rewriteDelay the time until lost entries are written again.
	restoreInterval = 3 * time.Second
	outageDuration  = 300 * time.Millisecond
	rewriteDelay    = 200 * time.Millisecond
)

// startStoreRestores periodically restores the store from snapshots until stop is called.
func (c *cluster) startStoreRestores() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		snapshots := []*standin.MetadataSnapshot{c.store.Snapshot()}
		snapshotTicker, restoreTicker := time.NewTicker(snapshotInterval), time.NewTicker(restoreInterval)
		defer snapshotTicker.Stop()
		defer restoreTicker.Stop()
		for next := 0; ; {
			select {
			case <-done:
				return
			case <-snapshotTicker.C:
				snapshots = append(snapshots, c.store.Snapshot())
				snapshots = snapshots[max(0, len(snapshots)-maxSnapshots):]
			case <-restoreTicker.C:
				c.restoreStore(snapshots[next%len(snapshots)])
				snapshots, next = snapshots[:next%len(snapshots)+1], next+1
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

func (c *cluster) restoreStore(snapshot *standin.MetadataSnapshot) {
	c.store.SetFailure("", 503)
	time.Sleep(outageDuration)
	c.store.Restore(snapshot)
	c.store.SetFailure("", 0)
	time.Sleep(rewriteDelay)
	c.mu.Lock()
	c.store.Put("keyed.op", "config", c.config)
	c.restoreCount++
	c.mu.Unlock()
	for i, s := range c.servers {
		c.rewriteEntry(i, s.StartMillis())
	}
}
