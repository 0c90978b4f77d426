package main

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Scenario: servers state limits on their requests per second, one after the other or several at
// a time, while daemons are stopped and restarted.

const (
	// limitDuration is how long a server states a limit.
	limitDuration = 9 * time.Second
	// limitNotice is the time after which a stated limit must be kept.
	limitNotice = 3 * time.Second
	// limitWindow is the period in which requests to a limited server are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests in any limitWindow: the stated rate times
	// limitFactor and limitWindow, plus limitSlack.
	limitFactor = 1.5
	limitSlack  = 5
)

// statedLimits are the limits that servers state, in requests per second.
var statedLimits = []float64{0.5, 1.1, 4, 10.8}

// limitPeriod is a period during which a server states a limit.
type limitPeriod struct {
	server    int
	perSecond float64
	from, to  time.Time
}

// injectLimitFault stops a daemon, or makes a server state a limit.
func (c *cluster) injectLimitFault() {
	if c.rng.IntN(4) == 0 {
		c.stopDaemon()
		return
	}
	c.faults = append(c.faults, "server-limit")
	c.limitServer(c.rng.IntN(len(c.servers)), statedLimits[c.rng.IntN(len(statedLimits))])
}

// limitServer makes a server state a limit for limitDuration, unless it states one.
func (c *cluster) limitServer(server int, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if slices.ContainsFunc(c.limits, func(l limitPeriod) bool { return l.server == server && now.Before(l.to) }) {
		return
	}
	c.limits = append(c.limits, limitPeriod{server, perSecond, now, now.Add(limitDuration)})
	c.servers[server].SetStatedLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	time.AfterFunc(limitDuration, func() { c.servers[server].SetStatedLimit("") })
}

// checkLimits checks the requests that reached servers with a stated limit.
func (c *cluster) checkLimits() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return checkLimits(c.limits, func(server int) []standin.Run { return c.servers[server].Arrivals() })
}

// checkLimits reports limits that were exceeded in a window, later than limitNotice.
func checkLimits(limits []limitPeriod, arrivals func(server int) []standin.Run) (violations []string) {
	for _, l := range limits {
		var runs []standin.Run
		for _, r := range arrivals(l.server) {
			if r.At.After(l.from.Add(limitNotice)) && r.At.Before(l.to) {
				runs = append(runs, r)
			}
		}
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		first := 0
		for i, r := range runs {
			for r.At.Sub(runs[first].At) > limitWindow {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				violations = append(violations, fmt.Sprintf("request %s: the %dth in %s at server %d, which states a limit of %g a second and may get %.0f", r.ID, n, limitWindow, l.server, l.perSecond, allowed))
				break
			}
		}
	}
	return violations
}
