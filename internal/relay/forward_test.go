package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// scriptedForwarder is a Forwarder whose daemons respond with the script's entries in order.
type scriptedForwarder struct {
	script []forwardScript
	calls  []ForwardedCall
	to     []string
	// opened and closed are the numbers of streams.
	opened, closed int
}

// forwardScript is the response of a daemon: frames, and then err, or io.EOF if it is nil.
type forwardScript struct {
	frames []ForwardFrame
	err    error
	// unsent makes the daemon unreachable.
	unsent bool
	// hangs makes it say nothing after the frames. mute precedes the first frame, and delay the second.
	hangs       bool
	mute, delay time.Duration
}

func (f *scriptedForwarder) Targets() []string { return []string{"d2", "d3", "d4", "d5", "d6"} }

func (f *scriptedForwarder) DoubtfulTargets() []string { return nil }

func (f *scriptedForwarder) Forward(_ context.Context, address string, call ForwardedCall) (ForwardStream, bool, error) {
	script := f.script[min(len(f.calls), len(f.script)-1)]
	f.calls, f.to = append(f.calls, call), append(f.to, address)
	if script.unsent {
		return nil, false, errors.New("connection refused")
	}
	f.opened++
	return &scriptedStream{forwardScript: script, onClose: func() { f.closed++ }}, true, nil
}

type scriptedStream struct {
	forwardScript
	onClose func()
}

