package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// rankedHarness is a harness whose workspace has a priority of its own.
func rankedHarness(t *testing.T, own int, script ...func(BackendRequest) (*BackendResponse, error)) *harness {
	t.Helper()
	h := newHarness(t, script...)
	service := route.Service{Name: "lm", MaxConnections: 100, Engine: &route.Engine{Slots: 8}}
	var routes []route.Route
	for priority, prefix := range []string{"/s/", "/other/"} {
		routes = append(routes, route.Route{
			Host: "h", PathPrefix: prefix, Kind: route.Stream, Resumable: true, MaxAttempts: 3, Timeout: 5 * time.Minute, LatencyTarget: time.Minute,
			Priority: priority, Models: []string{"small"}, Backends: []route.Backend{{Service: "lm", Weight: 1}},
		})
	}
	table, err := route.NewTable(route.Document{
		Version: 2, KeyRequired: true, Services: []route.Service{service}, Routes: routes,
		Keys: map[string]route.Workspace{"k": {Name: "w", Priority: own, HasPriority: true}},
	})
	if err != nil {
		t.Fatal(err)
	}
	h.relay.State.SetTable(table)
	return h
}

// Guards against decisions that take the priority of the route for that of a workspace with its own.
func TestWorkspacePriorityPrecedesRoutePriority(t *testing.T) {
	for own, want := range map[int]int{0: 2, 1: 7, 3: 7} {
		h := rankedHarness(t, own, respondStream(90, nil, 1))
		h.call("/s/1")
		if got := h.backend.sends[0].Priority; got != want {
			t.Errorf("priority %d: sent with %d, want %d", own, got, want)
		}
		x, refusal := h.relay.admit(&Call{ID: "1", Host: "h", Path: "/s/1", Key: "k", Received: time.Now()}, time.Time{})
		if refusal != nil {
			t.Fatal(refusal)
		}
		if got := x.requirements("small").urgent; got != (own == 0) {
			t.Errorf("priority %d: urgent is %t", own, got)
		}
	}
}

// Guards against a request that lost its server and waits behind others of its rank.
func TestResentRequestIsRaised(t *testing.T) {
	h := rankedHarness(t, 1, failSend(upstream.ConnectionLost, true), respondStream(90, nil, 1))
	h.call("/s/1")
	if first, second := h.backend.sends[0].Priority, h.backend.sends[1].Priority; first != 7 || second != 5 {
		t.Errorf("sent with %d, then %d", first, second)
	}
}

// Guards against requests that start anew towards their target when another daemon serves them.
func TestForwardedRequestKeepsItsAge(t *testing.T) {
	h := rankedHarness(t, 1, respondStream(90, nil, 1))
	for elapsed, want := range map[int64]int{-5: 7, 0: 7, 60_000: 5, 1 << 62: 5} {
		call := Call{ID: "1", Host: "h", Path: "/s/x", Target: "/s/x", Key: "k", LastEvent: NoEvent}
		forwarded := ForwardedCall{Call: call, RemainingMillis: 60_000, MaxRuns: 1, ConfigVersion: 2, ElapsedMillis: elapsed}
		h.relay.ServeForwarded(t.Context(), "d1", forwarded, func(f ForwardFrame) error {
			if f.Refusal != nil {
				t.Errorf("elapsed %d ms: refused: %v", elapsed, fault.Kind(f.Refusal.Kind))
			}
			return nil
		})
		if got := h.backend.sends[len(h.backend.sends)-1].Priority; got != want {
			t.Errorf("elapsed %d ms: sent with %d, want %d", elapsed, got, want)
		}
	}
}

// Guards against requests with little time that leave the emptiest engine to others, and patient ones
// that take it while engines differ.
func TestPatientRequestLeavesEmptiestEngine(t *testing.T) {
	s := engineState("d1", 2)
	req := requirements{
		service: "lm", engine: &route.Engine{Slots: 32}, prompt: Prompt{Tokens: 100, Parts: []PromptPart{{ID: 1, Tokens: 100}}},
		versions: anyVersionChoice(), ranks: urgency.NewRanks([]int{0, 1}),
	}
	patience := func(rank int) time.Duration {
		req.urgency = urgency.Request{Rank: rank, Target: 4 * time.Second, Timeout: 10 * time.Second}
		sel := s.selectServer(&req, time.Now())
		return sel.request.Patience
	}
	if p := patience(1); p != 0 {
		t.Errorf("idle engines: patience %s", p)
	}
	s.withService("lm", func(sv *service) {
		sv.tracker.AddPendingPrefill(sv.tracker.Snapshot(nil, time.Now())[0].ID, 20_000) // 200 ms
	})
	if p := patience(1); p != 100*time.Millisecond {
		t.Errorf("mean backlog of 100 ms: patience %s", p)
	}
	if p := patience(0); p != 0 {
		t.Errorf("first rank: patience %s", p)
	}
}
