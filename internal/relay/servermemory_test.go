package relay

import (
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Guards against large bodies that meet at one server and end it, and then another one.
func TestLargeBodiesAreSpreadAndBoundedAfterAnEnd(t *testing.T) {
	h := newHarness(t)
	large := requirements{service: "app", bodyBytes: 3 << 20, versions: anyVersionChoice()}
	perServer := map[string]int{}
	for range 6 {
		target, err := h.relay.State.pick(&large, 100)
		if err != nil {
			t.Fatal(err)
		}
		perServer[target.server.ID]++
	}
	var ended string
	for id, n := range perServer {
		ended = id
		if n != 2 {
			t.Fatalf("%d large bodies at one server of three, want 2", n)
		}
	}
	h.relay.recordBytesAtEnd(containment.IncarnationKey(ended))
	if _, err := h.relay.State.pick(&large, 100); err == nil || err.Kind != fault.Overloaded || err.ExecutionState() != fault.NotRun {
		t.Errorf("a body beyond the bound: %v", err)
	}
	small := large
	small.bodyBytes = 1 << 10
	h.relay.State.withService("app", func(sv *service) {
		for id := range perServer {
			sv.memory.Add(id, -3<<20, h.clock.now)
		}
	})
	if _, err := h.relay.State.pick(&small, 100); err != nil {
		t.Errorf("a small body: %v", err)
	}
}
