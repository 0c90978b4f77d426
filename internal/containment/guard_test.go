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

// play is a guard with what it asked and sent.
type play struct {
	*Guard
	refuses bool
	asked   atomic.Int64
	lost    []quarantine.IncarnationKey
	spread  int
}

func newPlay() *play {
	p := &play{}
	began := time.Now()
	p.Guard = New(Options{
		BootTime: func() time.Duration { return time.Since(began) }, Logger: log.New(io.Discard),
		RefusesConnections: func(context.Context, Server) bool { p.asked.Add(1); time.Sleep(time.Millisecond); return p.refuses },
		Leaving:            func(Server) bool { return false }, OnTerminated: func(r quarantine.IncarnationKey) { p.lost = append(p.lost, r) },
		ServersTerminated: tally.NoopScope.Counter("e"), RequestsHeld: tally.NoopScope.Gauge("h"),
	})
	return p
}

// Guards against this failure: a server that was back after two seconds got nothing for 24.
func TestEndThatIsToldAgainIsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay()
		go p.Broadcast(t.Context(), time.Millisecond, func(context.Context) { p.spread++ })
		word := quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: IncarnationKey("e"), Suspects: []quarantine.Fingerprint{1}}}}
		for range 20 {
			p.Merge(word)
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		if len(p.lost) != 1 || p.spread != 1 {
			t.Errorf("%d times lost, told on %d times", len(p.lost), p.spread)
		}
		time.Sleep(2 * quarantine.CrashDedupWindow)
		p.Merge(quarantine.Update{Crashes: []quarantine.Crash{{Incarnation: IncarnationKey("e"), Suspects: []quarantine.Fingerprint{1}}}})
		if len(p.lost) != 2 {
			t.Errorf("a later end is lost %d times", len(p.lost))
		}
	})
}

// All that was at a server asks once whether it has ended, and waits for the answer.
func TestServerIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay()
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
		if p.asked.Load() != 1 || p.Check(29).Crashes != 1 {
			t.Errorf("asked %d times, %+v", p.asked.Load(), p.Check(29))
		}
	})
}

// Guards against this failure: a daemon closed callers' connections without an answer, and
// its log had a panic.
func TestLongStreamOutlastsWhatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay()
		s, other := Server{ID: "e", Address: "a"}, Server{ID: "f", Address: "b"}
		p.Begin(s, 2, func(error) {})
		p.End(t.Context(), p.Begin(s, 1, func(error) {}), s, Completed)
		for range 4 {
			time.Sleep(runsKept + time.Second)
			p.End(t.Context(), p.Begin(other, 3, func(error) {}), other, Completed)
		}
		if list := p.runs.suspects(s.ID, 0); len(list) != 1 || list[0].fingerprint != 2 {
			t.Errorf("%d requests are known at the server", len(list))
		}
	})
}
