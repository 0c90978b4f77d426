package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// panickingReader panics after its reader's end.
type panickingReader struct{ io.Reader }

func (r panickingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		panic("broken")
	}
	return n, err
}

// respondPanicking responds with a body that panics after its first bytes.
func respondPanicking(body string) func(BackendRequest) (*BackendResponse, error) {
	return func(BackendRequest) (*BackendResponse, error) {
		return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, Confidence: 90, ContentLength: -1, Body: io.NopCloser(panickingReader{strings.NewReader(body)})}, nil
	}
}

// panickingWriter panics as it writes a body. It implements ResponseWriter.
type panickingWriter struct{ fakeResponseWriter }

func (*panickingWriter) WriteBody([]byte) error { panic("broken") }

// Guards against panics that leave a request without an answer, state falsely that it has not run, end
// the whole daemon, or leave memory, load or suspicions behind.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	panics := func(BackendRequest) (*BackendResponse, error) { panic("broken") }
	for _, tt := range []struct {
		name, path string
		send       func(BackendRequest) (*BackendResponse, error)
		prepare    func(r *Relay)
		writes     bool
		// state is that of the refusal; empty if the response is aborted.
		state fault.ExecutionState
	}{
		{"before admission", "/p/x", nil, func(r *Relay) { r.ConfigOutdated = func() bool { panic("broken") } }, false, fault.NotRun},
		{"before a send", "/p/x", nil, func(r *Relay) { r.Rollouts = nil }, false, fault.NotRun},
		{"in a send", "/p/x", panics, nil, false, fault.Unknown},
		{"in a repeatable send", "/l/x", panics, nil, false, fault.Unknown},
		{"in a buffered response", "/p/x", respondPanicking("part"), nil, false, fault.Unknown},
		{"before the first event", "/s/x", respondPanicking(""), nil, false, fault.Unknown},
		{"after the first event", "/s/x", respondPanicking(events(1)), nil, false, ""},
		{"writing a buffered response", "/p/x", respond(200, "paid"), nil, true, ""},
		{"writing a stream", "/s/x", respondStream(90, nil, 1, 2), nil, true, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newFlowHarness(t, tt.send)
				scope, lines := tally.NewTestScope("", nil), &bytes.Buffer{}
				h.relay.Metrics.Panics, h.relay.log = scope.Counter("panics"), log.New(lines)
				if tt.prepare != nil {
					tt.prepare(h.relay)
				}
				w := &panickingWriter{}
				recorded, out := &w.fakeResponseWriter, ResponseWriter(&w.fakeResponseWriter)
				if tt.writes {
					out = w
				}
				<-h.start(t.Context(), tt.path, "body", out)
				switch e := recorded.refusal; {
				case tt.state == "" && (!recorded.aborted || e != nil):
					t.Errorf("aborted %t, refused with %v", recorded.aborted, e)
				case tt.state != "" && (recorded.aborted || e == nil || e.Kind != fault.Internal || e.ExecutionState() != tt.state):
					t.Errorf("aborted %t, refused with %v, state %s", recorded.aborted, e, tt.state)
				}
				if n := scope.Snapshot().Counters()["panics+"].Value(); n != 1 || strings.Count(lines.String(), "stack=") != 1 {
					t.Errorf("%d panics counted, lines:\n%s", n, lines)
				}
				checkReleased(t, h, tt.path)
			})
		})
	}
}

// checkReleased checks that a request to a path holds nothing any more.
func checkReleased(t *testing.T, h *harness, path string) {
	t.Helper()
	if h.relay.ActiveRequests() != 0 || h.inFlight() != 0 || h.relay.flow.ledger.Held() != 0 || len(h.relay.flow.requests) != 0 || len(h.relay.liveness.servers) != 0 {
		t.Errorf("%d requests active, %d in flight, %d bytes held for %d requests, %d servers monitored",
			h.relay.ActiveRequests(), h.inFlight(), h.relay.flow.ledger.Held(), len(h.relay.flow.requests), len(h.relay.liveness.servers))
	}
	time.Sleep(time.Minute) // virtual; ended sends are suspects for a while
	for _, s := range h.backend.sends {
		h.relay.Guard.ServerRestarted(containment.Server{ID: s.Server.ID})
	}
	identity := quarantine.Identity{Request: quarantine.FingerprintOf("w", "h", http.MethodPost, path, []byte("body"))}
	if crashes := h.relay.Guard.Check(identity).Crashes; crashes != 0 {
		t.Errorf("suspected of %d crashes long after its end", crashes)
	}
}

// Guards against a forwarded request whose panic ends the daemon that serves it, or is answered as if
// it had not run.
func TestPanicOfForwardedRequestIsRefused(t *testing.T) {
	h := newHarness(t, func(BackendRequest) (*BackendResponse, error) { panic("broken") })
	var last ForwardFrame
	call := Call{ID: "1", Host: "h", Path: "/p/x", Target: "/p/x", Key: "k", LastEvent: NoEvent}
	h.relay.ServeForwarded(t.Context(), "d1", ForwardedCall{Call: call, RemainingMillis: 1000, MaxRuns: 1}, func(f ForwardFrame) error {
		last = f
		return nil
	})
	if last.Refusal == nil || last.Refusal.Kind != fault.Internal || last.Refusal.Execution != fault.Unknown || last.Runs != 1 {
		t.Errorf("last frame %+v", last)
	}
	if h.relay.forwardedCalls != 0 || h.relay.ActiveRequests() != 0 || h.inFlight() != 0 {
		t.Errorf("%d forwarded, %d active, %d in flight", h.relay.forwardedCalls, h.relay.ActiveRequests(), h.inFlight())
	}
}
