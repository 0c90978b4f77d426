package relay

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// loseService makes the service of a request count as out of reach, since no server but its first
// answers, nor that one for the moment.
func (b *silentBackend) loseService(h *harness, first backend.Server) {
	h.relay.State.EachServer(first.Service, func(id string) {
		b.mu.Lock()
		b.hung[id] = true
		b.mu.Unlock()
	})
	for _, t := range h.othersOf(first) {
		h.relay.recordUnreached(t, syscall.ETIMEDOUT)
	}
}

// othersOf returns the other servers of a server's service.
func (h *harness) othersOf(first backend.Server) (out []*target) {
	h.relay.State.EachServer(first.Service, func(id string) {
		if id != first.ID {
			out = append(out, &target{server: backend.Server{ID: id}, service: first.Service})
		}
	})
	return out
}

// checkForwards checks that nothing is left of the forwarded calls.
func (f *scriptedForwarder) checkForwards(t *testing.T, h *harness) {
	t.Helper()
	if f.opened != f.closed {
		t.Errorf("%d of %d streams closed", f.closed, f.opened)
	}
	if _, found := h.relay.State.pickOrTryHelper(nil, []string{"d9"}, nil); !found {
		t.Error("a daemon is still being tried")
	}
}

// retriesLeft returns the number of retries in the budget of a service.
func (h *harness) retriesLeft(service string) (n int) {
	for h.relay.withdrawRetry(service, 0) {
		n++
	}
	return n
}

// Guards against requests that fail because their service seems out of reach, while no daemon takes
// them and their server, silent for a moment, would have answered.
func TestRequestStaysWithSilentServerUntilDaemonHasTakenIt(t *testing.T) {
	for name, script := range map[string]forwardScript{
		"unable":      {frames: refusal(fault.HelperUnable, fault.NotRun)},
		"leaving":     {frames: refusal(fault.ShuttingDown, fault.NotRun)},
		"unreachable": {unsent: true},
		"paused":      {frames: []ForwardFrame{accepted()}, hangs: true},
		"mute":        {hangs: true},
		"lost":        {frames: []ForwardFrame{accepted(), ran(1)}, err: errLinkBroken},
		"fails":       {frames: response(500, "failure")},
		"denies":      {frames: refusal(fault.ServerPaused, fault.NotRun)},
		"no events":   {frames: response(200)},
	} {
		for kind, r := range silentRequests {
			if name == "no events" && r.path != "/s/1" || name == "no events" && r.begun {
				continue // an empty body is a whole one, and a begun stream may have ended
			}
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t, failSend(upstream.Unreachable, false))
					daemons, b := &scriptedForwarder{script: []forwardScript{script}}, &silentBackend{}
					b.during = func(first backend.Server) { b.loseService(h, first) }
					h.relay.Forwarder = daemons
					out := r.serve(t, t.Context(), b, h)
					if out.status != 200 || out.body.String() != r.want || out.aborted || out.refusal != nil {
						t.Errorf("got %d %q, aborted %t, refused with %v", out.status, out.body.String(), out.aborted, out.refusal)
					}
					if len(daemons.calls) == 0 || len(daemons.calls) > maxForwards {
						t.Errorf("forwarded %d times", len(daemons.calls))
					}
					daemons.checkForwards(t, h)
				})
			})
		}
	}
}

