package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/routing"
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
	s := NewState("d1", "", c.read)
	s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "a"}, Service: "s", Address: "10.0.0.1:80", Slots: 4})
	})
	s.StoreRecovered()
	s.UpdateServers(func(r *backend.Registry, now time.Duration) { r.Remove("a", now) })
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
	s := NewState("d1", "", c.read)
	put := func(r *backend.Registry, _ time.Duration) {
		_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "a"}, Service: "s", Address: "10.0.0.1:80", Slots: 4})
	}
	s.UpdateServers(put)
	s.StoreRecovered()
	s.UpdateServers(func(r *backend.Registry, now time.Duration) { r.Remove("a", now) })
	c.now += time.Second
	s.UpdateServers(put)
	c.now += time.Hour
	w := want{service: "s", choice: everyVersionChoice()}
	if _, err := s.pick(&w, 10); err != nil {
		t.Fatalf("the server came back: %v", err)
	}
}

// Symptom: prompts went to an engine that had forgotten them, and its load was counted
// twice.
// Sequence: an engine starts again under its id. Another daemon, which does not know yet,
// tells what it had placed there and what it had running.
// Cause: what was known and told went by the id alone.
func TestWordOfAnEarlierRunFindsNobody(t *testing.T) {
	w := newWorld(t, answering(200, ""))
	s := w.relay.State
	put := func(born int64) {
		s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
			_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "e0", StartMillis: born}, Service: "lm", Address: "10.0.0.0:1", Slots: 8, Version: "v1"})
		})
	}
	held := func() (n int) {
		s.with("lm", func(sv *service) {
			r := routing.Request{Blocks: []uint64{7}, BlockEnds: []int{50}}
			for _, c := range sv.picture.Snapshot(nil, time.Now()) {
				if c.InFlight > 0 || c.OthersInFlight > 0 {
					n++
				}
			}
			sv.picture.Prefix.Lookup(&r)
			for _, blocks := range r.CachedBlocks {
				if blocks > 0 {
					n++
				}
			}
		})
		return n
	}
	s.with("lm", func(*service) {}) // somebody has asked for the service
	put(100)
	before := backend.Incarnation{Name: "e0", StartMillis: 100}.ID()
	tell := func(id string) {
		s.ApplyPlacements([]Placement{{Server: ServerKeyOf(id), Blocks: []uint64{7}}})
		s.AddPeerWork([]ServerWork{{Server: ServerKeyOf(id), InFlight: 3}})
	}
	tell(before)
	if held() != 2 {
		t.Fatalf("of a run that lives %d of two are known", held())
	}
	put(200)
	if held() != 0 {
		t.Error("the new run begins with what the earlier one held")
	}
	tell(before)
	if held() != 0 {
		t.Error("late word of the earlier run counts for the new one")
	}
}
