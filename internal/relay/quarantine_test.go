package relay

import (
	"context"
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
func (w *harness) callWithBody(path, body string) *fakeResponseWriter {
	out := &fakeResponseWriter{}
	w.relay.Serve(context.Background(), newCall(path, body), out)
	return out
}

func newCall(path, body string) *Call {
	c := &Call{ID: "id1", Host: "h", Method: "POST", Target: path, Path: path, Body: []byte(body), Key: "k", LastEvent: NoEvent, Received: time.Now()}
	if strings.HasPrefix(path, "/s/") {
		c.Model, c.Prompt = AnyModel, Prompt{Tokens: 100, MaxAnswerTokens: 20, Parts: []PromptPart{{1, 50}, {2, 50}}}
	}
	return c
}

// fingerprintOf is the fingerprint of a request that callWithBody sends.
func fingerprintOf(path, body string) quarantine.Fingerprint {
	return quarantine.Of("w", "h", "POST", path, []byte(body))
}

// refusingBackend is a backend whose servers refuse connections, as if they had ended.
type refusingBackend struct{ *fakeBackend }

func (refusingBackend) RefusesConnections(context.Context, string) bool { return true }

func brokenStream(BackendRequest) (*BackendResponse, error) {
	return &BackendResponse{Status: 200, Authenticated: true, Confidence: -1, ContentLength: -1, Body: io.NopCloser(failingReader{io.ErrUnexpectedEOF})}, nil
}

func TestHeldRequestIsNotSent(t *testing.T) {
	w := newHarness(t, brokenStream)
	w.relay.backend = refusingBackend{w.backend}
	first := w.callWithBody("/s/1", "x")
	if first.refusal == nil || first.refusal.State() == fault.NotRun || fault.Lookup(first.refusal.Kind).Run == fault.NotRun {
		t.Errorf("request that ran was refused with %v", first.refusal)
	}
	sent := len(w.backend.sends)
	if sent != 3 {
		t.Fatalf("sent %d times", sent)
	}
	second := w.callWithBody("/s/1", "x")
	if r := second.refusal; r == nil || r.Kind != fault.Quarantined || r.State() != fault.NotRun || r.Advice() < time.Second {
		t.Errorf("refused with %v", r)
	}
	if len(w.backend.sends) != sent {
		t.Error("held request was sent")
	}
	w.relay.backend = w.backend
	w.backend.script = []func(BackendRequest) (*BackendResponse, error){respondStream(90, nil, 1, 2)}
	if other := w.callWithBody("/s/1", "y"); other.status != 200 {
		t.Errorf("request with another body was refused with %v", other.refusal)
	}
}

// Guards against sending a request that another daemon put on hold between two sends:
// retries, escalations and resumed streams included.
func TestHoldIsCheckedBeforeEverySend(t *testing.T) {
	for name, first := range map[string]func(BackendRequest) (*BackendResponse, error){
		"first send":   nil,
		"repeat":       failSend(upstream.Broken, true),
		"larger model": respondStream(0, nil, 1, 2),
		"stream":       respondStream(90, errors.New("reset"), 1, 2),
		"not run":      respondNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, nil)
			hold := func() { w.relay.Guard.ApplyHold(fingerprintOf("/s/1", "x"), time.Minute) }
			w.backend.script = []func(BackendRequest) (*BackendResponse, error){func(s BackendRequest) (*BackendResponse, error) {
				hold()
				return first(s)
			}, respond(200, "")}
			if first == nil {
				hold()
			}
			out := w.callWithBody("/s/1", "x")
			sends := 1
			if first == nil {
				sends = 0
			}
			if len(w.backend.sends) != sends || !out.aborted && out.refusal == nil {
				t.Errorf("sent %d times, refused with %v, aborted %t", len(w.backend.sends), out.refusal, out.aborted)
			}
		})
	}
}