// Guards against requests that wait for a server which has ended although a daemon takes them, and
// against repeats that are counted twice or not at all.
func TestRequestGoesOnAtDaemonThatTakesIt(t *testing.T) {
	for kind, r := range silentRequests {
		synctest.Test(t, func(t *testing.T) {
			service, want, frames := "app", "other", response(200, "ot", "her")
			if r.path == "/s/1" {
				service, want, frames = "lm", r.want, response(200, events(1, 2, 3)+"id: 4\n", "data: x4\n\n")
			}
			h, b := newHarness(t, failSend(upstream.Unreachable, false)), &silentBackend{ended: true}
			daemons := &scriptedForwarder{script: []forwardScript{{unsent: true}, {frames: refusal(fault.HelperUnable, fault.NotRun)}, {frames: frames}}}
			b.during, h.relay.Forwarder = func(first backend.Server) { b.loseService(h, first) }, daemons
			start := time.Now()
			out := r.serve(t, t.Context(), b, h)
			if late := time.Since(start) - silenceTimeout - checkInterval - probeTimeout; late > 0 {
				t.Errorf("%s: answered %s later than possible", kind, late)
			}
			if out.status != 200 || out.body.String() != want || out.aborted {
				t.Errorf("%s: got %d %q, refused with %v", kind, out.status, out.body.String(), out.refusal)
			}
			if !errors.Is(context.Cause(b.contexts[0]), errRerouted) || len(daemons.calls) != 3 || len(h.backend.sends) != 0 {
				t.Errorf("%s: first send ended by %v, forwarded %d times, %d sends to others", kind, context.Cause(b.contexts[0]), len(daemons.calls), len(h.backend.sends))
			}
			if last := daemons.calls[2]; !last.Resent || r.begun && r.path == "/s/1" && last.Call.LastEvent != 2 {
				t.Errorf("%s: forwarded as %+v", kind, last)
			}
			direct := newHarness(t, respond(200, "x"))
			direct.relay.recordFirstSend(service)
			if used := direct.retriesLeft(service) - h.retriesLeft(service); used != 1 {
				t.Errorf("%s: %d retries counted", kind, used)
			}
			daemons.checkForwards(t, h)
		})
	}
}

// Guards against answers of a server and a daemon that are joined, or of neither, if both respond at
// about the same time.
func TestOneOfServerAndDaemonAnswers(t *testing.T) {
	for kind, r := range silentRequests {
		for delay := time.Duration(0); delay <= silence; delay += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				frames := response(200, "ot", "her")
				if r.path == "/s/1" {
					frames = response(200, events(1, 2, 3), events(4))
				}
				h, b := newHarness(t, failSend(upstream.Unreachable, false)), &silentBackend{}
				daemons := &scriptedForwarder{script: []forwardScript{{frames: frames, mute: delay}}}
				b.during, h.relay.Forwarder = func(first backend.Server) { b.loseService(h, first) }, daemons
				out := r.serve(t, t.Context(), b, h)
				if got := out.body.String(); got != r.want && got != "other" || out.aborted || out.refusal != nil {
					t.Errorf("%s, answer of the daemon after %s: got %q, aborted %t, refused with %v", kind, delay, got, out.aborted, out.refusal)
				}
				daemons.checkForwards(t, h)
			})
		}
	}
}

// Guards against work at a server or a daemon after the client has left.
func TestClientThatLeavesEndsSendAndForward(t *testing.T) {
	for _, frames := range [][]ForwardFrame{nil, {accepted()}} {
		for kind, r := range silentRequests {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithTimeout(t.Context(), 3*silenceTimeout)
				defer leave()
				h, b := newHarness(t, failSend(upstream.Unreachable, false)), &silentBackend{ended: true}
				daemons := &scriptedForwarder{script: []forwardScript{{frames: frames, hangs: true}}}
				b.during, h.relay.Forwarder = func(first backend.Server) { b.loseService(h, first) }, daemons
				if out := r.serve(t, ctx, b, h); out.refusal != nil || len(daemons.calls) == 0 {
					t.Errorf("%s: got %q, refused with %v, forwarded %d times", kind, out.body.String(), out.refusal, len(daemons.calls))
				}
				daemons.checkForwards(t, h)
			})
		}
	}
}

// Guards against giving up a daemon that accepts a request late before another one has taken it.
func TestSilentDaemonKeepsRequestUntilAnotherHasTakenIt(t *testing.T) {
	for name, others := range map[string]forwardScript{
		"unable":      {frames: refusal(fault.HelperUnable, fault.NotRun)},
		"leaving":     {frames: refusal(fault.ShuttingDown, fault.NotRun)},
		"unreachable": {unsent: true},
		"paused":      {frames: []ForwardFrame{accepted()}, hangs: true},
		"mute":        {hangs: true},
		"lost":        {frames: []ForwardFrame{accepted(), ran(1)}, err: errLinkBroken},
		"fails":       {frames: response(500, "failure")},
		"denies":      {frames: refusal(fault.ServerPaused, fault.NotRun)},
	} {
		for _, path := range []string{"/l/1", "/s/1"} {
			for _, beside := range []bool{false, true} {
				t.Run(fmt.Sprint(name, path, " beside server ", beside), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkSilentDaemon(t, path, others, beside) })
				})
			}
		}
	}
}

