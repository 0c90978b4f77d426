package relay

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// heldBody yields a text without end and adds up what all open bodies have yielded. After a number
// of bytes it waits for ctx, as the body of a call does.
type heldBody struct {
	io.Reader
	ctx    context.Context
	held   *atomic.Int64
	yields int64
}

func (b *heldBody) Read(p []byte) (int, error) {
	if b.yields >= endlessBytes {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n, err := b.Reader.Read(p)
	b.yields += int64(n)
	b.held.Add(int64(n))
	return n, err
}

func (b *heldBody) Close() error {
	b.held.Add(-b.yields)
	return nil
}

// endlessBytes is the number of bytes that stands for no end; it is less than a long event.
const endlessBytes = maxEventBytes / 2

// repeated yields a text without end.
type repeated struct {
	text string
	at   int
}

func (r *repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.at+i)%len(r.text)]
	}
	r.at += len(p)
	return len(p), nil
}

// Guards against bodies without end that together take more memory than the budget, and against
// memory that stays in use after they have ended.
func TestBodiesWithoutEndStayWithinBudget(t *testing.T) {
	const responses = 100 // each has a buffer of writeChunkBytes besides
	for text, path := range map[string]string{"x": "/s/1", "data: x\n": "/s/1", "y": "/p/1"} {
		synctest.Test(t, func(t *testing.T) {
			var held atomic.Int64
			ctx, disconnect := context.WithCancel(t.Context())
			h := newFlowHarness(t, func(BackendRequest) (*BackendResponse, error) {
				body := &heldBody{Reader: &repeated{text: text}, ctx: ctx, held: &held}
				return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: 90, ContentLength: -1, Body: body}, nil
			})
			var ended []<-chan struct{}
			for range responses {
				ended = append(ended, h.start(ctx, path, "", newSlowResponseWriter()))
			}
			synctest.Wait()
			if accounted := h.relay.flow.ledger.Held(); held.Load() > testBudget+responses*writeChunkBytes || accounted > testBudget {
				t.Errorf("%q: %d bytes are held, %d accounted for, of %d", text, held.Load(), accounted, testBudget)
			}
			disconnect()
			for _, done := range ended {
				<-done
			}
			if left := h.relay.flow.ledger.Held(); left != 0 {
				t.Errorf("%q: %d bytes are accounted for at the end", text, left)
			}
		})
	}
}

// Guards against a body without end that is delivered as complete, or allocated by a length that its
// server states.
func TestBodyWithoutEndIsAborted(t *testing.T) {
	for _, length := range []int64{-1, math.MaxInt64} {
		h := newFlowHarness(t, func(BackendRequest) (*BackendResponse, error) {
			body := io.MultiReader(io.LimitReader(&repeated{text: "x"}, 4*testBudget), failingReader{context.DeadlineExceeded})
			return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: length, Body: io.NopCloser(body)}, nil
		})
		out := &fakeResponseWriter{}
		<-h.start(t.Context(), "/l/1", "", out)
		if !out.aborted || out.body.Len() != 4*testBudget || len(h.backend.sends) != 1 || h.relay.flow.ledger.Held() != 0 {
			t.Errorf("length %d: aborted %t after %d bytes, %d sends, %d bytes held", length, out.aborted, out.body.Len(), len(h.backend.sends), h.relay.flow.ledger.Held())
		}
	}
}

// Guards against losing long events, and against memory that stays reserved for them.
func TestLongEventsAreForwarded(t *testing.T) {
	event := func(id, text string) string { return "id: " + id + "\ndata: " + strings.Repeat(text, 100<<10) + "\n\n" }
	stream := event("1", "a") + event("2", "b") + "id: 3\ndata: c\n\n"
	h := newFlowHarness(t, func(BackendRequest) (*BackendResponse, error) {
		return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: 90, ContentLength: -1, Body: io.NopCloser(strings.NewReader(stream))}, nil
	})
	out := &fakeResponseWriter{}
	<-h.start(t.Context(), "/s/1", "", out)
	if out.body.String() != stream || out.aborted || h.relay.flow.ledger.Held() != 0 {
		t.Errorf("got %d bytes of %d, aborted %t, %d bytes held", out.body.Len(), len(stream), out.aborted, h.relay.flow.ledger.Held())
	}
}

// Guards against heads of responses that together take more memory than the budget, and against
// memory that stays reserved for them.
func TestLongHeadsStayWithinBudget(t *testing.T) {
	const sends, headBytes = 100, 8 << 10
	var used int64
	h := newFlowHarness(t, func(req BackendRequest) (*BackendResponse, error) {
		for step := range int64(headBytes / 1024) {
			if err := req.GrowHead(1024); err != nil {
				used -= step * 1024 * heldPerHeadByte // the send ends with what it has read
				return nil, &upstream.Error{Reason: upstream.InvalidResponse, Sent: true, Err: err}
			}
			used += 1024 * heldPerHeadByte
		}
		return respond(200, "x")(req)
	})
	for range sends {
		call := &Call{ID: "id1", Host: "h", Method: "POST", Target: "/p/1", Path: "/p/1", Key: "k", LastEvent: NoEvent, Received: time.Now(), Held: h.relay.Hold()}
		defer call.Held.Release()
		h.serve(call, &fakeResponseWriter{})
	}
	if used > testBudget || used < headBytes*heldPerHeadByte {
		t.Errorf("%d bytes are used of %d", used, testBudget)
	}
}