// wait waits for the next frame.
func (s *scriptedStream) wait(ctx context.Context) error {
	var arrives <-chan time.Time
	if len(s.frames) > 0 || !s.hangs {
		if s.mute == 0 {
			return nil
		}
		arrives = time.After(s.mute)
		s.mute, s.delay = s.delay, 0
	}
	select {
	case <-arrives:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (s *scriptedStream) Receive(ctx context.Context) (ForwardFrame, error) {
	if err := s.wait(ctx); err != nil {
		return ForwardFrame{}, err
	}
	if len(s.frames) > 0 {
		frame := s.frames[0]
		s.frames = s.frames[1:]
		return frame, nil
	}
	if s.err != nil {
		return ForwardFrame{}, s.err
	}
	return ForwardFrame{}, io.EOF
}

func (s *scriptedStream) Close() { s.onClose() }

var errLinkBroken = errors.New("link broken")

func accepted() ForwardFrame { return ForwardFrame{} }

func ran(runs int) ForwardFrame { return ForwardFrame{Runs: runs} }

func response(status int, bodies ...string) []ForwardFrame {
	frames := []ForwardFrame{accepted(), ran(1), {Status: status, Header: http.Header{}, Length: -1, Runs: 1}}
	for _, body := range bodies {
		frames = append(frames, ForwardFrame{Body: []byte(body), Runs: 1})
	}
	return frames
}

func refusal(kind fault.Kind, execution fault.ExecutionState) []ForwardFrame {
	return []ForwardFrame{accepted(), {Refusal: fault.New(kind, "test").WithExecution(execution).Encode()}}
}

// Guards against forwarded requests that run twice, are refused untruly, or are given up although
// another daemon may serve them.
func TestForwardedRequestGoesOnOnlyIfItMay(t *testing.T) {
	ok := forwardScript{frames: response(200, "ok")}
	for _, tt := range []struct {
		name, path string
		script     []forwardScript
		// status is that of the response, and kind that of the refusal if it is zero.
		status int
		kind   fault.Kind
		ran    fault.ExecutionState
		calls  int
	}{
		{"served", "/p/x", []forwardScript{ok}, 200, "", "", 1},
		{"daemon unreachable", "/p/x", []forwardScript{{unsent: true}, ok}, 200, "", "", 2},
		{"daemon out of reach as well", "/p/x", []forwardScript{{frames: refusal(fault.HelperUnable, fault.NotRun)}, ok}, 200, "", "", 2},
		{"daemon leaves", "/p/x", []forwardScript{{frames: refusal(fault.ShuttingDown, fault.NotRun)}, ok}, 200, "", "", 2},
		{"servers want a pause", "/p/x", []forwardScript{{frames: refusal(fault.ServerPaused, fault.NotRun)}, ok}, 0, fault.ServerPaused, fault.NotRun, 1},
		{"link breaks, once at most", "/p/x", []forwardScript{{frames: []ForwardFrame{accepted()}, err: errLinkBroken}, ok}, 0, fault.EngineFailed, fault.Unknown, 1},
		{"link breaks in the body, once at most", "/p/x", []forwardScript{{frames: response(200, "o"), err: errLinkBroken}, ok}, 0, fault.EngineFailed, fault.Unknown, 1},
		{"link breaks, repeatable", "/l/x", []forwardScript{{frames: []ForwardFrame{accepted()}, err: errLinkBroken}, ok}, 200, "", "", 2},
		{"link breaks after all runs", "/l/x", []forwardScript{{frames: []ForwardFrame{accepted(), ran(1), ran(2)}, err: errLinkBroken}, ok}, 0, fault.EngineFailed, fault.Unknown, 1},
		{"run failed", "/p/x", []forwardScript{{frames: refusal(fault.EngineFailed, fault.Unknown)}, ok}, 0, fault.EngineFailed, fault.Unknown, 1},
		{"server's failure", "/p/x", []forwardScript{{frames: response(500, "bad")}, ok}, 500, "", "", 1},
		{"aborted", "/p/x", []forwardScript{{frames: append(response(200, "o"), ForwardFrame{Aborted: true})}, ok}, 0, fault.EngineFailed, fault.Unknown, 1},
	} {
		h := newHarness(t, failSend(upstream.Unreachable, false))
		forwarder := &scriptedForwarder{script: tt.script}
		h.relay.Forwarder = forwarder
		out := h.call(tt.path)
		kind, execution := fault.Kind(""), fault.ExecutionState("")
		if out.refusal != nil {
			kind, execution = out.refusal.Kind, out.refusal.ExecutionState()
		}
		if out.status != tt.status || kind != tt.kind || execution != tt.ran || len(forwarder.calls) != tt.calls {
			t.Errorf("%s: status %d, refusal %s %s, %d calls, want %d, %s %s, %d", tt.name, out.status, kind, execution, len(forwarder.calls), tt.status, tt.kind, tt.ran, tt.calls)
		}
		if slices.Sort(forwarder.to); len(slices.Compact(slices.Clone(forwarder.to))) != len(forwarder.to) {
			t.Errorf("%s: forwarded twice to one daemon: %v", tt.name, forwarder.to)
		}
	}
}

// Guards against streams with gaps or repeated events when the daemon that serves them is lost.
func TestForwardedStreamResumesAtAnotherDaemon(t *testing.T) {
	h := newHarness(t, failSend(upstream.Unreachable, false))
	forwarder := &scriptedForwarder{script: []forwardScript{
		{frames: response(200, "id: 0\ndata: x0\n\nid: 1\ndata: x1\n\n", "id: 2\nda"), err: errLinkBroken},
		{frames: response(200, "id: 2\ndata: x2\n\n")},
	}}
	h.relay.Forwarder = forwarder
	out := h.call("/s/x")
	if want := "id: 0\ndata: x0\n\nid: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"; out.body.String() != want || out.aborted {
		t.Errorf("got %q, aborted %t", out.body.String(), out.aborted)
	}
	if len(forwarder.calls) != 2 || forwarder.calls[1].Call.LastEvent != 1 || forwarder.calls[0].MaxRuns != 3 || forwarder.calls[1].MaxRuns != 2 {
		t.Errorf("forwarded as %+v", forwarder.calls)
	}
}

// relayForwarder forwards to another relay.
type relayForwarder struct {
	to       *Relay
	forwards int
	// targets are the addresses of the daemon; nil means one.
	targets []string
}

func (f *relayForwarder) Targets() []string {
	if f.targets != nil {
		return f.targets
	}
	return []string{"d2"}
}

func (f *relayForwarder) DoubtfulTargets() []string { return nil }

func (f *relayForwarder) Forward(ctx context.Context, _ string, call ForwardedCall) (ForwardStream, bool, error) {
	f.forwards++
	var frames []ForwardFrame
	f.to.ServeForwarded(context.WithoutCancel(ctx), "d1", call, func(frame ForwardFrame) error {
		frames = append(frames, frame)
		return nil
	})
	return &scriptedStream{forwardScript: forwardScript{frames: frames}, onClose: func() {}}, true, nil
}

// Guards against requests that go from daemon to daemon, and against daemons that cannot serve and
// say that the request may have run.
func TestRequestIsForwardedOnce(t *testing.T) {
	near, far := newHarness(t, failSend(upstream.Unreachable, false)), newHarness(t, failSend(upstream.Unreachable, false))
	toFar, toNear := &relayForwarder{to: far.relay}, &relayForwarder{to: near.relay}
	near.relay.Forwarder, far.relay.Forwarder = toFar, toNear
	out := near.call("/p/x")
	if out.refusal == nil || out.refusal.ExecutionState() != fault.NotRun || toNear.forwards != 0 {
		t.Errorf("refused with %v, forwarded back %d times", out.refusal, toNear.forwards)
	}
	far.backend.script = []func(BackendRequest) (*BackendResponse, error){respond(200, "ok")}
	far.relay.recordReached(&target{service: "app"})
	near.clock.now += 2 * time.Second
	if out := near.call("/p/x"); out.status != 200 || out.body.String() != "ok" {
		t.Errorf("status %d, refusal %v", out.status, out.refusal)
	}
}

// Guards against a forwarded request that counts as the first one for the retry budgets of two
// daemons, which would allow more retries than there are.
func TestForwardedRequestIsDepositedOnce(t *testing.T) {
	near, far := newHarness(t, failSend(upstream.Unreachable, false)), newHarness(t, respond(200, "ok"))
	near.relay.Forwarder = &relayForwarder{to: far.relay}
	near.relay.State.SetDaemons(2)
	far.relay.State.SetDaemons(2)
	const calls = 20
	for range calls {
		near.call("/l/x")
	}
	withdrawn := 0
	for _, r := range []*Relay{near.relay, far.relay} {
		for r.withdrawRetry("app", 0) {
			withdrawn++
		}
	}
	// Two daemons share the reserve, of which one gets all calls and forwards none.
	direct, idle := newHarness(t, respond(200, "ok")), newHarness(t, respond(200, "ok"))
	for range calls {
		direct.call("/l/x")
	}
	allowed := 0
	for _, r := range []*Relay{direct.relay, idle.relay} {
		for r.withdrawRetry("app", 0) {
			allowed++
		}
	}
	if withdrawn > allowed+1 {
		t.Errorf("%d retries for %d forwarded requests, %d without forwarding", withdrawn, calls, allowed)
	}
}

// Guards against older configurations that apply to requests of a daemon with a newer one.
func TestForwardedRequestNeedsConfigurationOfForwardingDaemon(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	for version, want := range map[int64]string{0: "", 1: "", 2: string(fault.ConfigurationStale)} {
		var kinds []string
		call := Call{ID: "1", Host: "h", Path: "/p/x", Target: "/p/x", Key: "k", LastEvent: NoEvent}
		h.relay.ServeForwarded(t.Context(), "d1", ForwardedCall{Call: call, RemainingMillis: 1000, MaxRuns: 1, ConfigVersion: version}, func(f ForwardFrame) error {
			if f.Refusal != nil {
				kinds = append(kinds, string(f.Refusal.Kind))
			}
			return nil
		})
		if got := strings.Join(kinds, " "); got != want {
			t.Errorf("version %d: refused with %q, want %q", version, got, want)
		}
	}
}

// Guards against a daemon that takes servers that have terminated for a loss of its links, and then
// refuses requests that the others could run.
func TestTerminatedServersAreNoLossOfLinks(t *testing.T) {
	for _, terminated := range []bool{false, true} {
		h := newHarness(t, respond(200, "ok"))
		var ids []string
		h.relay.State.EachServer("app", func(id string) { ids = append(ids, id) })
		for _, id := range ids[:2] {
			if terminated {
				h.relay.RecordTermination(id)
			}
			h.relay.recordUnreached(&target{server: backend.Server{ID: id}, service: "app"}, syscall.ECONNRESET)
		}
		if lost := h.relay.State.outOfReach("app"); lost == terminated {
			t.Errorf("terminated %t: out of reach %t", terminated, lost)
		}
	}
}

// Guards against a request that reaches one server for each daemon it is forwarded to, without a
// retry in any budget, while servers reject it.
func TestRejectedForwardedRequestDrawsOnRetryBudget(t *testing.T) {
	for _, path := range []string{"/p/x", "/l/x"} {
		near, far := newHarness(t, failSend(upstream.Unreachable, false)), newHarness(t, respondNotRun)
		near.relay.Forwarder = &relayForwarder{to: far.relay, targets: []string{"d2", "d3", "d4", "d5"}}
		for _, r := range []*Relay{near.relay, far.relay} {
			r.options.RetryBudgetRatio, r.reserveShare.Reserve = 0, 0
		}
		out := near.call(path)
		if arrivals := len(far.backend.sends); arrivals != 1 || out.refusal == nil || out.refusal.ExecutionState() != fault.NotRun {
			t.Errorf("%s: %d arrivals without a retry budget, refusal %v", path, arrivals, out.refusal)
		}
	}
}

// Guards against heads of forwarded requests that are in nobody's account at the daemon that serves them.
func TestHeadOfForwardedRequestIsAccountedFor(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	h.relay.flow = newFlowControl(100<<10, h.relay.Metrics, h.relay.log)
	for lines, want := range map[int]string{10: "", 1000: string(fault.HelperUnable)} {
		header := http.Header{}
		for i := range lines {
			header.Set(fmt.Sprint("A", i), "")
		}
		kind := ""
		call := Call{ID: "1", Host: "h", Path: "/p/x", Target: "/p/x", Key: "k", LastEvent: NoEvent, Header: header}
		h.relay.ServeForwarded(t.Context(), "d1", ForwardedCall{Call: call, RemainingMillis: 1000, MaxRuns: 1}, func(f ForwardFrame) error {
			if f.Refusal != nil {
				kind = string(f.Refusal.Kind)
			}
			return nil
		})
		if kind != want {
			t.Errorf("%d lines: refused with %q, want %q", lines, kind, want)
		}
	}
	if held := h.relay.flow.ledger.Held(); held != 0 {
		t.Errorf("%d bytes are held afterwards", held)
	}
}
