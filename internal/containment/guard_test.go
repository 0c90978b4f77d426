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

// fixture is a guard with recorded probes, terminations and broadcasts.
type fixture struct {
	*Guard
	refuses    bool
	probes     atomic.Int64
	terminated []quarantine.IncarnationKey
	broadcasts int
}

func newFixture() *fixture {
	fx := &fixture{}
	began := time.Now()
	fx.Guard = New(Options{
		BootTime: func() time.Duration { return time.Since(began) }, Logger: log.New(io.Discard),
		HasTerminated: func(context.Context, Server) bool { fx.probes.Add(1); time.Sleep(time.Millisecond); return fx.refuses },
		Leaving:       func(Server) bool { return false }, OnTerminated: func(key quarantine.IncarnationKey) { fx.terminated = append(fx.terminated, key) },
		ServersTerminated: tally.NoopScope.Counter("e"), RequestsHeld: tally.NoopScope.Gauge("h"),
	})
	return fx
}

// Repeated reports of one crash must not keep a restarted server marked as terminated.
func TestRepeatedCrashReportsAreDeduplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		go fx.Broadcast(t.Context(), time.Millisecond, func(context.Context) { fx.broadcasts++ })
		update := quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: IncarnationKey("e"), Suspects: []quarantine.Fingerprint{1}}}}
		for range 20 {
			fx.Merge(update)
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		if len(fx.terminated) != 1 || fx.broadcasts != 1 {
			t.Errorf("%d terminations, %d broadcasts", len(fx.terminated), fx.broadcasts)
		}
		time.Sleep(2 * quarantine.CrashDedupWindow)
		fx.Merge(quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: IncarnationKey("e"), Suspects: []quarantine.Fingerprint{1}}}})
		if len(fx.terminated) != 2 {
			t.Errorf("%d terminations after a later crash", len(fx.terminated))
		}
	})
}

// Concurrent sends that lose their connection share one probe and wait for its result.
func TestServerProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		fx.refuses = true
		s := Server{ID: "e", Address: "a"}
		var sends []*Attempt
		for f := range quarantine.Fingerprint(30) {
			sends = append(sends, fx.Begin(s, quarantine.Identity{Request: f}, func(error) {}))
		}
		for _, a := range sends {
			go fx.End(t.Context(), a, s, ConnectionLost)
		}
		time.Sleep(10 * time.Millisecond)
		if fx.probes.Load() != 1 || fx.Check(quarantine.Identity{Request: 29}).Crashes != 1 {
			t.Errorf("%d probes, status %+v", fx.probes.Load(), fx.Check(quarantine.Identity{Request: 29}))
		}
	})
}

// Guards against dropping attempts that are still running when idle servers are pruned.
func TestPruningKeepsRunningAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		s, other := Server{ID: "e", Address: "a"}, Server{ID: "f", Address: "b"}
		fx.Begin(s, quarantine.Identity{Request: 2}, func(error) {})
		fx.End(t.Context(), fx.Begin(s, quarantine.Identity{Request: 1}, func(error) {}), s, Completed)
		for range 4 {
			time.Sleep(attemptRetention + time.Second)
			fx.End(t.Context(), fx.Begin(other, quarantine.Identity{Request: 3}, func(error) {}), other, Completed)
		}
		if list := fx.attempts.suspects(s.ID, 0); len(list) != 1 || list[0].identity.Request != 2 {
			t.Errorf("%d suspects at the server", len(list))
		}
	})
}

// Guards against a send that does not know of a crash because it goes on between the probe of the
// server and the record of its crash.
func TestCrashIsRecordedBeforeItsSendEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		fx.refuses = true
		fx.opts.OnTerminated = func(quarantine.IncarnationKey) { time.Sleep(probeWait / 2) }
		s := Server{ID: "e", Address: "a"}
		attempt := fx.Begin(s, quarantine.Identity{Request: 1}, func(error) {})
		fx.End(t.Context(), attempt, s, ConnectionLost)
		if crashes := fx.Check(quarantine.Identity{Request: 1}).Crashes; crashes != 1 {
			t.Errorf("%d crashes known when the send ends, want 1", crashes)
		}
	})
}

// Guards against suspecting a request of a crash that a peer reports and that was before it was sent.
func TestRequestSentAfterCrashIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture()
		s := Server{ID: "e", Address: "a"}
		const before, after = 2, 3
		fx.Begin(s, quarantine.Identity{Request: before}, func(error) {})
		time.Sleep(300 * time.Millisecond)
		fx.Begin(s, quarantine.Identity{Request: after}, func(error) {})
		time.Sleep(time.Millisecond)
		fx.Merge(quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: IncarnationKey(s.ID), AgeMs: 200, Suspects: []quarantine.Fingerprint{1}}}})
		for f, want := range map[quarantine.Fingerprint]int{before: 1, after: 0} {
			if crashes := fx.status(f).Crashes; crashes != want {
				t.Errorf("request %s is suspected of %d crashes, want %d", f, crashes, want)
			}
		}
	})
}
