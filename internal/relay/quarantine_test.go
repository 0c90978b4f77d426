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

// ask sends a request with a body.
func (w *world) ask(path, body string) *fakeCaller {
	out := &fakeCaller{}
	w.relay.Serve(context.Background(), requestTo(path, body), out)
	return out
}

func requestTo(path, body string) *Call {
	c := &Call{ID: "id1", Host: "h", Method: "POST", Target: path, Path: path, Body: []byte(body), Key: "k", LastEvent: NoEvent, Received: time.Now()}
	if strings.HasPrefix(path, "/s/") {
		c.Model, c.Prompt = AnyModel, Prompt{Tokens: 100, MaxAnswerTokens: 20, Parts: []PromptPart{{1, 50}, {2, 50}}}
	}
	return c
}

// printOf is the fingerprint of a request that ask sends.
func printOf(path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("w", "h", "POST", path, []byte(body))
}

// refusing is a backend whose servers have ended for whoever asks.
type refusing struct{ *fakeBackend }

func (refusing) Refuses(context.Context, string) bool { return true }

func brokenStream(BackendRequest) (*BackendResponse, error) {
	return &BackendResponse{Status: 200, Authenticated: true, Confidence: -1, ContentLength: -1, Body: io.NopCloser(failing{io.ErrUnexpectedEOF})}, nil
}

func TestHeldRequestReachesNoServer(t *testing.T) {
	w := newWorld(t, brokenStream)
	w.relay.backend = refusing{w.backend}
	first := w.ask("/s/1", "x")
	if first.refusal == nil || first.refusal.ExecutionState() == fault.NotRun || fault.Lookup(first.refusal.Kind).Execution == fault.NotRun {
		t.Errorf("a request that ran was refused with %v", first.refusal)
	}
	sent := len(w.backend.sends)
	if sent != 3 {
		t.Fatalf("sent %d times", sent)
	}
	second := w.ask("/s/1", "x")
	if r := second.refusal; r == nil || r.Kind != fault.Quarantined || r.ExecutionState() != fault.NotRun || r.RetryDelay() < time.Second {
		t.Errorf("refused with %v", r)
	}
	if len(w.backend.sends) != sent {
		t.Error("a held request was sent")
	}
	w.relay.backend = w.backend
	w.backend.script = []func(BackendRequest) (*BackendResponse, error){streamingFrom(90, nil, 1, 2)}
	if other := w.ask("/s/1", "y"); other.status != 200 {
		t.Errorf("another body was refused with %v", other.refusal)
	}
}

// What is held by the word of another daemon while a request is between two servers stops it
// there too, whether it was lost, goes to a larger model or goes on in the middle.
func TestEveryWayToAServerLeadsPastTheCheck(t *testing.T) {
	for name, first := range map[string]func(BackendRequest) (*BackendResponse, error){
		"first send":   nil,
		"repeat":       failed(upstream.ConnectionLost, true),
		"larger model": streamingFrom(0, nil, 1, 2),
		"stream":       streamingFrom(90, errors.New("reset"), 1, 2),
		"not run":      notRun,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, nil)
			hold := func() { w.relay.Guard.ApplyHold(printOf("/s/1", "x"), time.Minute) }
			w.backend.script = []func(BackendRequest) (*BackendResponse, error){func(s BackendRequest) (*BackendResponse, error) {
				hold()
				return first(s)
			}, answering(200, "")}
			if first == nil {
				hold()
			}
			out := w.ask("/s/1", "x")
			sends := 1
			if first == nil {
				sends = 0
			}
			if len(w.backend.sends) != sends || !out.cut && out.refusal == nil {
				t.Errorf("sent %d times, refused with %v, cut %t", len(w.backend.sends), out.refusal, out.cut)
			}
		})
	}
}

// Symptom: a server ended and the request that had ended it was not suspected.
// Sequence: the small model's answer is dropped and its run cancelled; the server ends by it
// a tenth of a second later.
// Cause: only what ran at the moment of the end was looked at.
func TestRunThatWasCancelledJustBeforeTheEndIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, streamingFrom(0, nil, 1, 2), streamingFrom(90, nil, 1, 2, 3))
		w.ask("/s/1", "x")
		f := printOf("/s/1", "x")
		server := w.backend.sends[0].Server
		ended := func(age time.Duration) {
			w.relay.Guard.Merge(quarantine.Update{Crashes: []quarantine.Crash{{
				Incarnation: containment.IncarnationKey(server.ID), AgeMs: age.Milliseconds(), Suspects: []quarantine.Fingerprint{1},
			}}})
		}
		*w.clock = clock{now: w.clock.now + 2*time.Second}
		time.Sleep(2 * time.Second)
		ended(1900 * time.Millisecond)
		if n := w.relay.Guard.Check(f).Crashes; n != 0 {
			t.Fatalf("answered in full, and suspected for %d ends", n)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, streamingFrom(0, nil, 1, 2), brokenStream)
		w.ask("/s/1", "x")
		time.Sleep(100 * time.Millisecond)
		w.relay.Guard.Merge(quarantine.Update{Crashes: []quarantine.Crash{{
			Incarnation: containment.IncarnationKey(w.backend.sends[0].Server.ID), Suspects: []quarantine.Fingerprint{1},
		}}})
		if n := w.relay.Guard.Check(printOf("/s/1", "x")).Crashes; n != 1 {
			t.Errorf("suspected for %d ends", n)
		}
	})
}

