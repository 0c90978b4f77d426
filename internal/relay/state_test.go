package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
)

// clock is a boot clock that the test moves.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func everyVersionChoice() Choice { return Choice{Prefer: everyVersion, Else: everyVersion} }

// Symptom: a server that left without a word got requests for more than three
// seconds after its entry was gone.
// Sequence: the store is away for one daemon; a server leaves and its entry is
// removed; the store answers again, and the removal is read within the window in
// which lapsed entries may return; no further record of a server comes.
// Cause: the end of the window was noticed with the next record only.
func TestLapsedServerIsGoneAtTheEndOfTheWindow(t *testing.T) {
	c := &clock{now: time.Minute}
	s := NewState("d1", c.read)
	s.Servers(func(r *backend.Registry, _ time.Duration) {
		r.Put(backend.Server{ID: "a", Service: "s", Address: "10.0.0.1:80", Slots: 4})
	})
	s.Healed()
	s.Servers(func(r *backend.Registry, now time.Duration) { r.Remove("a", now) })
	w := want{service: "s", choice: everyVersionChoice()}
	if _, err := s.pick(&w, 10); err != nil {
		t.Fatalf("a server whose entry lapsed in an outage was taken as gone at once: %v", err)
	}
	c.now += 2400 * time.Millisecond
	if _, err := s.pick(&w, 10); err == nil {
		t.Fatal("a lapsed server that did not come back was chosen")
	}
}

// Symptom: after an outage of the store, a service had no server for seconds.
// Sequence: the store is away; servers cannot renew their entries; it returns and
// drops them all; they write them again within two seconds.
// Cause: removals were taken at their word.
func TestServersThatComeBackAfterAnOutageStay(t *testing.T) {
	c := &clock{now: time.Minute}
	s := NewState("d1", c.read)
	put := func(r *backend.Registry, _ time.Duration) {
		r.Put(backend.Server{ID: "a", Service: "s", Address: "10.0.0.1:80", Slots: 4})
	}
	s.Servers(put)
	s.Healed()
	s.Servers(func(r *backend.Registry, now time.Duration) { r.Remove("a", now) })
	c.now += time.Second
	s.Servers(put)
	c.now += time.Hour
	w := want{service: "s", choice: everyVersionChoice()}
	if _, err := s.pick(&w, 10); err != nil {
		t.Fatalf("the server came back: %v", err)
	}
}
