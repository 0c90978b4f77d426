package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// largerBackend is a backend whose larger models do not respond if they hang.
type largerBackend struct {
	*fakeBackend
	hangs    bool
	contexts []context.Context
}

func (b *largerBackend) Send(ctx context.Context, s BackendRequest) (*BackendResponse, error) {
	b.mu.Lock()
	b.contexts = append(b.contexts, ctx)
	b.mu.Unlock()
	if b.hangs && s.Model != "small" {
		<-ctx.Done()
		return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.Cause(ctx)}
	}
	return b.fakeBackend.Send(ctx, s)
}

func (b *largerBackend) Probe(ctx context.Context, _ backend.Server, _ bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// escalate serves a request whose smaller model is not sure of its answer.
func escalate(t *testing.T, h *harness, b *largerBackend, last int64) *fakeResponseWriter {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	b.fakeBackend, h.relay.backend, h.relay.liveness.backend = h.backend, b, b
	go h.relay.liveness.run(ctx)
	prompt := Prompt{Tokens: 100, MaxCompletionTokens: 20, Parts: []PromptPart{{1, 50}, {2, 50}}}
	out := &fakeResponseWriter{}
	h.serve(&Call{ID: "i", Host: "h", Path: "/s/1", Key: "k", Model: AnyModel, Prompt: prompt, LastEvent: last, Received: time.Now()}, out)
	for i, ctx := range b.contexts {
		if ctx.Err() == nil {
			t.Errorf("send %d goes on", i)
		}
	}
	if held, n := h.relay.flow.ledger.Held(), h.inFlight(); held != 0 || n != 0 {
		t.Errorf("%d bytes held, %d requests in flight", held, n)
	}
	return out
}

func numbers(from, to int) (out []int) {
	for i := from; i <= to; i++ {
		out = append(out, i)
	}
	return out
}

// Guards against dropping the answer of a smaller model before a larger one has taken the request.
func TestAnswerOfSmallerModelIsKeptUntilLargerHasTakenIt(t *testing.T) {
	long := numbers(1, heldBackBytes/len(events(1))*2)
	for name, tt := range map[string]struct {
		larger func(BackendRequest) (*BackendResponse, error)
		ids    []int
		last   int64
		hangs  bool
	}{
		"full":           {larger: respondNotRun},
		"unreachable":    {larger: failSend(upstream.Unreachable, false)},
		"loses it":       {larger: failSend(upstream.ConnectionLost, true)},
		"fails":          {larger: respond(500, "failure")},
		"empty stream":   {larger: brokenStream},
		"missing event":  {larger: respondStream(95, nil, 4, 5), ids: numbers(2, 3), last: 1},
		"hangs":          {hangs: true},
		"hangs, resumed": {hangs: true, ids: numbers(2, 3), last: 1},
		"full, long":     {larger: respondNotRun, ids: long},
		"hangs, long":    {hangs: true, ids: long},
		"unauthenticated": {larger: func(BackendRequest) (*BackendResponse, error) {
			return &BackendResponse{Status: 200, Body: http.NoBody}, nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ids, last := tt.ids, tt.last
				if ids == nil {
					ids = numbers(1, 2)
				}
				if last == 0 {
					last = NoEvent
				}
				h, b := newHarness(t, respondStream(10, nil, ids...), tt.larger), &largerBackend{hangs: tt.hangs}
				out := escalate(t, h, b, last)
				if out.status != 200 || out.body.String() != events(ids...) || out.aborted {
					t.Errorf("got %d, %d bytes, aborted %t, refused with %v", out.status, out.body.Len(), out.aborted, out.refusal)
				}
				if len(b.contexts) < 2 {
					t.Errorf("%d sends", len(b.contexts))
				}
			})
		})
	}
}

// Guards against a smaller model that works on when a larger one has taken the request, and against
// answers of two models that are joined.
func TestLargerModelEndsRunOfSmaller(t *testing.T) {
	for _, smaller := range []error{nil, errors.New("reset")} {
		for _, count := range []int{2, 2 * heldBackBytes / len(events(1))} {
			synctest.Test(t, func(t *testing.T) {
				large := func(s BackendRequest) (*BackendResponse, error) {
					time.Sleep(100 * time.Millisecond)
					return respondStream(95, nil, 1, 2, 3)(s)
				}
				h, b := newHarness(t, respondStream(10, smaller, numbers(1, count)...), large), &largerBackend{}
				if out := escalate(t, h, b, NoEvent); out.body.String() != events(1, 2, 3) || len(b.contexts) != 2 {
					t.Errorf("got %d bytes after %d sends, refused with %v", out.body.Len(), len(b.contexts), out.refusal)
				}
			})
		}
	}
}
