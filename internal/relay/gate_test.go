package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

var warmUp = slowstart.Limit{WarmupPeriod: 3 * time.Second, PerSecond: 15, BurstFactor: 1.5, BurstSlack: 5}

// gatedState has servers a in "east" and b in "west" and is the only daemon.
func gatedState(t *testing.T, warmAt time.Duration) (*State, *clock) {
	t.Helper()
	c := &clock{now: time.Minute}
	s := NewState("d1", "", c.read)
	s.SetSlowStartView(slowstart.View{Self: 1, Trusted: true})
	s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for id, domain := range map[string]string{"a": "east", "b": "west"} {
			_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: id}, Service: "s", Address: id, FailureDomain: domain, Slots: 4, WarmAt: warmAt})
		}
	})
	return s, c
}

func gatedWant() want { return want{service: "s", choice: everyVersionChoice(), limit: warmUp} }

// Guards against a way to a server past the gate: with another version preferred, after all
// were tried, and where every server is suspect.
func TestNoSecondChoiceLeadsToAnEvacuatedDomain(t *testing.T) {
	s, _ := gatedState(t, 0)
	s.Evacuate("east")
	for name, change := range map[string]func(w *want){
		"first send":    func(*want) {},
		"repeat":        func(w *want) { w.tried = []string{"b"} },
		"other version": func(w *want) { w.choice.Prefer = func(string) bool { return false } },
		"part":          func(w *want) { w.choice.Part = 0.1 },
		"ended servers": func(w *want) { w.standing.Crashes = 1; w.fingerprint = 7 },
		"all suspect": func(*want) {
			for _, id := range []string{"a", "b"} {
				s.unreachable(&target{service: "s", server: backend.Server{ID: id}})
			}
		},
	} {
		for range 20 {
			w := gatedWant()
			change(&w)
			got, err := s.pick(&w, 10)
			if err == nil && got.server.FailureDomain == "east" {
				t.Errorf("%s: sent to an evacuated domain", name)
			}
		}
	}
}

// Guards against refusals that do not say that all is evacuated.
func TestEvacuationOfTheLastDomainIsRefusedAtOnce(t *testing.T) {
	s, _ := gatedState(t, 0)
	s.Evacuate("east")
	s.Evacuate("west")
	w := gatedWant()
	if _, err := s.pick(&w, 10); err == nil || err.Kind != fault.Evacuated || err.ExecutionState() != fault.NotRun {
		t.Errorf("got %v", err)
	}
}

// Guards against sends to warming servers above their limit, and refusals without the time
// after which they are warm.
func TestWarmingServersGetTheirShareAndTheRestIsRefused(t *testing.T) {
	s, c := gatedState(t, time.Minute+2*time.Second)
	sent, refused := 0, 0
	for range 100 {
		w := gatedWant()
		_, err := s.pick(&w, 10)
		switch {
		case err == nil:
			sent++
		case err.Kind != fault.Warming || err.ExecutionState() != fault.NotRun || err.RetryAfter > 2*time.Second || err.RetryAfter <= 0:
			t.Fatalf("got %v after %s", err, err.RetryAfter)
		default:
			refused++
		}
		c.now += 10 * time.Millisecond
	}
	if most := 2 * warmUp.Bound() / 2; sent == 0 || sent > most || refused == 0 {
		t.Errorf("%d sent in a second to two servers, %d refused", sent, refused)
	}
	c.now = time.Minute + 2*time.Second
	for range 100 {
		w := gatedWant()
		if _, err := s.pick(&w, 10); err != nil {
			t.Fatalf("warm: %v", err)
		}
	}
}

// Guards against a held request that is sent, whatever else is known of it.
func TestHeldRequestPassesNoGate(t *testing.T) {
	s, _ := gatedState(t, 0)
	w := gatedWant()
	w.gated = gate.Request{Held: true}
	if _, err := s.pick(&w, 10); err == nil {
		t.Error("sent")
	}
}
