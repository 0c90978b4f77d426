package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Guards against waiting until the deadline for a response that was lost on an open
// connection, while the server responds to later requests.
func TestOvertakenRequestIsStuck(t *testing.T) {
	monitor := newHarness(t, respond(200, "")).relay.liveness
	rt := &route.Route{LatencyTarget: 10 * time.Second}
	on := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm", expectedLatency: 100 * time.Millisecond}
	reroute := func(bool) bool { return true }
	first := monitor.track(on, true, rt, 3, reroute)
	later := monitor.track(on, true, rt, 3, reroute)
	first.sentAt = later.sentAt.Add(-time.Second)
	now := later.sentAt
	if first.stuck(now, true) {
		t.Fatal("stuck although no later request was responded to")
	}
	monitor.recordHeader(later)
	if !first.stuck(now, true) {
		t.Fatal("not stuck although overtaken by a later request")
	}
	if first.stuck(first.sentAt.Add(first.overtakenTimeout/2), true) {
		t.Fatal("stuck before the overtaken timeout")
	}
}

func TestHigherPriorityRequestsMayOvertake(t *testing.T) {
	monitor := newHarness(t, respond(200, "")).relay.liveness
	rt := &route.Route{LatencyTarget: time.Hour}
	on := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	reroute := func(bool) bool { return true }
	first := monitor.track(on, true, rt, 4, reroute)
	urgent := monitor.track(on, true, rt, 1, reroute)
	first.sentAt = urgent.sentAt.Add(-time.Minute)
	monitor.recordHeader(urgent)
	if first.stuck(urgent.sentAt, true) {
		t.Fatal("overtaking by a higher priority counted")
	}
}

// Guards against rerouting streams from a busy server, which loads other servers with
// processing the prompts again.
func TestStreamStalledWithAllOthersIsNotRerouted(t *testing.T) {
	monitor := newHarness(t, respond(200, "")).relay.liveness
	on := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	a := monitor.track(on, true, &route.Route{EventIntervalTarget: time.Second}, 3, func(bool) bool { return true })
	a.recordProgress()
	late := time.Now().Add(2 * time.Second)
	if a.stuck(late, false) {
		t.Fatal("rerouted from a busy server")
	}
	if !a.stuck(late, true) {
		t.Fatal("not rerouted although only this stream stalled")
	}
}

// Guards against waiting until the deadline for a lost response if the daemon sends the
// server no other request that could overtake it.
func TestHeaderTimeoutReroutes(t *testing.T) {
	monitor := newHarness(t, respond(200, "")).relay.liveness
	on := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm", expectedLatency: 200 * time.Millisecond}
	a := monitor.track(on, true, &route.Route{LatencyTarget: 1500 * time.Millisecond}, 3, func(bool) bool { return true })
	if a.stuck(a.sentAt.Add(850*time.Millisecond), false) {
		t.Fatal("rerouted before the header timeout")
	}
	if !a.stuck(a.sentAt.Add(950*time.Millisecond), false) {
		t.Fatal("not rerouted after the header timeout")
	}
}

// Guards against aborting a slow stream by rerouting it without retry budget.
func TestStreamIsNotReroutedWithoutRetryBudget(t *testing.T) {
	h := newHarness(t, respondStream(90, nil, 1))
	x := &exchange{relay: h.relay, service: h.relay.State.Table().Services["lm"]}
	x.retryState.Repeatable, x.retryState.MaxRuns = true, 3
	if !x.mayReroute(false) || !x.retryWithdrawn.Swap(false) {
		t.Error("not rerouted although the budget allows it")
	}
	h.relay.options.RetryBudgetRatio, h.relay.options.RetryBudgetReserve = 0, 0
	for h.relay.withdrawRetry("lm", 0) {
	}
	if x.mayReroute(false) {
		t.Error("rerouted from a live server without budget")
	}
	if !x.mayReroute(true) || x.retryWithdrawn.Load() {
		t.Error("not rerouted from a lost server")
	}
	x.retryState.MaxRuns = 0
	x.retryState.RecordSend()
	if x.mayReroute(true) {
		t.Error("rerouted although no attempts are left")
	}
}

