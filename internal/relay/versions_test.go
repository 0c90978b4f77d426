package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Guards against the use of a new version by a daemon that knows its servers and has not yet
// read its order, at any phase of other orders.
func TestNewVersionIsNotUsedBeforeItsOrderIsKnown(t *testing.T) {
	clock := &fakeClock{now: time.Minute}
	s := NewState("d1", "", clock.read)
	put := func(version string) {
		s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
			for i := range 3 {
				_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: fmt.Sprint(version, i)}, Service: "s", Address: fmt.Sprint(version, ":", i), Slots: 4, Version: version})
			}
		})
	}
	used := func() map[string]bool {
		versions := map[string]bool{}
		for range 100 {
			req := requirements{service: "s", versions: anyVersionChoice()}
			target, err := s.pick(&req, 10)
			if err != nil {
				t.Fatal(err)
			}
			versions[target.server.Version] = true
			s.recordSendEnd(target, 0, false)
		}
		return versions
	}
	remove := func(version string) {
		s.UpdateServers(func(r *backend.Registry, now time.Duration) {
			for i := range 3 {
				r.Remove(fmt.Sprint(version, i), now)
			}
		})
	}
	put("v1")
	used()
	clock.now += time.Second
	s.Confirm(freshness.Configuration, freshness.Confirmation{At: clock.now, Source: freshness.FromStore})
	clock.now += time.Second
	put("v2")
	if versions := used(); versions["v2"] {
		t.Error("new version used before the operator's records were confirmed")
	}
	clock.now += time.Second
	s.Confirm(freshness.Configuration, freshness.Confirmation{At: clock.now, Source: freshness.FromStore})
	if versions := used(); !versions["v1"] || !versions["v2"] {
		t.Errorf("versions used without an order: %v", versions)
	}
	remove("v2")
	used()
	clock.now += time.Second
	put("v2")
	if versions := used(); !versions["v2"] {
		t.Error("a known version is taken for new after its servers were away")
	}
}
