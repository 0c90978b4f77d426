package main

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// A store that is away for a moment and comes back from a copy some seconds old. What the
// operator and the servers wrote since is written again soon after.

const (
	// copyEvery is how often the store is copied, and copiesKept how many copies there are:
	// the oldest is some seconds old.
	copyEvery  = 700 * time.Millisecond
	copiesKept = 6
	// returnEvery is the pause between two returns, silentFor the outage before each, and
	// againAfter the time until what was lost is written again.
	returnEvery = 3 * time.Second
	silentFor   = 300 * time.Millisecond
	againAfter  = 200 * time.Millisecond
)

// keepReturning has the store come back from copies until it is stopped.
func (w *world) keepReturning() (stop func()) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		copies := []*standin.MetadataSnapshot{w.store.Snapshot()}
		copying, returning := time.NewTicker(copyEvery), time.NewTicker(returnEvery)
		defer copying.Stop()
		defer returning.Stop()
		for turn := 0; ; {
			select {
			case <-ended:
				return
			case <-copying.C:
				copies = append(copies, w.store.Snapshot())
				copies = copies[max(0, len(copies)-copiesKept):]
			case <-returning.C:
				w.comeBack(copies[turn%len(copies)])
				copies, turn = copies[:turn%len(copies)+1], turn+1
			}
		}
	})
	return func() { close(ended); all.Wait() }
}

func (w *world) comeBack(c *standin.MetadataSnapshot) {
	w.store.SetFailure("", 503)
	time.Sleep(silentFor)
	w.store.Restore(c)
	w.store.SetFailure("", 0)
	time.Sleep(againAfter)
	w.mu.Lock()
	w.store.Put("keyed.op", "config", w.config)
	w.returned++
	w.mu.Unlock()
	for i, s := range w.servers {
		w.reregister(i, s.StartMillis())
	}
}
