package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

const (
	// denialLimit and denialKeyAge are the limits of a deployment: a change must be in force within
	// denialLimit, and keys are accepted for denialKeyAge.
	denialLimit  = 2 * time.Second
	denialKeyAge = 4 * time.Second
	// denialBodyLimit is the limit of the configuration for bodies, in bytes.
	denialBodyLimit = 8
)

// newDenialHarness returns a relay with a route that needs a key and one that needs none.
func newDenialHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, respond(200, "x"))
	h.relay.options.ConfigPropagationLimit, h.relay.options.MaxKeyAge = denialLimit, denialKeyAge
	look := route.Route{Name: "look", Host: "h", PathPrefix: "/l/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second, Backends: []route.Backend{{Service: "app", Weight: 1}}}
	open := look
	open.Name, open.PathPrefix, open.Public = "open", "/o/", true
	table, err := route.NewTable(route.Document{
		Version: 2, KeyRequired: true, Keys: map[string]route.Workspace{"k": {Name: "w"}}, Limits: route.Limits{BodyBytes: denialBodyLimit},
		Services: []route.Service{{Name: "app", MaxConnections: 100}}, Routes: []route.Route{look, open},
	})
	if err != nil {
		t.Fatal(err)
	}
	h.relay.State.SetTable(table)
	return h
}

// denialCalls are calls by what the configuration says of them, and denialKinds how it denies them.
var (
	denialCalls = map[string]Call{
		"unknown path":  {Host: "h", Path: "/none/", Key: "k"},
		"unknown host":  {Host: "other", Path: "/o/1"},
		"unknown key":   {Host: "h", Path: "/l/1", Key: "other"},
		"no key":        {Host: "h", Path: "/l/1"},
		"body too long": {Host: "h", Path: "/o/1", Body: make([]byte, denialBodyLimit+1)},
		"allowed":       {Host: "h", Path: "/o/1"},
		"allowed key":   {Host: "h", Path: "/l/1", Key: "k"},
	}
	denialKinds = map[string]fault.Kind{
		"unknown path": fault.NotFound, "unknown host": fault.NotFound, "unknown key": fault.Unauthorized, "no key": fault.Unauthorized, "body too long": fault.TooLarge,
	}
)

// outcome serves a call and returns the kind of its refusal, or "" if it is served.
func (h *harness) outcome(call Call) (kind fault.Kind, refusal *fault.Error) {
	call.ID, call.Method, call.Target, call.LastEvent, call.Received = "i", "POST", call.Path, NoEvent, time.Now()
	out := &fakeResponseWriter{}
	h.serve(&call, out)
	if out.refusal != nil {
		return out.refusal.Kind, out.refusal
	}
	return "", nil
}

// Guards against final answers from a configuration that may lack changes which have to be in force.
func TestOnlyConfirmedConfigurationDenies(t *testing.T) {
	for _, age := range []time.Duration{0, denialLimit - 1, denialLimit, denialKeyAge - 1, denialKeyAge, 14 * time.Second, time.Hour} {
		for name, call := range denialCalls {
			t.Run(fmt.Sprint(name, "/confirmed ", age, " ago"), func(t *testing.T) {
				h := newDenialHarness(t)
				h.clock.now += age
				want := denialKinds[name]
				if denied := want != ""; denied && age >= denialLimit || name == "allowed key" && age >= denialKeyAge {
					want = fault.ConfigurationStale
				}
				kind, refusal := h.outcome(call)
				if kind != want {
					t.Errorf("got %q, want %q", kind, want)
				}
				if kind == fault.ConfigurationStale && (refusal.ExecutionState() != fault.NotRun || refusal.RetryDelay() <= 0) {
					t.Errorf("%s, retry after %s", refusal.ExecutionState(), refusal.RetryDelay())
				}
			})
		}
	}
}

// Guards against requests that wait while their answer is known.
func TestDenialsDoNotWait(t *testing.T) {
	for _, age := range []time.Duration{0, 14 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			h := newDenialHarness(t)
			h.clock.now += age
			start := time.Now()
			for name := range denialKinds {
				h.outcome(denialCalls[name])
			}
			if waited := time.Since(start); waited != 0 {
				t.Errorf("confirmed %s ago: waited %s", age, waited)
			}
		})
	}
}

// Guards against a configuration in force that was taken over from another daemon and that nobody
// has confirmed lately.
func TestUnconfirmedConfigurationNeitherDeniesNorServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newDenialHarness(t)
		h.relay.State.SetMaxFirstAge(denialLimit)
		h.relay.State.confirmations, h.relay.State.configurationCurrent = freshness.Tracker{}, false
		h.clock.now += time.Hour
		for _, age := range []time.Duration{time.Minute, denialLimit} {
			for name, call := range denialCalls {
				if kind, _ := h.outcome(call); kind != fault.ConfigurationStale {
					t.Errorf("%s: %q", name, kind)
				}
			}
			h.relay.State.Confirm(freshness.Configuration, freshness.Confirmation{At: h.clock.now - age, Source: "d2"})
		}
		if kind, _ := h.outcome(denialCalls["allowed"]); kind != fault.ConfigurationStale {
			t.Errorf("confirmed %s ago: %q", denialLimit, kind)
		}
		h.relay.State.Confirm(freshness.Configuration, freshness.Confirmation{At: h.clock.now, Source: "d2"})
		for name, call := range denialCalls {
			if kind, _ := h.outcome(call); kind != denialKinds[name] {
				t.Errorf("%s, confirmed: %q", name, kind)
			}
		}
	})
}

// Guards against refusals of a daemon that learns within startupWait that its configuration is current.
func TestRequestWaitsForFirstConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newDenialHarness(t)
		h.relay.State = NewState("d1", "", h.clock.read)
		h.relay.State.SetTable(newDenialHarness(t).relay.State.Table())
		putServers(h.relay.State, 1)
		time.AfterFunc(startupWait/2, func() {
			h.relay.State.Confirm(freshness.Configuration, freshness.Confirmation{At: h.clock.now, Source: "d2"})
		})
		start := time.Now()
		if kind, _ := h.outcome(denialCalls["unknown path"]); kind != fault.NotFound || time.Since(start) != startupWait/2 {
			t.Errorf("%q after %s", kind, time.Since(start))
		}
	})
}

// Guards against denials by a daemon whose configuration is older than that of the daemon which
// forwards the request.
func TestOlderConfigurationDoesNotDenyForwardedRequest(t *testing.T) {
	for name, call := range denialCalls {
		for _, newer := range []bool{false, true} {
			h := newDenialHarness(t)
			want := denialKinds[name]
			forwarded := ForwardedCall{Call: call, RemainingMillis: 1000, MaxRuns: 1, ConfigVersion: h.relay.State.Table().Version}
			if newer {
				forwarded.ConfigVersion++
				want = fault.ConfigurationStale
			}
			forwarded.Call.LastEvent, forwarded.Call.Target = NoEvent, call.Path
			kind := fault.Kind("")
			h.relay.ServeForwarded(t.Context(), "d1", forwarded, func(f ForwardFrame) error {
				if f.Refusal != nil {
					kind = f.Refusal.Kind
				}
				return nil
			})
			if kind != want {
				t.Errorf("%s, newer configuration %t: %q, want %q", name, newer, kind, want)
			}
		}
	}
}
