package relay

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// fetchState is a daemon with three engines, of which the first, e0, holds the shared parts of the
// prompts of fetchRequirements and is busy.
type fetchState struct {
	*State
	clock *fakeClock
}

func newFetchState(t *testing.T) fetchState {
	t.Helper()
	f := fetchState{clock: &fakeClock{now: time.Minute}}
	f.State = NewState("d1", "", f.clock.read)
	for i := range 3 {
		f.put(t, engineEntry(i))
	}
	req := fetchRequirements()
	hashes, _ := prefixHashes(req.model, req.prompt.Parts)
	f.withService("lm", func(sv *service) {
		sv.tracker.RecordCachedBlocks("e0", hashes[:2])
		sv.tracker.AddPendingPrefill("e0", 1e6)
	})
	return f
}

func engineEntry(i int) backend.Server {
	return backend.Server{Incarnation: backend.Incarnation{Name: fmt.Sprint("e", i)}, Service: "lm", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 32, Version: "v1"}
}

func (f fetchState) put(t *testing.T, b backend.Server) {
	t.Helper()
	f.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		if _, err := r.Put(b); err != nil {
			t.Fatal(err)
		}
	})
}

func fetchRequirements() *requirements {
	e := &route.Engine{Slots: 32, KVTokenBytes: 327_680, KVLinkMbps: 550_000, CostPerKiloToken: map[string]float64{"small": 1, "large": 16}}
	prompt := Prompt{Tokens: 9000, Parts: []PromptPart{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 3700}, {ID: 3, Tokens: 2800}}}
	return &requirements{service: "lm", engine: e, model: "large", prompt: prompt, remainingTime: 30 * time.Second, versions: anyVersionChoice()}
}

// Guards against fetching from a server that must not be used, and for a request that must not.
func TestFetchIsOnlyFromUsableServers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(f fetchState, req *requirements)
		want   bool
	}{
		{"busy home", func(fetchState, *requirements) {}, true},
		{"plain service", func(_ fetchState, req *requirements) { req.engine, req.model = nil, "" }, false},
		{"engines without links", func(_ fetchState, req *requirements) { req.engine.KVLinkMbps = 0 }, false},
		{"slow links", func(_ fetchState, req *requirements) { req.engine.KVLinkMbps /= 20 }, false},
		{"another model", func(_ fetchState, req *requirements) { req.model = "small" }, false},
		{"resent request", func(_ fetchState, req *requirements) { req.resent = true }, false},
		{"suspect request", func(_ fetchState, req *requirements) {
			req.quarantineStatus = quarantine.Status{Suspect: 7, Crashes: 1}
		}, false},
		{"lender of another version", func(f fetchState, _ *requirements) {
			b := engineEntry(0)
			b.Version = "v2"
			f.put(t, b)
		}, false},
		{"lender leaves", func(f fetchState, _ *requirements) {
			b := engineEntry(0)
			b.Leaving = true
			f.put(t, b)
		}, false},
		{"lender warms up", func(f fetchState, _ *requirements) {
			b := engineEntry(0)
			b.WarmAt = f.clock.now + time.Second
			f.put(t, b)
		}, false},
		{"lender restarted under its name", func(f fetchState, _ *requirements) {
			b := engineEntry(0)
			b.Incarnation.StartMillis = 1000
			f.put(t, b)
		}, false},
		{"lender unreachable", func(f fetchState, _ *requirements) {
			f.recordUnreachable(&target{server: backend.Server{ID: "e0"}, service: "lm"})
		}, false},
		{"lender terminated", func(f fetchState, _ *requirements) { f.gate.ServerTerminated("e0", f.clock.now) }, false},
		{"lender wants a pause", func(f fetchState, _ *requirements) {
			pause := serverstatus.Pause{Kind: serverstatus.Stated, Duration: 5 * time.Second}
			f.gate.Observe(gate.Response{ServerID: "e0", ServerName: "e0", Statements: serverstatus.Statements{Pause: pause}, SentAt: f.clock.now}, f.clock.now)
		}, false},
		{"lender in an evacuated failure domain", func(f fetchState, _ *requirements) {
			b := engineEntry(0)
			b.FailureDomain = "z"
			f.put(t, b)
			f.Evacuate("z")
		}, false},
	} {
		f, req := newFetchState(t), fetchRequirements()
		tt.change(f, req)
		got, err := f.pick(req, 1000)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if got.fetch.used() != tt.want || got.server.ID == "e0" {
			t.Errorf("%s: sent to %s, fetch %+v", tt.name, got.server.ID, got.fetch)
		}
	}
}

