package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// silence is how long the first server of a request is silent, unless it has ended.
const silence = 1200 * time.Millisecond

// silentBackend is a backend whose first server falls silent in each request, from the probe on which
// during is called. Its other servers respond as scripted.
type silentBackend struct {
	*fakeBackend
	during func(first backend.Server)
	// begun makes the silence begin after two events of a stream, and ended makes it last.
	begun, ended bool
	// prefix precedes the silence in a body.
	prefix string
	// hanging is the number of others that are silent from their first send on.
	hanging int
	hung    map[string]bool
	// late is the response of the first of these after a silence; nil if there is none.
	late func(BackendRequest) (*BackendResponse, error)
	// lasts is how long the first server is silent; zero means silence.
	lasts time.Duration
	first atomic.Pointer[backend.Server]
	// contexts are those of the sends.
	contexts []context.Context
}

func (b *silentBackend) Send(ctx context.Context, s BackendRequest) (*BackendResponse, error) {
	b.mu.Lock()
	b.contexts = append(b.contexts, ctx)
	hangs := b.first.Load() != nil && len(b.hung) < b.hanging
	var goesOn <-chan time.Time
	if hangs && b.late != nil && len(b.hung) == 0 {
		goesOn = time.After(silence)
	}
	if hangs {
		b.hung[s.Server.ID] = true
		b.sends = append(b.sends, s)
	}
	b.mu.Unlock()
	switch {
	case hangs:
		select {
		case <-goesOn:
			return b.late(s)
		case <-ctx.Done():
			return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.Cause(ctx)}
		}
	case b.first.Load() != nil:
		return b.fakeBackend.Send(ctx, s)
	}
	b.first.Store(&s.Server)
	body := &silentBody{ctx: ctx, ended: b.ended, lasts: cmp.Or(b.lasts, silence), rest: []byte("whole")}
	if s.Call.Path == "/s/1" {
		body.before, body.rest = []byte(events(1, 2)), []byte(events(3, 4))
	}
	body.before = append(body.before, b.prefix...)
	if !b.begun {
		if err := body.wait(); err != nil {
			return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: err}
		}
	}
	return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: 95, ContentLength: -1, Body: io.NopCloser(body)}, nil
}

