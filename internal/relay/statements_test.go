package relay

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// limited adds a stated limit to responses.
func limited(perSecond float64, respond func(BackendRequest) (*BackendResponse, error)) func(BackendRequest) (*BackendResponse, error) {
	return func(r BackendRequest) (*BackendResponse, error) {
		resp, err := respond(r)
		if err == nil {
			resp.Limit = serverlimit.StatedRate(perSecond)
		}
		return resp, err
	}
}

// alternate uses its responses in turn.
func alternate(responses ...func(BackendRequest) (*BackendResponse, error)) func(BackendRequest) (*BackendResponse, error) {
	sends := 0
	return func(r BackendRequest) (*BackendResponse, error) {
		sends++
		return responses[sends%len(responses)](r)
	}
}

// Guards against sends beyond a stated limit by first sends, retries and larger models, and
// against refusals that hide the reason or claim too much.
func TestEverySendKeepsToStatedLimits(t *testing.T) {
	const perSecond, window, servers = 1.0, 4 * time.Second, 3
	for name, tt := range map[string]struct {
		path    string
		respond func(BackendRequest) (*BackendResponse, error)
	}{
		"plain":            {"/p/x", respond(200, "ok")},
		"retry of failure": {"/l/x", respond(500, "bad")},
		"retry of refusal": {"/l/x", respondNotRun},
		"stream":           {"/s/x", respondStream(99, nil, 0, 1)},
		"escalation":       {"/s/x", respondStream(1, nil, 0, 1)},
		"resumed stream":   {"/s/x", respondStream(99, errors.New("reset"), 0)},
		"retry after loss": {"/l/x", alternate(respond(200, "ok"), failSend(upstream.ConnectionLost, true))},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, limited(perSecond, tt.respond))
			h.relay.State.SetSlowStartView(slowstart.View{Self: 1, Trusted: true})
			refused := 0
			for end := h.clock.now + window; h.clock.now < end; h.clock.now += 10 * time.Millisecond {
				sends := len(h.backend.sends)
				out := h.call(tt.path)
				if out.refusal == nil || len(h.backend.sends) > sends {
					continue
				}
				refused++
				if !strings.Contains(out.refusal.Detail, "stated 1 requests a second") {
					t.Fatalf("the refusal does not name the limit: %v", out.refusal)
				}
				if out.refusal.Kind != fault.ServerLimited || out.refusal.ExecutionState() != fault.NotRun || out.refusal.RetryDelay() <= 0 {
					t.Fatalf("got %v", out.refusal)
				}
			}
			if allowed := servers * (1.5*perSecond*window.Seconds() + 5); float64(len(h.backend.sends)) > allowed || refused == 0 {
				t.Errorf("%d sends to %d servers, allowed %.0f; %d refused", len(h.backend.sends), servers, allowed, refused)
			}
		})
	}
}

// Guards against a limit that is known only to the daemon that got the response.
func TestStatedLimitsAreToldToOtherDaemons(t *testing.T) {
	one, other := newHarness(t, limited(2, respond(200, "ok"))), newHarness(t, respond(200, "ok"))
	for range 20 {
		one.call("/p/x")
	}
	other.relay.MergeServerLimits(one.relay.State.ServerLimits(false))
	if n := other.relay.State.LimitedServers(); n == 0 || n != one.relay.State.LimitedServers() {
		t.Errorf("%d limited servers known, want %d", n, one.relay.State.LimitedServers())
	}
	other.relay.MergeServerLimits([]serverlimit.Update{{Server: 1, PerSecond: -1}, {Server: 2, PerSecond: 1, AgeMs: -1}})
	if n := other.relay.State.LimitedServers(); n != one.relay.State.LimitedServers() {
		t.Errorf("invalid reports were applied: %d limited servers", n)
	}
}

// Guards against changing a server's limit by the response of another server that now has its
// address, which states another limit or none.
func TestMisdirectedResponseDoesNotChangeLimit(t *testing.T) {
	misdirected := func(r BackendRequest) (*BackendResponse, error) {
		resp, err := respondNotRun(r)
		resp.Misdirected = true
		return resp, err
	}
	h := newHarness(t, limited(50, respond(200, "ok")), misdirected)
	h.relay.State.SetSlowStartView(slowstart.View{Self: 1, Trusted: true})
	h.call("/p/x")
	for range 100 {
		h.clock.now += 10 * time.Millisecond
		h.call("/p/x")
	}
	if n := h.relay.State.LimitedServers(); n != 1 || len(h.backend.sends) < 10 {
		t.Errorf("%d limited servers after %d sends, want 1", n, len(h.backend.sends))
	}
}

