package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Servers that warm up after each start and end above what they bear, and failure domains that
// are evacuated, beside daemons that stop, start and are cut off from the store.

const (
	// warmupDuration is how long a server warms up, and warmBound the most requests of any second
	// meanwhile; warmRate is the rate that the configuration states.
	warmupDuration       = 1500 * time.Millisecond
	configuredWarmupRate = 6
	maxWarmupRate        = 8
	// warmupRestartDelay is the time between the end of a server and its next start.
	warmupRestartDelay = time.Second
	// maxEvacuationDelay is the time after an order within which nothing more may arrive.
	maxEvacuationDelay = 3 * time.Second
	// evacuationDuration is how long a domain is evacuated, longer than the time allowed.
	evacuationDuration = 4500 * time.Millisecond
)

// warmup is the time in which a server warms up.
type warmup struct {
	server   int
	from, to time.Time
}

// evacuation is the time in which nothing may be sent to a failure domain.
type evacuation struct {
	domain   int
	from, to time.Time
}

// failureDomainCount is how many failure domains the servers stand in.
const failureDomainCount = 3

// restartWithWarmup has a server end and start again, which then bears little. It writes its entry as it
// begins to listen.
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

// writeWarmupEntry has a server write that it warms up, and then that it is warm unless it has
// begun to warm up again.
func (c *cluster) writeWarmupEntry(i int) {
	startedAt := c.servers[i].Born()
	c.warmupCounts[i].Add(1)
	count := c.warmupCounts[i].Load()
	c.store.Put("keyed.servers", c.servers[i].ID, fmt.Appendf(nil, `%s,"cold_ms":%d,"born":%d}`, c.serverEntries[i], warmupDuration.Milliseconds(), startedAt))
	time.AfterFunc(warmupDuration, func() {
		if c.warmupCounts[i].Load() == count {
			c.writeEntry(i, startedAt)
		}
	})
}

// evacuate closes a failure domain for a while, unless one is closed.
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

// endEvacuation takes an order back; its servers warm up then.
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

// injectWarmupFault starts one fault beside servers that warm up.
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

// checkAdmission checks what warming servers and evacuated domains got.
func (c *cluster) checkAdmission() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrivals := func(server int) []standin.Run { return c.servers[server].History() }
	return append(checkWarmups(c.warmups, arrivals), checkEvacuations(c.evacuations, arrivals, len(c.servers))...)
}

// checkWarmups returns the seconds in which a warming server got more than it bears.
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

// checkEvacuations returns the requests that reached a domain later than its order allows.
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

// panicPatterns are what a panic leaves in a daemon's output.
var panicPatterns = [][]byte{[]byte("panic:"), []byte("msg=panic"), []byte("panic serving")}

// checkPanics returns the daemons whose output tells of a panic.
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
