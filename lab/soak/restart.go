package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Servers that start again under their id, and entries from other writers, beside daemons
// that stop and start. The store and the ways to it are sound meanwhile, so that what a
// daemon must know by when is beyond doubt.

// invalidEntry is the time in which a server's entry names no server to use.
type invalidEntry struct {
	server   int
	from, to time.Time
}

// maxInvalidEntryDelay is how long after the entry a request may still reach the server: the users
// allow two seconds to daemons in touch, and a daemon that starts or a busy machine takes
// some hundred milliseconds more.
const maxInvalidEntryDelay = 3 * time.Second

// invalidEntryValues are what another writer may write under a server's id.
var invalidEntryValues = []string{"null", "{}", "\xff", `{"state":"ready"}`, `{"service":"lm","addr":"nowhere","slots":"many"}`}

// writeEntry writes the entry of a run of a server.
func (c *cluster) writeEntry(i int, startedAt int64) {
	c.store.Put("keyed.servers", c.servers[i].ID, fmt.Appendf(nil, `%s,"born":%d}`, c.serverEntries[i], startedAt))
}

// rewriteEntry writes an entry unless another writer's holds.
func (c *cluster) rewriteEntry(i int, startedAt int64) {
	if !c.hasInvalidEntry(i) {
		c.writeEntry(i, startedAt)
	}
}

// injectRestartFault starts one fault of a server or of a daemon.
func (c *cluster) injectRestartFault() {
	i, d := c.rng.IntN(len(c.servers)), c.daemons[c.rng.IntN(len(c.daemons))]
	s := c.servers[i]
	faults := []struct {
		name  string
		start func()
	}{
		{"server-restarts", func() { s.Restart(); c.rewriteEntry(i, s.Born()) }},
		{"server-restarts-twice", func() { s.Restart(); s.Restart(); c.rewriteEntry(i, s.Born()) }},
		// The store may carry out a write of an earlier run late.
		{"older-entry", func() { c.rewriteEntry(i, s.Born()-1) }},
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

// invalidateEntry overwrites a server's entry, for at most every second server so that each service
// keeps some.
func (c *cluster) invalidateEntry(i int) {
	if i < len(c.servers)/2 || c.hasInvalidEntry(i) {
		return
	}
	c.store.Put("keyed.servers", c.servers[i].ID, []byte(invalidEntryValues[c.rng.IntN(len(invalidEntryValues))]))
	c.invalidEntries = append(c.invalidEntries, invalidEntry{server: i, from: time.Now()})
}

// restoreEntries has every server write its entry again.
func (c *cluster) restoreEntries() {
	for n := range c.invalidEntries {
		e := &c.invalidEntries[n]
		e.to = time.Now()
		c.writeEntry(e.server, c.servers[e.server].Born())
	}
}

// checkInvalidEntries returns the requests that reached a server whose entry named none.
func checkInvalidEntries(entries []invalidEntry, servers []*standin.Opaque) []string {
	var violations []string
	for _, e := range entries {
		for _, r := range servers[e.server].History() {
			if r.At.After(e.from.Add(maxInvalidEntryDelay)) && r.At.Before(e.to) {
				violations = append(violations, fmt.Sprintf("request %s: ran at %s, whose entry had named no server for %s", r.ID, servers[e.server].ID, r.At.Sub(e.from).Round(time.Millisecond)))
			}
		}
	}
	return violations
}