// checkSilentDaemon serves a request that is forwarded to a silent daemon, which goes on, and to others.
// Beside a server means that it waits for a server that has ended.
func checkSilentDaemon(t *testing.T, path string, others forwardScript, besideServer bool) {
	t.Helper()
	want, r := "whole", silentRequest{path: path}
	if path == "/s/1" {
		want = events(1, 2)
	}
	h := newHarness(t, failSend(upstream.Unreachable, false))
	daemons := &scriptedForwarder{script: []forwardScript{{frames: response(200, want), mute: 2*forwardAcceptTimeout - checkInterval}, others}}
	h.relay.Forwarder = daemons
	var out *fakeResponseWriter
	if besideServer {
		b := &silentBackend{ended: true}
		b.during = func(first backend.Server) { b.loseService(h, first) }
		out = r.serve(t, t.Context(), b, h)
	} else {
		out = h.call(path)
	}
	if out.status != 200 || out.body.String() != want || out.aborted || out.refusal != nil {
		t.Errorf("got %d %q, aborted %t, refused with %v", out.status, out.body.String(), out.aborted, out.refusal)
	}
	if !besideServer && len(daemons.calls) < 2 {
		t.Errorf("forwarded %d times", len(daemons.calls))
	}
	daemons.checkForwards(t, h)
}

// Guards against giving up a second daemon, which would take the request, because the first one accepts it late
// and then refuses it or is lost.
func TestSecondDaemonKeepsRequestThatFirstRefusesLate(t *testing.T) {
	for name, first := range map[string]forwardScript{
		"refuses":           {frames: refusal(fault.HelperUnable, fault.NotRun)[1:]},
		"accepts, refuses":  {frames: refusal(fault.HelperUnable, fault.NotRun)},
		"accepts, is lost":  {frames: []ForwardFrame{accepted()}, err: errLinkBroken},
		"accepts, is quiet": {frames: []ForwardFrame{accepted()}, hangs: true},
	} {
		for _, path := range []string{"/l/1", "/s/1"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					want := "whole"
					if path == "/s/1" {
						want = events(1, 2)
					}
					first.mute = forwardAcceptTimeout + 200*time.Millisecond
					unable := forwardScript{frames: refusal(fault.HelperUnable, fault.NotRun)}
					h := newHarness(t, failSend(upstream.Unreachable, false))
					daemons := &scriptedForwarder{script: []forwardScript{first, {frames: response(200, want), mute: 400 * time.Millisecond}, unable}}
					h.relay.Forwarder = daemons
					if out := h.call(path); out.status != 200 || out.body.String() != want || out.aborted {
						t.Errorf("got %d %q, aborted %t, refused with %v", out.status, out.body.String(), out.aborted, out.refusal)
					}
					daemons.checkForwards(t, h)
				})
			})
		}
	}
}

// Guards against waiting for a silent daemon although another one takes the request, and against
// answers of two daemons that are joined.
func TestRequestLeavesSilentDaemonThatAnotherReplaces(t *testing.T) {
	for _, path := range []string{"/l/1", "/s/1"} {
		for late := forwardAcceptTimeout; late <= 2*silence; late += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				body, attempts := "whole", 2
				if path == "/s/1" {
					body, attempts = events(1, 2), 3
				}
				h := newHarness(t, failSend(upstream.Unreachable, false))
				daemons := &scriptedForwarder{script: []forwardScript{{frames: response(200, body), mute: late}, {frames: response(200, body), mute: silence - forwardAcceptTimeout}}}
				h.relay.Forwarder = daemons
				start := time.Now()
				if out := h.call(path); out.status != 200 || out.body.String() != body || out.aborted {
					t.Errorf("%s, first after %s: got %d %q, refused with %v", path, late, out.status, out.body.String(), out.refusal)
				}
				if took := time.Since(start); took > min(late, silence) || len(daemons.calls) > attempts {
					t.Errorf("%s, first after %s: took %s, forwarded %d times", path, late, took, len(daemons.calls))
				}
				daemons.checkForwards(t, h)
			})
		}
	}
}
