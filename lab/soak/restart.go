package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Scenario: servers restart under the same id, and other writers overwrite their entries,
// while daemons are stopped and restarted. The store stays available, so that daemons must
// observe every change in bounded time.

// invalidEntry is a period during which the entry of a server is invalid.
type invalidEntry struct {
	server   int
	from, to time.Time
}

// maxInvalidEntryDelay is how long requests may still reach a server after its entry became
// invalid. It exceeds the required bound to allow for daemon starts and machine load.
const maxInvalidEntryDelay = 3 * time.Second

// invalidEntryValues are values that another writer may store under a server's id.
var invalidEntryValues = []string{"null", "{}", "\xff", `{"state":"ready"}`, `{"service":"lm","addr":"nowhere","slots":"many"}`}

// writeEntry writes the entry of a server that started at startedAt, in Unix milliseconds.
func (c *cluster) writeEntry(i int, startedAt int64) {
	c.store.Put("keyed.servers", c.servers[i].ID, fmt.Appendf(nil, `%s,"born":%d}`, c.serverEntries[i], startedAt))
}

// rewriteEntry writes the entry of a server unless it is currently invalidated.
func (c *cluster) rewriteEntry(i int, startedAt int64) {
	if !c.hasInvalidEntry(i) {
		c.writeEntry(i, startedAt)
	}
}

// injectRestartFault starts a random fault of a server or daemon.
func (c *cluster) injectRestartFault() {
	i, d := c.rng.IntN(len(c.servers)), c.daemons[c.rng.IntN(len(c.daemons))]
	s := c.servers[i]
	faults := []struct {
		name  string
		start func()
	}{
		{"server-restarts", func() { s.Restart(); c.rewriteEntry(i, s.StartMillis()) }},
		{"server-restarts-twice", func() { s.Restart(); s.Restart(); c.rewriteEntry(i, s.StartMillis()) }},
		// Simulates a delayed write by the previous incarnation.
		{"older-entry", func() { c.rewriteEntry(i, s.StartMillis()-1) }},
		{"entry-bad", func() { c.invalidateEntry(i) }},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"term", func() { d.signal(syscall.SIGTERM) }},
	}
	f := faults[c.rng.IntN(len(faults))]
	c.faults = append(c.faults, f.name)
	f.start()
}

func (c *cluster) hasInvalidEntry(i int) bool {
	for _, e := range c.invalidEntries {
		if e.server == i && e.to.IsZero() {
			return true
		}
	}
	return false
}

// invalidateEntry overwrites the entry of a server. It is limited to half of the servers, so
// that every service keeps some.
func (c *cluster) invalidateEntry(i int) {
	if i < len(c.servers)/2 || c.hasInvalidEntry(i) {
		return
	}
	c.store.Put("keyed.servers", c.servers[i].ID, []byte(invalidEntryValues[c.rng.IntN(len(invalidEntryValues))]))
	c.invalidEntries = append(c.invalidEntries, invalidEntry{server: i, from: time.Now()})
}

// restoreEntries writes valid entries for all servers whose entry was invalidated.
func (c *cluster) restoreEntries() {
	for n := range c.invalidEntries {
		e := &c.invalidEntries[n]
		e.to = time.Now()
		c.writeEntry(e.server, c.servers[e.server].StartMillis())
	}
}

// checkInvalidEntries reports requests that reached a server while its entry was invalid.
func checkInvalidEntries(entries []invalidEntry, servers []*standin.BackendServer) []string {
	var violations []string
	for _, e := range entries {
		for _, r := range servers[e.server].RunHistory() {
			if r.At.After(e.from.Add(maxInvalidEntryDelay)) && r.At.Before(e.to) {
				violations = append(violations, fmt.Sprintf("request %s: ran at %s, whose entry had named no server for %s", r.ID, servers[e.server].ID, r.At.Sub(e.from).Round(time.Millisecond)))
			}
		}
	}
	return violations
}
