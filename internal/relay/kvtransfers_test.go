package relay

import (
	"errors"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// newFetchHarness is a harness whose engine e0 is busy and holds the shared part of a call's prompt.
func newFetchHarness(t *testing.T, script ...func(BackendRequest) (*BackendResponse, error)) (*harness, *Call) {
	t.Helper()
	h := newHarness(t, script...)
	engine := h.relay.State.Table().Services["lm"].Engine
	engine.KVTokenBytes, engine.KVLinkMbps = 327_680, 5_500_000
	call := &Call{ID: "id1", Host: "h", Method: "POST", Target: "/s/x", Path: "/s/x", Key: "k", Model: AnyModel, LastEvent: NoEvent, Received: time.Now()}
	call.Prompt = Prompt{Tokens: 20_000, MaxCompletionTokens: 20, Parts: []PromptPart{{1, 19_000}, {2, 1000}}}
	h.relay.State.withService("lm", func(sv *service) {
		hashes, _ := prefixHashes("small", call.Prompt.Parts)
		sv.tracker.RecordCachedBlocks("e0", hashes[:1])
		sv.tracker.AddPendingPrefill("e0", 1e6)
	})
	return h, call
}

// lender is the server from which the calls of a newFetchHarness fetch.
var lender = backend.Server{ID: "e0", Incarnation: backend.Incarnation{Name: "e0"}, Service: "lm", Address: "10.0.0.0:1", Slots: 8, Version: "v1"}

// Guards against fetching from a server that must not be used, and for a request that must not.
func TestFetchIsOnlyFromUsableServers(t *testing.T) {
	entry := func(change func(h *harness, b *backend.Server)) func(*harness, *requirements) {
		return func(h *harness, _ *requirements) {
			b := lender
			change(h, &b)
			h.relay.State.UpdateServers(func(r *backend.Registry, _ time.Duration) { _, _ = r.Put(b) })
		}
	}
	pause := serverstatus.Statements{Pause: serverstatus.Pause{Kind: serverstatus.Stated, Duration: time.Minute}}
	for name, change := range map[string]func(h *harness, req *requirements){
		"":                      func(*harness, *requirements) {},
		"plain service":         func(_ *harness, req *requirements) { req.service, req.engine, req.model = "app", nil, "" },
		"engines without links": func(_ *harness, req *requirements) { req.engine.KVLinkMbps = 0 },
		"slow links":            func(_ *harness, req *requirements) { req.engine.KVLinkMbps /= 20 },
		"another model":         func(_ *harness, req *requirements) { req.model = "large" },
		"resent request":        func(_ *harness, req *requirements) { req.resent = true },
		"suspect request":       func(_ *harness, req *requirements) { req.quarantineStatus = quarantine.Status{Suspect: 7, Crashes: 1} },
		"another version":       entry(func(_ *harness, b *backend.Server) { b.Version = "v2" }),
		"leaving":               entry(func(_ *harness, b *backend.Server) { b.Leaving = true }),
		"warming up":            entry(func(h *harness, b *backend.Server) { b.WarmAt = h.clock.now + time.Minute }),
		"restarted":             entry(func(_ *harness, b *backend.Server) { b.Incarnation.StartMillis = 1000 }),
		"evacuated":             entry(func(h *harness, b *backend.Server) { b.FailureDomain = "z"; h.relay.State.Evacuate("z") }),
		"unreachable": func(h *harness, _ *requirements) {
			h.relay.State.recordUnreachable(&target{server: lender, service: "lm"})
		},
		"terminated": func(h *harness, _ *requirements) { h.relay.RecordTermination("e0") },
		"paused": func(h *harness, _ *requirements) {
			h.relay.State.gate.Observe(gate.Response{ServerID: "e0", ServerName: "e0", Statements: pause, SentAt: h.clock.now}, h.clock.now)
		},
	} {
		h, call := newFetchHarness(t, respondNotRun)
		engine := *h.relay.State.Table().Services["lm"].Engine
		req := &requirements{service: "lm", engine: &engine, model: "small", prompt: call.Prompt, remainingTime: time.Minute, versions: anyVersionChoice()}
		change(h, req)
		got, err := h.relay.State.pick(req, 100)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got.fetch.used() != (name == "") || got.server.ID == "e0" {
			t.Errorf("%s: sent to %s, fetch %+v", name, got.server.ID, got.fetch)
		}
		if placed := h.relay.State.DrainPlacements(); name == "" && (got.fetch.address != lender.Address || got.uncached > 20_000-got.fetch.tokens/2 || len(placed) != 1) {
			t.Errorf("got %+v, placements %+v", got, placed)
		}
	}
}

// Guards against a second fetch for a request whose first send with one has failed.
func TestResentRequestFetchesNothing(t *testing.T) {
	for name, failure := range map[string]responder{
		"lost": failSend(upstream.ConnectionLost, true), "unreachable": failSend(upstream.Unreachable, false), "rejected": respondNotRun,
		"interrupted": respondStream(90, errors.New("reset"), 1),
	} {
		h, call := newFetchHarness(t, failure, respondStream(90, nil, 1, 2))
		h.serve(call, &fakeResponseWriter{})
		if sends := h.backend.sends; len(sends) != 2 || sends[0].FetchFrom != lender.Address || sends[1].FetchFrom != "" {
			t.Errorf("%s: sends %+v", name, sends)
		}
	}
}
