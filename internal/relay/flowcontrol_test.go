package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

const testBudget = 1 << 20

// slowResponseWriter is a client that reads nothing until reads is closed.
type slowResponseWriter struct {
	fakeResponseWriter
	reads, interrupted chan struct{}
}

func newSlowResponseWriter() *slowResponseWriter {
	return &slowResponseWriter{reads: make(chan struct{}), interrupted: make(chan struct{})}
}

func (w *slowResponseWriter) WriteBody(p []byte) error {
	select {
	case <-w.reads:
		return w.fakeResponseWriter.WriteBody(p)
	case <-w.interrupted:
		return errors.New("interrupted")
	}
}

func (w *slowResponseWriter) Interrupt() {
	select {
	case <-w.interrupted:
	default:
		close(w.interrupted)
	}
}

// eventSource is a stream of numbered events; a negative count is endless.
type eventSource struct {
	next, count int
	rest        []byte
}

func (s *eventSource) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if s.next == s.count {
			return 0, io.EOF
		}
		s.next++
		s.rest = fmt.Appendf(nil, "id: %d\ndata: x%d\n\n", s.next, s.next)
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func respondEvents(count int) func(BackendRequest) (*BackendResponse, error) {
	return func(BackendRequest) (*BackendResponse, error) {
		return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: 90, ContentLength: -1, Body: io.NopCloser(&eventSource{count: count})}, nil
	}
}

func newFlowHarness(t *testing.T, script ...func(BackendRequest) (*BackendResponse, error)) *harness {
	h := newHarness(t, script...)
	h.relay.flow = newFlowControl(testBudget, h.relay.Metrics, log.New(io.Discard))
	return h
}

// start serves a call in the background. The returned channel is closed when it has ended.
func (h *harness) start(ctx context.Context, path, body string, out ResponseWriter) <-chan struct{} {
	ended := make(chan struct{})
	call := &Call{ID: "id1", Host: "h", Method: "POST", Target: path, Path: path, Key: "k", Body: []byte(body), LastEvent: NoEvent, Received: time.Now()}
	if strings.HasPrefix(path, "/s/") {
		call.Model = AnyModel
	}
	go func() {
		defer close(ended)
		h.relay.Serve(ctx, call, out)
	}()
	return ended
}

func numberedEvents(count int) string {
	all, err := io.ReadAll(&eventSource{count: count})
	if err != nil {
		panic(err)
	}
	return string(all)
}

// Guards against servers that wait for a client which reads slowly, and against responses that
// lose or reorder what such a client has not read.
func TestServerIsFreeWhileClientReadsSlowly(t *testing.T) {
	for path, respondWith := range map[string]func(BackendRequest) (*BackendResponse, error){
		"/s/1": respondEvents(500), "/p/1": respond(200, numberedEvents(500)),
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newFlowHarness(t, respondWith)
			out := newSlowResponseWriter()
			ended := h.start(t.Context(), path, "request", out)
			synctest.Wait()
			if n := h.inFlight(); n != 0 {
				t.Errorf("%s: %d requests in flight at the server", path, n)
			}
			if held, want := h.relay.flow.ledger.Held(), int64(len(numberedEvents(500))); held != want {
				t.Errorf("%s: %d bytes held, want those of the response, %d", path, held, want)
			}
			close(out.reads)
			<-ended
			if out.body.String() != numberedEvents(500) || out.aborted || h.relay.flow.ledger.Held() != 0 {
				t.Errorf("%s: got %d bytes, aborted %t, %d bytes held", path, out.body.Len(), out.aborted, h.relay.flow.ledger.Held())
			}
		})
	}
}

// Guards against slow readers that together exceed the memory or stop the streams of others, and
// against memory that stays in use after clients have left.
func TestSlowReadersStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFlowHarness(t, respondEvents(-1))
		ctx, disconnect := context.WithCancel(t.Context())
		var ended []<-chan struct{}
		for range 300 {
			ended = append(ended, h.start(ctx, "/s/1", "", newSlowResponseWriter()))
		}
		synctest.Wait()
		if n := len(h.backend.sends); n < 200 {
			t.Fatalf("%d streams were started", n)
		}
		h.backend.script = []func(BackendRequest) (*BackendResponse, error){respondEvents(5000)}
		out := &fakeResponseWriter{}
		<-h.start(t.Context(), "/s/1", "", out)
		if out.body.String() != numberedEvents(5000) {
			t.Errorf("a client that keeps up got %d bytes", out.body.Len())
		}
		if held := h.relay.flow.ledger.Held(); held > testBudget {
			t.Errorf("%d bytes held of %d", held, testBudget)
		}
		disconnect()
		for _, done := range ended {
			<-done
		}
		if held := h.relay.flow.ledger.Held(); held != 0 || len(h.relay.flow.requests) != 0 || h.inFlight() != 0 {
			t.Errorf("after all have left, %d bytes held for %d requests, %d in flight", held, len(h.relay.flow.requests), h.inFlight())
		}
	})
}