// Guards against requests that wait for their deadline or a probe on a server that has restarted and
// does not know them, and against cutting them if another server has taken its name.
func TestServerRestartReroutesWaitingRequests(t *testing.T) {
	for address, ended := range map[string]bool{"10.0.0.0:1": true, "10.0.0.9:1": false} {
		h := newHarness(t, respond(200, ""))
		old := backend.Server{ID: "e0@a", Incarnation: backend.Incarnation{Name: "e0", StartMillis: 10}, Address: "10.0.0.0:1"}
		next := backend.Server{ID: "e0@b", Incarnation: backend.Incarnation{Name: "e0", StartMillis: 11}, Address: address}
		on := &target{server: old, service: "lm", expectedLatency: 100 * time.Millisecond}
		rerouted := map[string]bool{}
		track := func(name string) *attempt {
			return h.relay.liveness.track(on, true, &route.Route{}, 3, func(lost bool) bool {
				rerouted[name] = lost
				return true
			})
		}
		track("waiting")
		track("streaming").recordProgress()
		h.relay.ServerRestarted(old, next)
		if lost, called := rerouted["waiting"]; !called || lost != ended {
			t.Errorf("next run at %s: waiting request rerouted %t from an ended run %t", address, called, lost)
		}
		if _, called := rerouted["streaming"]; called {
			t.Error("progressing stream was rerouted")
		}
		if len(h.backend.closed) != 1 || h.backend.closed[0] != old.Address {
			t.Errorf("closed connections of %v", h.backend.closed)
		}
	}
}

// Guards against a retry drawn from the budget, and a race with the next send, for a send that ended
// while its server was probed.
func TestEndedSendIsNotRerouted(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	h.backend.refuses.Store(true)
	monitor := h.relay.liveness
	on := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	rerouted := map[string]bool{}
	track := func(name string) *attempt {
		return monitor.track(on, true, &route.Route{}, 3, func(bool) bool { rerouted[name] = true; return true })
	}
	waiting, ended := track("waiting"), track("ended")
	monitor.onUnreached = func(*target, error) { monitor.untrack(ended) }
	monitor.probe(t.Context(), waiting)
	if !rerouted["waiting"] || rerouted["ended"] {
		t.Errorf("rerouted %v", rerouted)
	}
}

// Guards against silences of servers of which nobody learns that they ended.
func TestServerThatGoesOnAfterSilenceIsCounted(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	h.backend.refuses.Store(true)
	scope := tally.NewTestScope("", nil)
	monitor := newLivenessMonitor(h.relay.State, h.backend, h.relay.log, NewMetrics(scope))
	on := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	a := monitor.track(on, true, &route.Route{}, 3, func(bool) bool { return true })
	resumed := func() int64 { return scope.Snapshot().Counters()["silent_servers_resumed+"].Value() }
	monitor.recordActivity(on.server.Address)
	if monitor.probe(t.Context(), a); resumed() != 0 {
		t.Error("counted before it went on")
	}
	monitor.recordActivity(on.server.Address)
	if monitor.recordActivity(on.server.Address); resumed() != 1 {
		t.Errorf("counted %d times", resumed())
	}
}

// Guards against offering requests to other servers although theirs went on while other daemons were
// asked about it.
func TestServerThatGoesOnKeepsItsRequests(t *testing.T) {
	for _, goesOn := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, respond(200, ""))
			h.backend.refuses.Store(true)
			monitor := h.relay.liveness
			on := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
			rerouted := false
			a := monitor.track(on, true, &route.Route{}, 3, func(bool) bool { rerouted = true; return true })
			monitor.onUnreached = func(*target, error) {
				time.Sleep(time.Millisecond)
				if goesOn {
					monitor.recordActivity(on.server.Address)
				}
			}
			if monitor.probe(t.Context(), a); rerouted == goesOn {
				t.Errorf("server goes on %t, its request is rerouted %t", goesOn, rerouted)
			}
		})
	}
}

// probedBackend counts the probes that request something of the server.
type probedBackend struct {
	*fakeBackend
	requests int
}

func (b *probedBackend) Probe(_ context.Context, _ backend.Server, engine bool) error {
	if engine {
		b.requests++
	}
	return nil
}

// Guards against probes that request something of a server in the pause that it has asked for.
func TestPausedServerIsOnlyConnectedTo(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	b := &probedBackend{fakeBackend: h.backend}
	monitor := newLivenessMonitor(h.relay.State, b, h.relay.log, h.relay.Metrics)
	on := &target{server: backend.Server{ID: "e0", Incarnation: backend.Incarnation{Name: "e0"}, Address: "10.0.0.0:1"}, service: "lm"}
	a := monitor.track(on, true, &route.Route{}, 4, func(bool) bool { return true })
	h.relay.State.observe(on, &BackendResponse{Statements: *pauseOf(time.Second)}, false)
	monitor.probe(t.Context(), a)
	if b.requests > 0 {
		t.Error("a report was requested in the pause")
	}
	h.clock.now += time.Second
	if monitor.probe(t.Context(), a); b.requests != 1 {
		t.Error("no report was requested after the pause")
	}
}
