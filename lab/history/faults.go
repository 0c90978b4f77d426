package history

import (
	"fmt"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/invariant"
)

// Fault is something that goes wrong at a random time of a history.
type Fault struct {
	Name   string
	inject func(w *Simulation)
}

func (s *Simulation) randomNode() *node     { return s.daemons[s.rng.IntN(daemonCount)] }
func (s *Simulation) randomEngine() *engine { return s.engines[s.rng.IntN(engineCount)] }

// injectTemporarily sets something and takes it back after a random time.
func (s *Simulation) injectTemporarily(maxDuration time.Duration, apply, revert func()) {
	apply()
	s.clock.After(maxDuration/4+s.randomDuration(maxDuration), revert)
}

// Faults are all faults, in a fixed order.
var Faults = []Fault{
	{"log down", func(w *Simulation) {
		w.injectTemporarily(15*time.Second, func() { w.log.down = true }, func() { w.log.down = false })
	}},
	{"log slow", func(w *Simulation) {
		w.injectTemporarily(10*time.Second, func() { w.log.delay = 400 * time.Millisecond }, func() { w.log.delay = 0 })
	}},
	{"log acts after its callers gave up", func(w *Simulation) {
		w.injectTemporarily(8*time.Second, func() { w.log.delay = 900 * time.Millisecond }, func() { w.log.delay = 0 })
	}},
	{"append replies lost", func(w *Simulation) {
		w.injectTemporarily(15*time.Second, func() { w.log.loseReplies = true }, func() { w.log.loseReplies = false })
	}},
	{"daemon killed and replaced", func(w *Simulation) {
		d := w.randomNode()
		d.alive = false
		w.recordEvent(invariant.Event{Kind: invariant.DaemonGone, Daemon: fmt.Sprintf("d%d/%d", d.id, d.incarnation)})
		w.clock.After(w.randomDuration(5*time.Second), func() { d.reset(); d.start() })
	}},
	{"daemon paused", func(w *Simulation) {
		d := w.randomNode()
		d.pausedUntil = w.clock.Elapsed() + w.randomDuration(15*time.Second)
	}},
	{"daemon cut from the log", func(w *Simulation) {
		d := w.randomNode()
		w.injectTemporarily(20*time.Second, func() { d.cutFromLog = true }, func() { d.cutFromLog = false })
	}},
	{"daemon cut from log and peers", func(w *Simulation) {
		d := w.randomNode()
		w.injectTemporarily(30*time.Second, func() { d.cutFromLog, d.cutFromPeers = true, true }, func() { d.cutFromLog, d.cutFromPeers = false, false })
	}},
	{"engine restarted", func(w *Simulation) { w.randomEngine().restart() }},
	{"engine connections go silent", func(w *Simulation) {
		e := w.randomEngine()
		w.injectTemporarily(10*time.Second, func() { e.stalled = true }, func() { e.stalled = false })
	}},
	{"frames repeated and crossed", func(w *Simulation) {
		e := w.randomEngine()
		w.injectTemporarily(20*time.Second, func() { e.scrambled = true }, func() { e.scrambled = false })
	}},
	{"server leaves", func(w *Simulation) {
		e := w.randomEngine()
		w.leavingSince[e.id] = w.clock.Elapsed()
		w.recordEvent(invariant.Event{Kind: invariant.ServerLeft, Server: fmt.Sprint("s", e.id)})
	}},
}
