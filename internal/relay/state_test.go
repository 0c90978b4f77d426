package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// fakeClock is a boot clock that the test advances.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) read() time.Duration { return c.now }

func anyVersionChoice() VersionChoice {
	return VersionChoice{Preferred: anyVersion, Fallback: anyVersion}
}

// Guards against keeping a lapsed server until the next record: its grace period ends
// without one.
func TestLapsedServerIsDroppedAtExpiry(t *testing.T) {
	clock := &fakeClock{now: time.Minute}
	s := NewState("d1", "", clock.read)
	s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "a"}, Service: "s", Address: "10.0.0.1:80", Slots: 4})
	})
	s.StoreRecovered()
	s.UpdateServers(func(r *backend.Registry, now time.Duration) { r.Remove("a", now) })
	req := requirements{service: "s", versions: anyVersionChoice()}
	if _, err := s.pick(&req, 10); err != nil {
		t.Fatalf("server that lapsed in an outage was dropped at once: %v", err)
	}
	clock.now += 2400 * time.Millisecond
	if _, err := s.pick(&req, 10); err == nil {
		t.Fatal("picked a lapsed server")
	}
}

// Guards against dropping all servers whose entries expired during an outage of the store,
// before they can register again.
func TestServersReregisteredAfterOutageAreKept(t *testing.T) {
	clock := &fakeClock{now: time.Minute}
	s := NewState("d1", "", clock.read)
	put := func(r *backend.Registry, _ time.Duration) {
		_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "a"}, Service: "s", Address: "10.0.0.1:80", Slots: 4})
	}
	s.UpdateServers(put)
	s.StoreRecovered()
	s.UpdateServers(func(r *backend.Registry, now time.Duration) { r.Remove("a", now) })
	clock.now += time.Second
	s.UpdateServers(put)
	clock.now += time.Hour
	req := requirements{service: "s", versions: anyVersionChoice()}
	if _, err := s.pick(&req, 10); err != nil {
		t.Fatalf("reregistered server was dropped: %v", err)
	}
}

// Guards against applying reports about an earlier run of an engine to its new run: it has
// an empty cache and none of that load.
func TestReportsAboutEarlierRunAreIgnored(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	s := h.relay.State
	put := func(born int64) {
		s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
			_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "e0", StartMillis: born}, Service: "lm", Address: "10.0.0.0:1", Slots: 8, Version: "v1"})
		})
	}
	applied := func() (n int) {
		s.withService("lm", func(sv *service) {
			r := routing.Request{Blocks: []uint64{7}, BlockEnds: []int{50}}
			for _, c := range sv.tracker.Snapshot(nil, time.Now()) {
				if c.InFlight > 0 || c.OthersInFlight > 0 {
					n++
				}
			}
			sv.tracker.Prefix.Lookup(&r)
			for _, blocks := range r.CachedBlocks {
				if blocks > 0 {
					n++
				}
			}
		})
		return n
	}
	s.withService("lm", func(*service) {}) // creates the state of the service
	put(100)
	earlier := backend.Incarnation{Name: "e0", StartMillis: 100}.ID()
	report := func(id string) {
		s.ApplyPlacements([]Placement{{Server: ServerKeyOf(id), Blocks: []uint64{7}}})
		s.AddPeerWork([]ServerWork{{Server: ServerKeyOf(id), InFlight: 3}})
	}
	report(earlier)
	if applied() != 2 {
		t.Fatalf("%d of 2 reports about the current run were applied", applied())
	}
	put(200)
	if applied() != 0 {
		t.Error("the new run inherits state of the earlier one")
	}
	report(earlier)
	if applied() != 0 {
		t.Error("late reports about the earlier run were applied to the new one")
	}
}
