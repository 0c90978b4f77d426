package history

import (
	"fmt"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/invariant"
)

// Fault is a failure that is injected at a random time of a history.
type Fault struct {
	Name   string
	inject func(s *Simulation)
}

func (s *Simulation) randomDaemon() *daemon { return s.daemons[s.rng.IntN(daemonCount)] }
func (s *Simulation) randomEngine() *engine { return s.engines[s.rng.IntN(engineCount)] }

// injectTemporarily applies a fault and reverts it after 0.25 to 1.25 times baseDuration.
func (s *Simulation) injectTemporarily(baseDuration time.Duration, apply, revert func()) {
	apply()
	s.clock.After(baseDuration/4+s.randomDuration(baseDuration), revert)
}

// Faults lists all faults. Seeds of tests depend on the order.
var Faults = []Fault{
	{"log down", func(s *Simulation) {
		s.injectTemporarily(15*time.Second, func() { s.log.down = true }, func() { s.log.down = false })
	}},
	{"log slow", func(s *Simulation) {
		s.injectTemporarily(10*time.Second, func() { s.log.delay = 400 * time.Millisecond }, func() { s.log.delay = 0 })
	}},
	{"log appends after client timeouts", func(s *Simulation) {
		s.injectTemporarily(8*time.Second, func() { s.log.delay = 900 * time.Millisecond }, func() { s.log.delay = 0 })
	}},
	{"append responses lost", func(s *Simulation) {
		s.injectTemporarily(15*time.Second, func() { s.log.loseReplies = true }, func() { s.log.loseReplies = false })
	}},
	{"daemon killed and replaced", func(s *Simulation) {
		d := s.randomDaemon()
		d.alive = false
		s.recordEvent(invariant.Event{Kind: invariant.DaemonStopped, Daemon: fmt.Sprintf("d%d/%d", d.id, d.incarnation)})
		s.clock.After(s.randomDuration(5*time.Second), func() { d.reset(); d.start() })
	}},
	{"daemon paused", func(s *Simulation) {
		d := s.randomDaemon()
		d.pausedUntil = s.clock.Elapsed() + s.randomDuration(15*time.Second)
	}},
	{"daemon partitioned from log", func(s *Simulation) {
		d := s.randomDaemon()
		s.injectTemporarily(20*time.Second, func() { d.partitionedFromLog = true }, func() { d.partitionedFromLog = false })
	}},
	{"daemon partitioned from log and peers", func(s *Simulation) {
		d := s.randomDaemon()
		s.injectTemporarily(30*time.Second, func() { d.partitionedFromLog, d.partitionedFromPeers = true, true }, func() { d.partitionedFromLog, d.partitionedFromPeers = false, false })
	}},
	{"engine restarted", func(s *Simulation) { s.randomEngine().restart() }},
	{"engine connections stall", func(s *Simulation) {
		e := s.randomEngine()
		s.injectTemporarily(10*time.Second, func() { e.stalled = true }, func() { e.stalled = false })
	}},
	{"frames duplicated and reordered", func(s *Simulation) {
		e := s.randomEngine()
		s.injectTemporarily(20*time.Second, func() { e.scrambled = true }, func() { e.scrambled = false })
	}},
	{"server leaves", func(s *Simulation) {
		e := s.randomEngine()
		s.leavingSince[e.id] = s.clock.Elapsed()
		s.recordEvent(invariant.Event{Kind: invariant.ServerLeaving, Server: fmt.Sprint("s", e.id)})
	}},
}