func (b *silentBackend) Probe(ctx context.Context, s backend.Server, _ bool) error {
	b.mu.Lock()
	hung := b.hung[s.ID]
	b.mu.Unlock()
	if first := b.first.Load(); first.ID == s.ID {
		b.during(s)
	} else if !hung {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// silentBody is a body that is silent between two parts.
type silentBody struct {
	ctx           context.Context
	before, rest  []byte
	waited, ended bool
	lasts         time.Duration
}

func (s *silentBody) wait() error {
	s.waited = true
	resumes := time.After(s.lasts)
	if s.ended {
		resumes = nil
	}
	select {
	case <-resumes:
		return nil
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
}

func (s *silentBody) Read(p []byte) (int, error) {
	part := &s.before
	if len(s.before) == 0 {
		part = &s.rest
		if !s.waited {
			if err := s.wait(); err != nil {
				return 0, err
			}
		}
	}
	if len(*part) == 0 {
		return 0, io.EOF
	}
	n := copy(p, *part)
	*part = (*part)[n:]
	return n, nil
}

// silentRequest is a request whose server falls silent.
type silentRequest struct {
	path, want string
	begun      bool
	prefix     string
}

var silentRequests = map[string]silentRequest{
	"plain": {"/l/1", "whole", false, ""}, "plain, body": {"/l/1", "whole", true, ""},
	"stream": {"/s/1", events(1, 2, 3, 4), false, ""}, "begun stream": {"/s/1", events(1, 2, 3, 4), true, ""},
}

// Guards against cutting a response that is too long to be buffered, and against running a request
// again that may not be repeated.
func TestRequestThatCannotBeRepeatedStaysWithSilentServer(t *testing.T) {
	for _, r := range []silentRequest{
		{path: "/l/1", begun: true, prefix: strings.Repeat("x", maxBufferedBody+1)}, {path: "/p/1"}, {path: "/p/1", begun: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, b := newHarness(t, respond(200, "other")), &silentBackend{during: func(backend.Server) {}}
			if out := r.serve(t, t.Context(), b, h); out.body.String() != r.prefix+"whole" || out.aborted || len(h.backend.sends) > 0 {
				t.Errorf("%s: got %d bytes, aborted %t, %d sends to others", r.path, out.body.Len(), out.aborted, len(h.backend.sends))
			}
		})
	}
}

// serve serves a request whose first server falls silent.
func (r silentRequest) serve(t *testing.T, ctx context.Context, b *silentBackend, h *harness) *fakeResponseWriter {
	b.hung = map[string]bool{}
	b.fakeBackend, b.begun, b.prefix = h.backend, r.begun, r.prefix
	h.relay.backend, h.relay.liveness.backend = b, b
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go h.relay.liveness.run(ctx)
	out := &fakeResponseWriter{}
	<-h.start(ctx, r.path, "body", out)
	for i, ctx := range b.contexts {
		if ctx.Err() == nil {
			t.Errorf("send %d goes on", i)
		}
	}
	stop()
	synctest.Wait()
	h.relay.background.Wait()
	if held, n := h.relay.flow.ledger.Held(), h.inFlight(); held != 0 || n != 0 {
		t.Errorf("%d bytes held, %d requests in flight", held, n)
	}
	return out
}

// others replaces the entries of all servers but one.
func (h *harness) others(first backend.Server, change func(r *backend.Registry, s backend.Server, now time.Duration)) {
	h.relay.State.UpdateServers(func(r *backend.Registry, now time.Duration) {
		for _, service := range []string{"app", "lm"} {
			for _, s := range r.ForService(service, now) {
				if s.ID != first.ID {
					change(r, s, now)
				}
			}
		}
	})
}

// Guards against requests that are refused, fail or are cut because their server was silent for a
// moment while no other server could take them.
func TestRequestStaysWithSilentServerUntilAnotherHasTakenIt(t *testing.T) {
	for name, tt := range map[string]struct {
		other   func(BackendRequest) (*BackendResponse, error)
		hanging int
		during  func(h *harness, first backend.Server)
	}{
		"hangs":           {other: respond(200, "other"), hanging: 2},
		"full":            {other: respondNotRun},
		"unreachable":     {other: failSend(upstream.Unreachable, false)},
		"loses it":        {other: failSend(upstream.ConnectionLost, true)},
		"fails":           {other: respond(500, "failure")},
		"fails at length": {other: respond(500, strings.Repeat("x", maxBufferedBody+1))},
		"empty stream":    {other: brokenStream},
		"missing event":   {other: respondStream(95, nil, 8, 9)},
		"unauthenticated": {other: func(BackendRequest) (*BackendResponse, error) {
			return &BackendResponse{Status: 200, Body: http.NoBody}, nil
		}},
		"none left": {during: func(h *harness, first backend.Server) {
			h.others(first, func(r *backend.Registry, s backend.Server, now time.Duration) { r.Remove(s.Incarnation.Name, now) })
		}},
		"version rolled back": {during: func(h *harness, _ backend.Server) {
			for _, service := range []string{"app", "lm"} {
				h.relay.Rollouts.AddOrder(rollout.Order{Service: service, Target: "v1", Duration: 24 * time.Second, Offset: 7})
				h.relay.Rollouts.ApplyStoredPhase(StoredPhase{Service: service, OrderOffset: 7, Phase: rollout.RolledBack, OrderAge: 15 * time.Second})
			}
		}},
		"paused": {during: func(h *harness, first backend.Server) {
			h.others(first, func(_ *backend.Registry, s backend.Server, _ time.Duration) {
				go h.relay.State.observe(&target{server: s}, &BackendResponse{Statements: *pauseOf(time.Minute)}, false)
			})
		}},
		"no permit": {during: func(h *harness, _ backend.Server) { h.loseShare() }},
		"no retry budget": {during: func(h *harness, _ backend.Server) {
			h.relay.mu.Lock()
			h.relay.options.RetryBudgetRatio, h.relay.reserveShare.Reserve = 0, 0
			clear(h.relay.retryBudgets)
			h.relay.mu.Unlock()
		}},
		"held": {during: func(h *harness, _ backend.Server) {
			h.relay.Guard.ApplyHold(fingerprintOf("/s/1", "body"), time.Minute)
		}},
	} {
		for kind, r := range silentRequests {
			if name == "held" && !(r.path == "/s/1" && r.begun) || name == "missing event" && r.path != "/s/1" || name == "missing event" && !r.begun {
				continue // a send that has forwarded nothing is ended by the hold; the others have no event before
			}
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					other := tt.other
					if other == nil {
						other = respond(200, "other")
					}
					h := newHarness(t, other)
					b := &silentBackend{hanging: tt.hanging, during: func(first backend.Server) {
						if tt.during != nil {
							tt.during(h, first)
						}
					}}
					out := r.serve(t, t.Context(), b, h)
					if out.status != 200 || out.body.String() != r.want || out.aborted || out.refusal != nil {
						t.Errorf("got %d %q, aborted %t, refused with %v", out.status, out.body.String(), out.aborted, out.refusal)
					}
					if n := len(h.backend.sends); (n == 0) != (tt.other == nil) {
						t.Errorf("%d sends to others", n)
					}
				})
			})
		}
	}
}

