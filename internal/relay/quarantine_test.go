package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// callWithBody sends a request with a body.
func (h *harness) callWithBody(path, body string) *fakeResponseWriter {
	out := &fakeResponseWriter{}
	h.serve(newCall(path, body), out)
	return out
}

func newCall(path, body string) *Call {
	call := &Call{ID: "id1", Host: "h", Method: "POST", Target: path, Path: path, Body: []byte(body), Key: "k", LastEvent: NoEvent, Received: time.Now()}
	if strings.HasPrefix(path, "/s/") {
		call.Model, call.Prompt = AnyModel, Prompt{Tokens: 100, MaxCompletionTokens: 20, Parts: []PromptPart{{1, 50}, {2, 50}}}
	}
	return call
}

// fingerprintOf returns the fingerprint of a request that callWithBody sends.
func fingerprintOf(path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("w", "h", "POST", path, []byte(body))
}

func brokenStream(BackendRequest) (*BackendResponse, error) {
	return &BackendResponse{Status: 200, Authenticated: true, Confidence: -1, ContentLength: -1, Body: io.NopCloser(failingReader{io.ErrUnexpectedEOF})}, nil
}

func TestHeldRequestIsNotSent(t *testing.T) {
	h := newHarness(t, brokenStream)
	h.backend.terminated.Store(true)
	first := h.callWithBody("/s/1", "x")
	if first.refusal == nil || first.refusal.ExecutionState() == fault.NotRun || fault.Lookup(first.refusal.Kind).Execution == fault.NotRun {
		t.Errorf("request that ran was refused with %v", first.refusal)
	}
	sent := len(h.backend.sends)
	if sent != 3 {
		t.Fatalf("sent %d times", sent)
	}
	second := h.callWithBody("/s/1", "x")
	if r := second.refusal; r == nil || r.Kind != fault.Quarantined || r.ExecutionState() != fault.NotRun || r.RetryDelay() < time.Second {
		t.Errorf("refused with %v", r)
	}
	if len(h.backend.sends) != sent {
		t.Error("held request was sent")
	}
	h.backend.terminated.Store(false)
	h.backend.script = []func(BackendRequest) (*BackendResponse, error){respondStream(90, nil, 1, 2)}
	if other := h.callWithBody("/s/1", "y"); other.status != 200 {
		t.Errorf("request with another body was refused with %v", other.refusal)
	}
}

// Guards against sending a request that another daemon put on hold between two sends:
// retries, escalations and resumed streams included.
func TestHoldIsCheckedBeforeEverySend(t *testing.T) {
	for name, first := range map[string]func(BackendRequest) (*BackendResponse, error){
		"first send":   nil,
		"repeat":       failSend(upstream.ConnectionLost, true),
		"larger model": respondStream(0, nil, 1, 2),
		"stream":       respondStream(90, errors.New("reset"), 1, 2),
		"not run":      respondNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			hold := func() { h.relay.Guard.ApplyHold(fingerprintOf("/s/1", "x"), time.Minute) }
			h.backend.script = []func(BackendRequest) (*BackendResponse, error){func(s BackendRequest) (*BackendResponse, error) {
				hold()
				return first(s)
			}, respond(200, "")}
			if first == nil {
				hold()
			}
			out := h.callWithBody("/s/1", "x")
			sends := 1
			if first == nil {
				sends = 0
			}
			if len(h.backend.sends) != sends || !out.aborted && out.refusal == nil {
				t.Errorf("sent %d times, refused with %v, aborted %t", len(h.backend.sends), out.refusal, out.aborted)
			}
		})
	}
}

// Guards against missing the request that crashed a server because its run was cancelled
// shortly before the crash, as by an escalation.
func TestRunCancelledJustBeforeServerEndIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, respondStream(0, nil, 1, 2), respondStream(90, nil, 1, 2, 3))
		h.callWithBody("/s/1", "x")
		fingerprint := fingerprintOf("/s/1", "x")
		server := h.backend.sends[0].Server
		mergeEnd := func(age time.Duration) {
			h.relay.Guard.Merge(quarantine.Update{Crashes: []quarantine.Crash{{
				Incarnation: containment.IncarnationKey(server.ID), AgeMs: age.Milliseconds(), Suspects: []quarantine.Fingerprint{1},
			}}})
		}
		*h.clock = fakeClock{now: h.clock.now + 2*time.Second}
		time.Sleep(2 * time.Second)
		mergeEnd(1900 * time.Millisecond)
		if n := h.relay.Guard.Check(quarantine.Identity{Request: fingerprint}).Crashes; n != 0 {
			t.Fatalf("completed request is suspected for %d ends", n)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, respondStream(0, nil, 1, 2), respondStream(90, errors.New("reset"), 1))
		h.callWithBody("/s/1", "x")
		time.Sleep(100 * time.Millisecond)
		h.relay.Guard.Merge(quarantine.Update{Crashes: []quarantine.Crash{{
			Incarnation: containment.IncarnationKey(h.backend.sends[0].Server.ID), Suspects: []quarantine.Fingerprint{1},
		}}})
		if n := h.relay.Guard.Check(quarantine.Identity{Request: fingerprintOf("/s/1", "x")}).Crashes; n != 1 {
			t.Errorf("suspected for %d ends", n)
		}
	})
}

