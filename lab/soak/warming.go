package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Scenario: servers restart and must not be overloaded while they warm up, and failure
// domains are evacuated, while daemons are stopped and restarted.

const (
	warmupDuration = 1500 * time.Millisecond
	// configuredWarmupRate is the configured request rate of a warming server, in requests per
	// second, and maxWarmupRate the highest rate that passes the check.
	configuredWarmupRate = 6
	maxWarmupRate        = 8
	// warmupRestartDelay is the downtime of a server before it starts again.
	warmupRestartDelay = time.Second
	// maxEvacuationDelay is the time after an evacuation order from which no request may reach
	// the failure domain.
	maxEvacuationDelay = 3 * time.Second
	// evacuationDuration exceeds maxEvacuationDelay, so that violations are observable.
	evacuationDuration = 4500 * time.Millisecond
)

// warmup is a period during which a server warms up.
type warmup struct {
	server   int
	from, to time.Time
}

// evacuation is a period during which a failure domain is evacuated.
type evacuation struct {
	domain   int
	from, to time.Time
}

const failureDomainCount = 3

// restartWithWarmup restarts a server, which then warms up. Its entry is written just before
// it listens again.
func (c *cluster) restartWithWarmup(i int) {
	c.mu.Lock()
	restarting := c.restarting[i]
	c.restarting[i] = true
	c.mu.Unlock()
	if restarting {
		return
	}
	c.serverProxies[i].takeDown(warmupRestartDelay, func() {
		s := c.servers[i]
		s.Restart()
		now := time.Now()
		c.mu.Lock()
		c.restarting[i] = false
		c.warmups = append(c.warmups, warmup{i, now, now.Add(warmupDuration)})
		c.mu.Unlock()
		c.writeWarmupEntry(i)
	})
}

// writeWarmupEntry writes an entry that marks a server as warming, and after warmupDuration
// its normal entry, unless another warm-up has started since.
func (c *cluster) writeWarmupEntry(i int) {
	startedAt := c.servers[i].StartMillis()
	c.warmupCounts[i].Add(1)
	count := c.warmupCounts[i].Load()
	c.store.Put("keyed.servers", c.servers[i].ID, fmt.Appendf(nil, `%s,"cold_ms":%d,"born":%d}`, c.serverEntries[i], warmupDuration.Milliseconds(), startedAt))
	time.AfterFunc(warmupDuration, func() {
		if c.warmupCounts[i].Load() == count {
			c.writeEntry(i, startedAt)
		}
	})
}

// evacuate evacuates a failure domain for evacuationDuration, unless an evacuation is active.
func (c *cluster) evacuate(domain int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.evacuations); n > 0 && c.evacuations[n-1].to.IsZero() {
		return
	}
	key := fmt.Sprint("evacuate/z", domain)
	c.store.Put("keyed.op", key, []byte("{}"))
	c.evacuations = append(c.evacuations, evacuation{domain: domain, from: time.Now()})
	time.AfterFunc(evacuationDuration, func() { c.endEvacuation(key) })
}

// endEvacuation revokes the evacuation order; the servers of the domain then warm up.
func (c *cluster) endEvacuation(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &c.evacuations[len(c.evacuations)-1]
	e.to = time.Now()
	c.store.Put("keyed.op", key, nil)
	for i := range c.servers {
		if i%failureDomainCount == e.domain {
			c.warmups = append(c.warmups, warmup{i, e.to, e.to.Add(warmupDuration)})
			c.writeWarmupEntry(i)
		}
	}
}

// injectWarmupFault evacuates a failure domain, stops a daemon, or restarts a server.
func (c *cluster) injectWarmupFault() {
	switch c.rng.IntN(5) {
	case 0:
		c.faults = append(c.faults, "evacuate")
		c.evacuate(c.rng.IntN(failureDomainCount))
	case 1:
		c.stopDaemon()
	default:
		c.faults = append(c.faults, "server-warms-up")
		c.restartWithWarmup(c.rng.IntN(len(c.servers)))
	}
}

// checkAdmission checks the requests that reached warming servers and evacuated domains.
func (c *cluster) checkAdmission() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrivals := func(server int) []standin.Run { return c.servers[server].RunHistory() }
	return append(checkWarmups(c.warmups, arrivals), checkEvacuations(c.evacuations, arrivals, len(c.servers))...)
}

// checkWarmups reports warm-ups with more than maxWarmupRate requests in one second.
func checkWarmups(warmups []warmup, arrivals func(server int) []standin.Run) (violations []string) {
	for _, w := range warmups {
		var runs []standin.Run
		for _, r := range arrivals(w.server) {
			if r.At.After(w.from) && r.At.Before(w.to) {
				runs = append(runs, r)
			}
		}
		first := 0
		for i, r := range runs {
			for r.At.Sub(runs[first].At) > time.Second {
				first++
			}
			if n := i - first + 1; n > maxWarmupRate {
				violations = append(violations, fmt.Sprintf("request %s: the %dth in a second at server %d, which warms up and bears %d", r.ID, n, w.server, maxWarmupRate))
				break
			}
		}
	}
	return violations
}

// checkEvacuations reports requests that reached an evacuated domain after maxEvacuationDelay.
func checkEvacuations(evacuations []evacuation, arrivals func(server int) []standin.Run, servers int) (violations []string) {
	for _, e := range evacuations {
		for i := e.domain; i < servers; i += failureDomainCount {
			for _, r := range arrivals(i) {
				if r.At.After(e.from.Add(maxEvacuationDelay)) && (e.to.IsZero() || r.At.Before(e.to)) {
					violations = append(violations, fmt.Sprintf("request %s: reached server %d %s after its domain was evacuated", r.ID, i, r.At.Sub(e.from).Round(time.Millisecond)))
				}
			}
		}
	}
	return violations
}

// panicPatterns match traces of a panic in a daemon's output.
var panicPatterns = [][]byte{[]byte("panic:"), []byte("msg=panic"), []byte("panic serving")}

// checkPanics reports daemons whose output contains a panic.
func checkPanics(daemons []*process) (violations []string) {
	for _, d := range daemons {
		output, err := os.ReadFile(filepath.Join(d.dir, "log"))
		if err != nil {
			violations = append(violations, fmt.Sprintf("%s: %v", d.name, err))
			continue
		}
		for _, pattern := range panicPatterns {
			if n := bytes.Count(output, pattern); n > 0 {
				violations = append(violations, fmt.Sprintf("%s: %d times %q in its output", d.name, n, pattern))
			}
		}
	}
	return violations
}
