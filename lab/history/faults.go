package history

import (
	"fmt"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/invariant"
)

// Fault is something that goes wrong at a random time of a history.
type Fault struct {
	Name string
	do   func(w *World)
}

func (w *World) someNode() *node     { return w.daemons[w.rng.IntN(daemonCount)] }
func (w *World) someEngine() *engine { return w.engines[w.rng.IntN(engineCount)] }

// during sets something and takes it back after a random time.
func (w *World) during(most time.Duration, set, back func()) {
	set()
	w.clock.After(most/4+w.duration(most), back)
}

// Faults are all faults, in a fixed order.
var Faults = []Fault{
	{"log down", func(w *World) {
		w.during(15*time.Second, func() { w.log.down = true }, func() { w.log.down = false })
	}},
	{"log slow", func(w *World) {
		w.during(10*time.Second, func() { w.log.slow = 400 * time.Millisecond }, func() { w.log.slow = 0 })
	}},
	{"log acts after its callers gave up", func(w *World) {
		w.during(8*time.Second, func() { w.log.slow = 900 * time.Millisecond }, func() { w.log.slow = 0 })
	}},
	{"append replies lost", func(w *World) {
		w.during(15*time.Second, func() { w.log.loseReplies = true }, func() { w.log.loseReplies = false })
	}},
	{"daemon killed and replaced", func(w *World) {
		d := w.someNode()
		d.alive = false
		w.event(invariant.Event{Kind: invariant.DaemonStopped, Daemon: fmt.Sprintf("d%d/%d", d.id, d.incarnation)})
		w.clock.After(w.duration(5*time.Second), func() { d.reset(); d.start() })
	}},
	{"daemon paused", func(w *World) {
		d := w.someNode()
		d.pausedUntil = w.clock.Elapsed() + w.duration(15*time.Second)
	}},
	{"daemon cut from the log", func(w *World) {
		d := w.someNode()
		w.during(20*time.Second, func() { d.cutFromLog = true }, func() { d.cutFromLog = false })
	}},
	{"daemon cut from log and peers", func(w *World) {
		d := w.someNode()
		w.during(30*time.Second, func() { d.cutFromLog, d.cutFromPeers = true, true }, func() { d.cutFromLog, d.cutFromPeers = false, false })
	}},
	{"engine restarted", func(w *World) { w.someEngine().restart() }},
	{"engine connections go silent", func(w *World) {
		e := w.someEngine()
		w.during(10*time.Second, func() { e.silent = true }, func() { e.silent = false })
	}},
	{"frames repeated and crossed", func(w *World) {
		e := w.someEngine()
		w.during(20*time.Second, func() { e.scramble = true }, func() { e.scramble = false })
	}},
	{"server leaves", func(w *World) {
		e := w.someEngine()
		w.leaving[e.id] = w.clock.Elapsed()
		w.event(invariant.Event{Kind: invariant.ServerLeaving, Server: fmt.Sprint("s", e.id)})
	}},
}
