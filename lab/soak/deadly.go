package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Scenario: requests that crash every server that runs them ("deadly" requests) arrive
// repeatedly with new ids at random daemons, while daemons are stopped and restarted.

const (
	// crashRestartDelay is the downtime of a server after a crash.
	crashRestartDelay = 2 * time.Second
	// containmentDelay is the time from the crash that triggers the quarantine until all
	// daemons must enforce it. maxLateArrivals is the number of deadly requests that may
	// still reach servers after it.
	containmentDelay = 3 * time.Second
	maxLateArrivals  = 3
	// quarantineThreshold is the number of crashes that triggers the quarantine.
	quarantineThreshold = 3
	// partQuarantineThreshold is the same for a part of a prompt.
	partQuarantineThreshold = 5
)

// crashServer handles the crash of a server by a deadly request, and restarts it later.
func (c *cluster) crashServer(i int) {
	c.mu.Lock()
	c.crashTimes = append(c.crashTimes, time.Now())
	c.mu.Unlock()
	s := c.servers[i]
	c.serverProxies[i].takeDown(crashRestartDelay, func() {
		s.Restart()
		c.writeEntry(i, s.StartMillis())
	})
}

// stopDaemon sends SIGKILL or SIGTERM to a random daemon.
func (c *cluster) stopDaemon() {
	d := c.daemons[c.rng.IntN(len(c.daemons))]
	if c.rng.IntN(2) == 0 {
		c.faults = append(c.faults, "kill")
		d.signal(syscall.SIGKILL)
		return
	}
	c.faults = append(c.faults, "term")
	d.signal(syscall.SIGTERM)
}

// checkQuarantine reports deadly requests that kept reaching servers after the quarantine
// should have been in force, given the times of crashes and arrivals, and the number of crashes that
// triggers it.
func checkQuarantine(crashTimes, arrivals []time.Time, threshold int) []string {
	if len(crashTimes) < threshold {
		return nil
	}
	slices.SortFunc(crashTimes, time.Time.Compare)
	lateArrivals := 0
	for _, at := range arrivals {
		if at.After(crashTimes[threshold-1].Add(containmentDelay)) {
			lateArrivals++
		}
	}
	if lateArrivals <= maxLateArrivals {
		return nil
	}
	return []string{fmt.Sprintf("requests under which %d servers had ended reached servers %d times more; %d ended", threshold, lateArrivals, len(crashTimes))}
}

// checkFalseQuarantines reports normal requests that were refused as quarantined.
func checkFalseQuarantines(calls []call) (violations []string) {
	for _, c := range calls {
		if !c.crashing && strings.HasPrefix(c.body, string(fault.Quarantined)) {
			violations = append(violations, fmt.Sprintf("request %s: held, and it ends no server", c.id))
		}
	}
	return violations
}

// crashingArrivals returns the times at which deadly requests reached servers.
func (c *cluster) crashingArrivals(calls []call) (arrivals []time.Time) {
	deadly := map[string]bool{}
	for _, rec := range calls {
		deadly[rec.id] = rec.crashing
	}
	for _, s := range c.servers {
		for _, r := range s.RunHistory() {
			if deadly[r.ID] {
				arrivals = append(arrivals, r.At)
			}
		}
	}
	return arrivals
}