// Guards against a fetched prompt that counts as if it were prefilled, and one that is not known to
// be at its new place.
func TestFetchedPartsAreNotPrefilledAgain(t *testing.T) {
	f, req := newFetchState(t), fetchRequirements()
	got, err := f.pick(req, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if got.fetch.address != "10.0.0.0:1" || got.fetch.tokens != 6200 || got.uncached > 9000-got.fetch.tokens/2 || got.pendingPrefill != float64(got.uncached)*prefillScaleOf(f, req) {
		t.Errorf("got %+v", got)
	}
	placed := f.DrainPlacements()
	if len(placed) != 1 || placed[0].Server != ServerKeyOf(got.server.ID) || len(placed[0].Blocks) != 2 {
		t.Errorf("placements %+v", placed)
	}
}

func prefillScaleOf(f fetchState, req *requirements) (scale float64) {
	f.withService("lm", func(sv *service) { scale = sv.models.get(req.model, req.engine).prefillScale() })
	return scale
}

// newFetchHarness is a harness whose first engine holds the shared part of the calls' prompts.
func newFetchHarness(t *testing.T, script ...func(BackendRequest) (*BackendResponse, error)) (*harness, *Call) {
	t.Helper()
	h := newHarness(t, script...)
	table := h.relay.State.Table()
	table.Services["lm"].Engine.KVTokenBytes, table.Services["lm"].Engine.KVLinkMbps = 327_680, 5_500_000
	call := &Call{ID: "id1", Host: "h", Method: "POST", Target: "/s/x", Path: "/s/x", Key: "k", Model: AnyModel, LastEvent: NoEvent, Received: time.Now()}
	call.Prompt = Prompt{Tokens: 20_000, MaxCompletionTokens: 20, Parts: []PromptPart{{1, 19_000}, {2, 1000}}}
	h.relay.State.withService("lm", func(sv *service) {
		for _, model := range []string{"small", "middle", "large"} {
			hashes, _ := prefixHashes(model, call.Prompt.Parts)
			sv.tracker.RecordCachedBlocks("e0", hashes[:1])
		}
		sv.tracker.AddPendingPrefill("e0", 1e6)
	})
	return h, call
}

// Guards against a second fetch for a request whose first send with one has failed.
func TestResentRequestFetchesNothing(t *testing.T) {
	for name, failure := range map[string]func(BackendRequest) (*BackendResponse, error){
		"lost": failSend(upstream.ConnectionLost, true), "unreachable": failSend(upstream.Unreachable, false), "rejected": respondNotRun,
		"interrupted": respondStream(90, errors.New("reset"), 1),
	} {
		h, call := newFetchHarness(t, failure, respondStream(90, nil, 1, 2))
		out := &fakeResponseWriter{}
		h.serve(call, out)
		sends := h.backend.sends
		if out.body.String() != events(1, 2) || len(sends) != 2 || sends[0].FetchFrom != "10.0.0.0:1" || sends[0].Server.ID == "e0" || sends[1].FetchFrom != "" {
			t.Errorf("%s: %d sends, first to %s from %q: %q", name, len(sends), sends[0].Server.ID, sends[0].FetchFrom, out.body.String())
		}
	}
}

func TestPlainServicesFetchNothing(t *testing.T) {
	h, _ := newFetchHarness(t, respond(200, "paid"))
	if h.call("/p/1"); len(h.backend.sends) != 1 || h.backend.sends[0].FetchFrom != "" {
		t.Fatalf("sends %+v", h.backend.sends)
	}
}
