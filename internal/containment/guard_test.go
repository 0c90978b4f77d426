package containment

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// fixture is a guard with what it asked and sent.
type fixture struct {
	*Guard
	refuses    bool
	probes     atomic.Int64
	terminated []quarantine.IncarnationKey
	broadcasts int
}

func newFixture() *fixture {
	p := &fixture{}
	began := time.Now()
	p.Guard = New(Options{
		BootTime: func() time.Duration { return time.Since(began) }, Logger: log.New(io.Discard),
		RefusesConnections: func(context.Context, Server) bool { p.probes.Add(1); time.Sleep(time.Millisecond); return p.refuses },
		Leaving:            func(Server) bool { return false }, OnTerminated: func(r quarantine.IncarnationKey) { p.terminated = append(p.terminated, r) },
		ServersTerminated: tally.NoopScope.Counter("e"), RequestsHeld: tally.NoopScope.Gauge("h"),
	})
	return p
}

// Guards against this failure: a server that was back after two seconds got nothing for 24.
func TestRepeatedCrashReportsAreDeduplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture()
		go p.Broadcast(t.Context(), time.Millisecond, func(context.Context) { p.broadcasts++ })
		word := quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: IncarnationKey("e"), Suspects: []quarantine.Fingerprint{1}}}}
		for range 20 {
			p.Merge(word)
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		if len(p.terminated) != 1 || p.broadcasts != 1 {
			t.Errorf("%d times lost, told on %d times", len(p.terminated), p.broadcasts)
		}
		time.Sleep(2 * quarantine.CrashDedupWindow)
		p.Merge(quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: IncarnationKey("e"), Suspects: []quarantine.Fingerprint{1}}}})
		if len(p.terminated) != 2 {
			t.Errorf("a later end is lost %d times", len(p.terminated))
		}
	})
}

// All that was at a server asks once whether it has ended, and waits for the answer.
func TestServerProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture()
		p.refuses = true
		s := Server{ID: "e", Address: "a"}
		var runs []*Attempt
		for f := range quarantine.Fingerprint(30) {
			runs = append(runs, p.Begin(s, f, func(error) {}))
		}
		for _, u := range runs {
			go p.End(t.Context(), u, s, ConnectionLost)
		}
		time.Sleep(10 * time.Millisecond)
		if p.probes.Load() != 1 || p.Check(29).Crashes != 1 {
			t.Errorf("asked %d times, %+v", p.probes.Load(), p.Check(29))
		}
	})
}

// Guards against this failure: a daemon closed callers' connections without an answer, and
// its log had a panic.
func TestPruningKeepsRunningAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture()
		s, other := Server{ID: "e", Address: "a"}, Server{ID: "f", Address: "b"}
		p.Begin(s, 2, func(error) {})
		p.End(t.Context(), p.Begin(s, 1, func(error) {}), s, Completed)
		for range 4 {
			time.Sleep(attemptRetention + time.Second)
			p.End(t.Context(), p.Begin(other, 3, func(error) {}), other, Completed)
		}
		if list := p.attempts.suspects(s.ID, 0); len(list) != 1 || list[0].fingerprint != 2 {
			t.Errorf("%d requests are known at the server", len(list))
		}
	})
}