// Guards against counting broken connections to healthy servers, or the end of servers
// that had announced it, as ends caused by the request.
func TestBrokenConnectionIsNotAServerEnd(t *testing.T) {
	h := newHarness(t, failSend(upstream.ConnectionLost, true))
	for range 4 {
		h.callWithBody("/s/1", "x")
	}
	if s := h.relay.Guard.Check(quarantine.Identity{Request: fingerprintOf("/s/1", "x")}); s.Crashes != 0 {
		t.Errorf("healthy servers: %+v", s)
	}
	h = newHarness(t, failSend(upstream.ConnectionLost, true))
	h.backend.terminated.Store(true)
	h.relay.State.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for _, id := range []string{"e0", "e1", "e2"} {
			s, _, _ := r.Get(id, 0)
			s.Leaving = true
			_, _ = r.Put(s)
		}
	})
	for _, id := range []string{"e0", "e1", "e2"} {
		run := h.relay.Guard.Begin(containment.Server{ID: id}, quarantine.Identity{Request: 7}, func(error) {})
		h.relay.Guard.End(t.Context(), run, containment.Server{ID: id}, containment.ConnectionLost)
	}
	if s := h.relay.Guard.Check(quarantine.Identity{Request: 7}); s.Crashes != 0 {
		t.Errorf("leaving servers: %+v", s)
	}
}

// Guards against missing the end of a server that is back before its VM refuses a
// connection; only its entry shows the restart.
func TestImmediateRestartCountsAsServerEnd(t *testing.T) {
	h := newHarness(t, failSend(upstream.ConnectionLost, true))
	h.callWithBody("/s/1", "x")
	for _, s := range h.backend.sends {
		h.relay.ServerRestarted(s.Server, s.Server)
		h.relay.ServerRestarted(s.Server, s.Server)
	}
	if s := h.relay.Guard.Check(quarantine.Identity{Request: fingerprintOf("/s/1", "x")}); s.Crashes != 3 || !s.Held {
		t.Errorf("quarantine status %+v", s)
	}
}

// Guards against leaving a request on a server after it was put on hold. Responses that
// are being forwarded are not cancelled.
func TestHoldCancelsWaitingSends(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	var causes []error
	begin := func(server string) *containment.Attempt {
		return h.relay.Guard.Begin(containment.Server{ID: server}, quarantine.Identity{Request: 7}, func(err error) { causes = append(causes, err) })
	}
	begin("e0")
	h.relay.Guard.MarkForwarded(begin("e1"))
	h.relay.Guard.End(t.Context(), begin("e2"), containment.Server{ID: "e2"}, containment.Completed)
	h.relay.Guard.ApplyHold(7, time.Minute)
	if len(causes) != 1 || !errors.Is(causes[0], containment.ErrHeld) {
		t.Errorf("cancelled with %v", causes)
	}
}

// Guards against sending suspects to the same server again, and against sending the
// retries of one suspect to different servers.
func TestSuspectRequestsAreSpreadOverServers(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	perServer := map[string]int{}
	for fingerprint := quarantine.Fingerprint(1); fingerprint <= 60; fingerprint++ {
		req := &requirements{service: "app", quarantineStatus: quarantine.Status{Suspect: fingerprint, Crashes: 1}, versions: VersionChoice{Preferred: anyVersion, Fallback: anyVersion}}
		first := ""
		for range 3 {
			got, err := h.relay.State.pick(req, 100)
			if err != nil {
				t.Fatal(err)
			}
			if first != "" && got.server.ID != first {
				t.Fatalf("request %d is sent to %s and %s", fingerprint, first, got.server.ID)
			}
			first = got.server.ID
		}
		perServer[first]++
	}
	for id, n := range perServer {
		if n > 40 || len(perServer) < 3 {
			t.Errorf("%d of 60 requests are sent to %s", n, id)
		}
	}
}