// Guards against requests to an address that another server has taken over.
func TestReplacedServerGetsNoRequests(t *testing.T) {
	h, ok := newHarness(t, nil), respond(200, "ok")
	h.backend.script[0] = func(r BackendRequest) (*BackendResponse, error) {
		if !isFirst(r) || r.Server.Incarnation.StartMillis != 0 {
			return ok(r)
		}
		resp, err := respondNotRun(r)
		resp.Misdirected, resp.Replaced = true, true
		return resp, err
	}
	if times, _ := h.sendTimes(5*time.Second, "/l/x", nil, isFirst); len(times) != 1 {
		t.Errorf("%d requests were sent to the replaced server", len(times))
	}
	h.relay.State.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: "a0", StartMillis: 7}, Service: "app", Address: "10.0.1.9:1", Slots: 4, Version: "v1"})
	})
	if times, _ := h.sendTimes(5*time.Second, "/l/x", nil, isFirst); len(times) == 0 {
		t.Error("no request was sent to the next incarnation")
	}
}

// Guards against a late arrival at a server that refused requests while a connection was opened.
func TestSendIsCheckedWhenConnectionIsOpen(t *testing.T) {
	for name, change := range map[string]func(h *harness, r BackendRequest){
		"leaves": func(h *harness, r BackendRequest) {
			h.relay.MergeDepartures([]serverstatus.DepartureReport{{Server: xxhash.Sum64String(r.Server.ID)}})
		},
		"wants a pause": func(h *harness, r BackendRequest) {
			h.relay.State.observe(&target{server: r.Server}, &BackendResponse{Statements: *pauseOf(time.Second)}, false)
		},
		"is evacuated": func(h *harness, r BackendRequest) { h.relay.State.Evacuate(r.Server.FailureDomain) },
		"is removed": func(h *harness, r BackendRequest) {
			h.relay.State.UpdateServers(func(registry *backend.Registry, now time.Duration) { registry.Remove(r.Server.Incarnation.Name, now) })
		},
		"does not change": func(*harness, BackendRequest) {},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, withdrawn := 0, 0
			h := newHarness(t, nil)
			h.backend.script[0] = func(r BackendRequest) (*BackendResponse, error) {
				if arrived+withdrawn == 0 {
					change(h, r)
				}
				if !r.Admit() {
					withdrawn++
					return nil, &upstream.Error{Reason: upstream.Withdrawn, Err: errors.New("test")}
				}
				arrived++
				return respond(200, "ok")(r)
			}
			out := h.call("/p/x")
			if want := name != "does not change"; want != (withdrawn > 0) {
				t.Errorf("%d sends withdrawn, %d arrived", withdrawn, arrived)
			}
			if served := out.status == 200; served == (name == "is evacuated") {
				t.Errorf("status %d, refused with %v", out.status, out.refusal)
			}
		})
	}
}

// Guards against taking the end of a server that leaves for a failure of its version.
func TestStreamOfLeavingServerIsNoEvidence(t *testing.T) {
	for kind, want := range map[serverstatus.Kind]uint64{serverstatus.None: 1, serverstatus.Stated: 0} {
		broken := respondStream(99, errors.New("reset"), 0)
		h := newStatingHarness(t, respondStream(99, nil, 0, 1), func(BackendRequest, time.Duration, int) *serverstatus.Statements { return nil })
		rest := h.backend.script[0]
		h.backend.script = []func(BackendRequest) (*BackendResponse, error){func(r BackendRequest) (*BackendResponse, error) {
			resp, err := broken(r)
			resp.Leaving = kind
			return resp, err
		}, rest}
		h.relay.Rollouts.AddOrder(rollout.Order{Service: "lm", Target: "v1", Duration: 24 * time.Second, Offset: 7})
		h.call("/s/x")
		if _, alarms := h.relay.Rollouts.Alarms(); alarms != want {
			t.Errorf("leaving %t: %d failures of the version, want %d", kind == serverstatus.Stated, alarms, want)
		}
	}
}

// Guards against evidence against a version because of the links of one daemon.
func TestStreamsBrokenByOwnLinksAreNoEvidence(t *testing.T) {
	for refuses, want := range map[bool]uint64{false: 1, true: 0} {
		h := newHarness(t, respondStream(99, errors.New("reset"), 0), respondStream(99, nil, 0, 1))
		h.backend.refuses.Store(refuses)
		h.relay.Rollouts.AddOrder(rollout.Order{Service: "lm", Target: "v1", Duration: 24 * time.Second, Offset: 7})
		h.call("/s/x")
		if _, alarms := h.relay.Rollouts.Alarms(); alarms != want {
			t.Errorf("servers refuse connections %t: %d failures of the version, want %d", refuses, alarms, want)
		}
	}
}