// Guards against clients that never read and hold memory for good, and against running their
// request again when they are cut.
func TestStalledClientIsCut(t *testing.T) {
	for path, respondWith := range map[string]func(BackendRequest) (*BackendResponse, error){
		"/s/1": respondEvents(-1), "/l/1": respond(200, "found"),
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newFlowHarness(t, respondWith)
			out := newSlowResponseWriter()
			ended := h.start(t.Context(), path, "", out)
			time.Sleep(minStallTimeout)
			h.relay.flow.check(t.Context(), time.Now())
			select {
			case <-ended:
				t.Errorf("%s: cut before the timeout", path)
			default:
			}
			time.Sleep(time.Millisecond)
			h.relay.flow.check(t.Context(), time.Now())
			<-ended
			if len(h.backend.sends) != 1 || h.relay.flow.ledger.Held() != 0 {
				t.Errorf("%s: sent %d times, %d bytes held", path, len(h.backend.sends), h.relay.flow.ledger.Held())
			}
		})
	}
}

// Guards against repeating a stream at another server because its client reads slowly.
func TestPausedStreamIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFlowHarness(t, respondEvents(-1))
		ctx, disconnect := context.WithCancel(t.Context())
		paused := h.start(ctx, "/s/1", "", newSlowResponseWriter())
		synctest.Wait()
		h.relay.liveness.mu.Lock()
		for _, srv := range h.relay.liveness.servers {
			for a := range srv.attempts {
				if a.stuck(time.Now().Add(time.Minute), true) {
					t.Error("a paused stream is stuck")
				}
			}
		}
		h.relay.liveness.mu.Unlock()
		disconnect()
		<-paused
	})
}

// Guards against reading a body for which there is no memory, and against refusing small requests
// beside large ones.
func TestBodyWithoutMemoryIsRefusedUnread(t *testing.T) {
	h := newFlowHarness(t)
	for _, length := range []int64{testBudget, -1} {
		body := bytes.NewReader(make([]byte, testBudget))
		held := h.relay.Hold()
		_, err := held.ReadBody(body, length)
		held.Release()
		refusal := fault.FromError(err)
		if refusal.Kind != fault.Overloaded || refusal.ExecutionState() != fault.NotRun || refusal.RetryDelay() <= 0 {
			t.Errorf("length %d: %v", length, err)
		}
		if read := testBudget - body.Len(); read > testBudget/2 || length > 0 && read > 0 {
			t.Errorf("length %d: %d bytes were read", length, read)
		}
	}
	large, small := h.relay.Hold(), h.relay.Hold()
	_, _ = large.ReadBody(bytes.NewReader(make([]byte, testBudget/2)), testBudget/2)
	if body, err := small.ReadBody(strings.NewReader("small"), -1); err != nil || string(body) != "small" {
		t.Errorf("a small body: %q, %v", body, err)
	}
	large.Release()
	small.Release()
	if held := h.relay.flow.ledger.Held(); held != 0 {
		t.Errorf("%d bytes held at the end", held)
	}
}

// Guards against losing a response for which there is no room.
func TestResponseWithoutRoomIsForwardedUnbuffered(t *testing.T) {
	long := strings.Repeat("x", 2*testBudget)
	for _, length := range []int64{int64(len(long)), -1} {
		h := newFlowHarness(t, func(BackendRequest) (*BackendResponse, error) {
			return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: length, Body: io.NopCloser(strings.NewReader(long))}, nil
		})
		out := &fakeResponseWriter{}
		<-h.start(t.Context(), "/p/1", "", out)
		if out.body.String() != long || out.aborted || h.relay.flow.ledger.Held() != 0 {
			t.Errorf("length %d: got %d bytes, aborted %t, %d bytes held", length, out.body.Len(), out.aborted, h.relay.flow.ledger.Held())
		}
	}
}