// Guards against waiting for a server that has ended, and against answers of two servers that are
// joined.
func TestRequestGoesOnWhereItIsTaken(t *testing.T) {
	for kind, r := range silentRequests {
		synctest.Test(t, func(t *testing.T) {
			other, want := respond(200, "other"), "other"
			if r.path == "/s/1" {
				other, want = respondStream(95, nil, 1, 2, 3, 4), r.want
			}
			h, b := newHarness(t, other), &silentBackend{ended: true, during: func(backend.Server) {}}
			start := time.Now()
			out := r.serve(t, t.Context(), b, h)
			if late := time.Since(start) - silenceTimeout - checkInterval - probeTimeout; late > 0 {
				t.Errorf("%s: answered %s later than possible", kind, late)
			}
			if out.status != 200 || out.body.String() != want || out.aborted {
				t.Errorf("%s: got %d %q, refused with %v", kind, out.status, out.body.String(), out.refusal)
			}
			if !errors.Is(context.Cause(b.contexts[0]), errRerouted) || len(h.backend.sends) != 1 {
				t.Errorf("%s: first send ended by %v, %d others", kind, context.Cause(b.contexts[0]), len(h.backend.sends))
			}
		})
	}
}

// Guards against answers of two servers, or of none, if both respond at about the same time.
func TestOneOfTwoServersAnswers(t *testing.T) {
	for kind, r := range silentRequests {
		for delay := time.Duration(0); delay <= silence; delay += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				h, b := newHarness(t, nil), &silentBackend{during: func(backend.Server) {}}
				h.backend.script[0] = func(s BackendRequest) (*BackendResponse, error) {
					time.Sleep(delay)
					if r.path == "/s/1" {
						return respondStream(95, nil, 1, 2, 3, 4)(s)
					}
					return respond(200, "other")(s)
				}
				out := r.serve(t, t.Context(), b, h)
				if got := out.body.String(); got != r.want && got != "other" || out.aborted || out.refusal != nil {
					t.Errorf("%s, answer of the other after %s: got %q, aborted %t, refused with %v", kind, delay, got, out.aborted, out.refusal)
				}
			})
		}
	}
}

// Guards against waiting for a second server that is as silent as the first.
func TestRequestLeavesSecondSilentServer(t *testing.T) {
	for _, begun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h, b := newHarness(t, respondStream(95, nil, 1, 2, 3, 4)), &silentBackend{ended: true, hanging: 1, during: func(backend.Server) {}}
			start := time.Now()
			out := silentRequest{path: "/s/1", begun: begun}.serve(t, t.Context(), b, h)
			if out.body.String() != events(1, 2, 3, 4) || out.aborted {
				t.Errorf("got %q, refused with %v", out.body.String(), out.refusal)
			}
			if late := time.Since(start) - 2*(silenceTimeout+checkInterval+probeTimeout); late > 0 {
				t.Errorf("answered %s later than possible", late)
			}
		})
	}
}

// Guards against giving up a second silent server, which goes on, before a third one has taken the
// request, and against giving up a first one that goes on meanwhile.
func TestSecondSilentServerKeepsRequestUntilThirdHasTakenIt(t *testing.T) {
	for name, third := range map[string]func(BackendRequest) (*BackendResponse, error){
		"full":          respondNotRun,
		"unreachable":   failSend(upstream.Unreachable, false),
		"loses it":      failSend(upstream.ConnectionLost, true),
		"fails":         respond(500, "failure"),
		"empty stream":  brokenStream,
		"hangs":         nil,
		"first goes on": nil,
	} {
		for _, begun := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " begun ", begun), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkSecondSilent(t, third, name == "first goes on", begun) })
			})
		}
	}
}

func checkSecondSilent(t *testing.T, third func(BackendRequest) (*BackendResponse, error), firstGoesOn, begun bool) {
	t.Helper()
	h, b := newHarness(t, respondNotRun, third), &silentBackend{ended: true, hanging: 1, late: respondStream(95, nil, 1, 2, 3, 4), during: func(backend.Server) {}}
	if third == nil {
		b.hanging = 2
	}
	if firstGoesOn {
		b.ended, b.late, b.lasts = false, nil, 2*(silenceTimeout+checkInterval+probeTimeout)
	}
	out := silentRequest{path: "/s/1", begun: begun}.serve(t, t.Context(), b, h)
	if out.body.String() != events(1, 2, 3, 4) || out.aborted {
		t.Errorf("got %q, aborted %t, refused with %v", out.body.String(), out.aborted, out.refusal)
	}
	if len(b.contexts) < 3 {
		t.Errorf("%d sends", len(b.contexts))
	}
}

// Guards against work at either server after the client has left.
func TestClientThatLeavesEndsBothSends(t *testing.T) {
	for _, r := range silentRequests {
		synctest.Test(t, func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			h, b := newHarness(t), &silentBackend{ended: true, during: func(backend.Server) {}}
			h.backend.script = append(h.backend.script, func(BackendRequest) (*BackendResponse, error) {
				leave()
				return respondStream(95, nil)(BackendRequest{})
			})
			out := r.serve(t, ctx, b, h)
			if out.refusal != nil || bytes.Contains([]byte(out.body.String()), []byte("other")) {
				t.Errorf("got %q, refused with %v", out.body.String(), out.refusal)
			}
		})
	}
}
