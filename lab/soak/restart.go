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

// bar is the time in which a server's entry names no server to use.
type bar struct {
	server   int
	from, to time.Time
}

// barWithin is how long after the entry a request may still reach the server: the users
// allow two seconds to daemons in touch, and a daemon that starts or a busy machine takes
// some hundred milliseconds more.
const barWithin = 3 * time.Second

// badEntries are what another writer may write under a server's id.
var badEntries = []string{"null", "{}", "\xff", `{"state":"ready"}`, `{"service":"lm","addr":"nowhere","slots":"many"}`}

// register writes the entry of a run of a server.
func (w *world) register(i int, born int64) {
	w.store.Put("keyed.servers", w.servers[i].ID, fmt.Appendf(nil, `%s,"born":%d}`, w.entries[i], born))
}

// reregister writes an entry unless another writer's holds.
func (w *world) reregister(i int, born int64) {
	if !w.isBarred(i) {
		w.register(i, born)
	}
}

// restart starts one fault of a server or of a daemon.
func (w *world) restart() {
	i, d := w.rng.IntN(len(w.servers)), w.daemons[w.rng.IntN(len(w.daemons))]
	s := w.servers[i]
	faults := []struct {
		name  string
		start func()
	}{
		{"server-restarts", func() { s.Restart(); w.reregister(i, s.StartMillis()) }},
		{"server-restarts-twice", func() { s.Restart(); s.Restart(); w.reregister(i, s.StartMillis()) }},
		// The store may carry out a write of an earlier run late.
		{"older-entry", func() { w.reregister(i, s.StartMillis()-1) }},
		{"entry-bad", func() { w.bar(i) }},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"term", func() { d.signal(syscall.SIGTERM) }},
	}
	f := faults[w.rng.IntN(len(faults))]
	w.faults = append(w.faults, f.name)
	f.start()
}

func (w *world) isBarred(i int) bool {
	for _, b := range w.barred {
		if b.server == i && b.to.IsZero() {
			return true
		}
	}
	return false
}

// bar overwrites a server's entry, for at most every second server so that each service
// keeps some.
func (w *world) bar(i int) {
	if i < len(w.servers)/2 || w.isBarred(i) {
		return
	}
	w.store.Put("keyed.servers", w.servers[i].ID, []byte(badEntries[w.rng.IntN(len(badEntries))]))
	w.barred = append(w.barred, bar{server: i, from: time.Now()})
}

// unbar has every server write its entry again.
func (w *world) unbar() {
	for n := range w.barred {
		b := &w.barred[n]
		b.to = time.Now()
		w.register(b.server, w.servers[b.server].StartMillis())
	}
}

// checkBarred returns the requests that reached a server whose entry named none.
func checkBarred(bars []bar, servers []*standin.BackendServer) []string {
	var broken []string
	for _, b := range bars {
		for _, r := range servers[b.server].RunHistory() {
			if r.At.After(b.from.Add(barWithin)) && r.At.Before(b.to) {
				broken = append(broken, fmt.Sprintf("request %s: ran at %s, whose entry had named no server for %s", r.ID, servers[b.server].ID, r.At.Sub(b.from).Round(time.Millisecond)))
			}
		}
	}
	return broken
}