// Guards against missing the request that ended a server because its run was cancelled
// shortly before the end, as by an escalation.
func TestRunCancelledJustBeforeServerEndIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, respondStream(0, nil, 1, 2), respondStream(90, nil, 1, 2, 3))
		w.callWithBody("/s/1", "x")
		f := fingerprintOf("/s/1", "x")
		server := w.backend.sends[0].Server
		ended := func(age time.Duration) {
			w.relay.Guard.Merge(quarantine.Update{Ends: []quarantine.End{{
				Run: containment.RunKey(server.ID), AgeMs: age.Milliseconds(), Suspects: []quarantine.Fingerprint{1},
			}}})
		}
		*w.clock = fakeClock{now: w.clock.now + 2*time.Second}
		time.Sleep(2 * time.Second)
		ended(1900 * time.Millisecond)
		if n := w.relay.Guard.Check(f).Ends; n != 0 {
			t.Fatalf("completed request is suspected for %d ends", n)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, respondStream(0, nil, 1, 2), brokenStream)
		w.callWithBody("/s/1", "x")
		time.Sleep(100 * time.Millisecond)
		w.relay.Guard.Merge(quarantine.Update{Ends: []quarantine.End{{
			Run: containment.RunKey(w.backend.sends[0].Server.ID), Suspects: []quarantine.Fingerprint{1},
		}}})
		if n := w.relay.Guard.Check(fingerprintOf("/s/1", "x")).Ends; n != 1 {
			t.Errorf("suspected for %d ends", n)
		}
	})
}

// Guards against counting broken connections to healthy servers, or the end of servers
// that had announced it, as ends caused by the request.
func TestBrokenConnectionIsNotAServerEnd(t *testing.T) {
	w := newHarness(t, failSend(upstream.Broken, true))
	for range 4 {
		w.callWithBody("/s/1", "x")
	}
	if s := w.relay.Guard.Check(fingerprintOf("/s/1", "x")); s.Ends != 0 {
		t.Errorf("healthy servers: %+v", s)
	}
	w = newHarness(t, failSend(upstream.Broken, true))
	w.relay.backend = refusingBackend{w.backend}
	w.relay.State.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for _, id := range []string{"e0", "e1", "e2"} {
			s, _, _ := r.Get(id, 0)
			s.Leaving = true
			_, _ = r.Put(s)
		}
	})
	for _, id := range []string{"e0", "e1", "e2"} {
		u := w.relay.Guard.Enter(containment.Server{ID: id}, 7, func(error) {})
		w.relay.Guard.Leave(t.Context(), u, containment.Server{ID: id}, containment.Broke)
	}
	if s := w.relay.Guard.Check(7); s.Ends != 0 {
		t.Errorf("leaving servers: %+v", s)
	}
}

// Guards against missing the end of a server that is back before its VM refuses a
// connection; only its entry shows the restart.
func TestImmediateRestartCountsAsServerEnd(t *testing.T) {
	w := newHarness(t, failSend(upstream.Broken, true))
	w.callWithBody("/s/1", "x")
	for _, s := range w.backend.sends {
		w.relay.ServerRestarted(s.Server)
		w.relay.ServerRestarted(s.Server)
	}
	if s := w.relay.Guard.Check(fingerprintOf("/s/1", "x")); s.Ends != 3 || !s.Held {
		t.Errorf("standing %+v", s)
	}
}

// Guards against leaving a request on a server after it was put on hold. Responses that
// are being forwarded are not cancelled.
func TestHoldCancelsWaitingSends(t *testing.T) {
	w := newHarness(t, respond(200, ""))
	var causes []error
	enter := func(server string) *containment.Run {
		return w.relay.Guard.Enter(containment.Server{ID: server}, 7, func(err error) { causes = append(causes, err) })
	}
	enter("e0")
	w.relay.Guard.Pass(enter("e1"))
	w.relay.Guard.Leave(t.Context(), enter("e2"), containment.Server{ID: "e2"}, containment.Finished)
	w.relay.Guard.ApplyHold(7, time.Minute)
	if len(causes) != 1 || !errors.Is(causes[0], containment.ErrHeld) {
		t.Errorf("cancelled with %v", causes)
	}
}

// Guards against sending suspects to the same server again, and against sending the
// retries of one suspect to different servers.
func TestSuspectRequestsAreSpreadOverServers(t *testing.T) {
	w := newHarness(t, respond(200, ""))
	to := map[string]int{}
	for f := quarantine.Fingerprint(1); f <= 60; f++ {
		x := &requirements{service: "app", fingerprint: f, standing: quarantine.Standing{Ends: 1}, versions: VersionChoice{Preferred: anyVersion, Fallback: anyVersion}}
		first := ""
		for range 3 {
			got, err := w.relay.State.pick(x, 100)
			if err != nil {
				t.Fatal(err)
			}
			if first != "" && got.server.ID != first {
				t.Fatalf("request %d is sent to %s and %s", f, first, got.server.ID)
			}
			first = got.server.ID
		}
		to[first]++
	}
	for id, n := range to {
		if n > 40 || len(to) < 3 {
			t.Errorf("%d of 60 requests are sent to %s", n, id)
		}
	}
}
