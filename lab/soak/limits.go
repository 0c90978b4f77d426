package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Scenario: servers state limits on their requests per second, each in its own way, while daemons
// are stopped and restarted, the store fails, and servers fail or restart.

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
	style     string
	from, to  time.Time
}

// limitStyle is the way in which a server states its limit.
type limitStyle struct {
	name string
	// field returns the function that gives the limit of each response; empty for none.
	field func(rng *rand.Rand, perSecond float64) func() string
}

// limitStyles are the ways in which servers state limits. All of them mean the same limit.
var limitStyles = []limitStyle{
	{"always", func(_ *rand.Rand, perSecond float64) func() string {
		return func() string { return formatLimit(perSecond) }
	}},
	{"left out by one response in ten", func(rng *rand.Rand, perSecond float64) func() string {
		return func() string {
			if rng.IntN(10) == 0 {
				return ""
			}
			return formatLimit(perSecond)
		}
	}},
	{"left out for 300 ms in each 2 s", func(_ *rand.Rand, perSecond float64) func() string {
		start := time.Now()
		return func() string {
			if time.Since(start)%(2*time.Second) < 300*time.Millisecond {
				return ""
			}
			return formatLimit(perSecond)
		}
	}},
	{"sometimes unreadable or lower", func(rng *rand.Rand, perSecond float64) func() string {
		return func() string {
			return []string{"many", "-1", formatLimit(perSecond), formatLimit(perSecond), formatLimit(0.7 * perSecond), formatLimit(0)}[rng.IntN(6)]
		}
	}},
}

func formatLimit(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', -1, 64) }

// injectLimitFault makes a server state a limit, or disturbs the daemons, the store or a server
// that may state one.
func (c *cluster) injectLimitFault() {
	d, server := c.daemons[c.rng.IntN(len(c.daemons))], c.rng.IntN(len(c.servers))
	storeProxy := c.storeProxies[c.rng.IntN(len(c.storeProxies))]
	s, duration := c.servers[server], time.Duration(c.rng.Int64N(int64(maxFaultDuration)))
	revert := func(f func()) { time.AfterFunc(duration, f) }
	limit := func() {
		c.limitServer(server, statedLimits[c.rng.IntN(len(statedLimits))], limitStyles[c.rng.IntN(len(limitStyles))])
	}
	faults := []struct {
		name  string
		start func()
	}{
		{"server-limit", limit}, {"server-limit", limit}, {"server-limit", limit},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"term", func() { d.signal(syscall.SIGTERM) }},
		{"hup", func() { d.signal(syscall.SIGHUP) }},
		{"pause", func() { d.signal(syscall.SIGSTOP); revert(func() { d.signal(syscall.SIGCONT) }) }},
		{"rotate", c.rotateKeys},
		{"store-path", func() { storeProxy.setMode(modeBlackhole); revert(func() { storeProxy.setMode(modeForward) }) }},
		{"store-refuses", func() { c.store.SetFailure("", 503); revert(func() { c.store.SetFailure("", 0) }) }},
		{"shed", func() { s.SetShedding(true); revert(func() { s.SetShedding(false) }) }},
		{"errors", func() { s.SetFailureStatus(500); revert(func() { s.SetFailureStatus(0) }) }},
		{"server-restarts", func() { s.Restart(); c.rewriteEntry(server, s.StartMillis()) }},
	}
	f := faults[c.rng.IntN(len(faults))]
	c.faults = append(c.faults, f.name)
	f.start()
}

// limitServer makes a server state a limit for limitDuration, unless it states one.
func (c *cluster) limitServer(server int, perSecond float64, style limitStyle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if slices.ContainsFunc(c.limits, func(l limitPeriod) bool { return l.server == server && now.Before(l.to) }) {
		return
	}
	c.limits = append(c.limits, limitPeriod{server, perSecond, style.name, now, now.Add(limitDuration)})
	c.servers[server].SetLimitField(style.field(rand.New(rand.NewPCG(c.rng.Uint64(), 0)), perSecond))
	time.AfterFunc(limitDuration, func() { c.servers[server].SetStatedLimit("") })
}

// liftLimits ends all stated limits.
func (c *cluster) liftLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range c.limits {
		if l := &c.limits[i]; now.Before(l.to) {
			l.to = now
			c.servers[l.server].SetStatedLimit("")
		}
	}
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
				violations = append(violations, fmt.Sprintf("request %s: the %dth in %s at server %d, which states a limit of %g a second (%s) and may get %.0f", r.ID, n, limitWindow, l.server, l.perSecond, l.style, allowed))
			}
		}
	}
	return violations
}