// Symptom: requests that were sent on as often as allowed were held although no server had
// ended.
// Sequence: connections break, answers are lost, and the servers are well; or a server that
// had said that it leaves is gone.
// Cause: a broken connection looks the same.
func TestBrokenConnectionAloneIsNoEnd(t *testing.T) {
	w := newWorld(t, failed(upstream.ConnectionLost, true))
	for range 4 {
		w.ask("/s/1", "x")
	}
	if s := w.relay.Guard.Check(printOf("/s/1", "x")); s.Crashes != 0 {
		t.Errorf("servers that are well: %+v", s)
	}
	w = newWorld(t, failed(upstream.ConnectionLost, true))
	w.relay.backend = refusing{w.backend}
	w.relay.State.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for _, id := range []string{"e0", "e1", "e2"} {
			s, _, _ := r.Get(id, 0)
			s.Leaving = true
			_, _ = r.Put(s)
		}
	})
	for _, id := range []string{"e0", "e1", "e2"} {
		u := w.relay.Guard.Begin(containment.Server{ID: id}, 7, func(error) {})
		w.relay.Guard.End(t.Context(), u, containment.Server{ID: id}, containment.ConnectionLost)
	}
	if s := w.relay.Guard.Check(7); s.Crashes != 0 {
		t.Errorf("servers that leave: %+v", s)
	}
}

// Symptom: a request went on ending servers that were back at once.
// Sequence: a server ends by it and is back within milliseconds, so that its VM refuses no
// connection; its entry tells later that it has started again.
// Cause: only refused connections told of an end.
func TestServerThatIsBackAtOnceHasEnded(t *testing.T) {
	w := newWorld(t, failed(upstream.ConnectionLost, true))
	w.ask("/s/1", "x")
	for _, s := range w.backend.sends {
		w.relay.ServerRestarted(s.Server)
		w.relay.ServerRestarted(s.Server)
	}
	if s := w.relay.Guard.Check(printOf("/s/1", "x")); s.Crashes != 3 || !s.Held {
		t.Errorf("stands %+v", s)
	}
}

// A send that waits at a server is ended when its request is held: it has not harmed that one
// yet. One whose answer is passed on already is not.
func TestSendsThatWaitEndWhenTheirRequestIsHeld(t *testing.T) {
	w := newWorld(t, answering(200, ""))
	var causes []error
	enter := func(server string) *containment.Attempt {
		return w.relay.Guard.Begin(containment.Server{ID: server}, 7, func(err error) { causes = append(causes, err) })
	}
	enter("e0")
	w.relay.Guard.MarkForwarded(enter("e1"))
	w.relay.Guard.End(t.Context(), enter("e2"), containment.Server{ID: "e2"}, containment.Completed)
	w.relay.Guard.ApplyHold(7, time.Minute)
	if len(causes) != 1 || !errors.Is(causes[0], containment.ErrHeld) {
		t.Errorf("ended with %v", causes)
	}
}

// Of two requests that were on one server that ended, each goes to a server of its own as a
// rule, and always to the same one.
func TestSuspectsGoApart(t *testing.T) {
	w := newWorld(t, answering(200, ""))
	to := map[string]int{}
	for f := quarantine.Fingerprint(1); f <= 60; f++ {
		x := &want{service: "app", fingerprint: f, standing: quarantine.Status{Crashes: 1}, choice: Choice{Prefer: everyVersion, Else: everyVersion}}
		first := ""
		for range 3 {
			got, err := w.relay.State.pick(x, 100)
			if err != nil {
				t.Fatal(err)
			}
			if first != "" && got.server.ID != first {
				t.Fatalf("request %d goes to %s and %s", f, first, got.server.ID)
			}
			first = got.server.ID
		}
		to[first]++
	}
	for id, n := range to {
		if n > 40 || len(to) < 3 {
			t.Errorf("%d of 60 go to %s", n, id)
		}
	}
}
