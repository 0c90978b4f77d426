package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Guards against waiting until the deadline for a response that was lost on an open
// connection, while the server responds to later requests.
func TestOvertakenRequestIsStuck(t *testing.T) {
	w := newHarness(t, respond(200, "")).relay.liveness
	rt := &route.Route{LatencyTarget: 10 * time.Second}
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm", expectedLatency: 100 * time.Millisecond}
	never := func(bool) bool { return true }
	first := w.track(at, true, rt, 3, never)
	later := w.track(at, true, rt, 3, never)
	first.sentAt = later.sentAt.Add(-time.Second)
	now := later.sentAt
	if first.stuck(now, true) {
		t.Fatal("stuck although no later request was responded to")
	}
	w.recordHeader(later)
	if !first.stuck(now, true) {
		t.Fatal("not stuck although overtaken by a later request")
	}
	if first.stuck(first.sentAt.Add(first.overtakenTimeout/2), true) {
		t.Fatal("stuck before the overtaken timeout")
	}
}

func TestHigherPriorityRequestsMayOvertake(t *testing.T) {
	w := newHarness(t, respond(200, "")).relay.liveness
	rt := &route.Route{LatencyTarget: time.Hour}
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	never := func(bool) bool { return true }
	first := w.track(at, true, rt, 4, never)
	urgent := w.track(at, true, rt, 1, never)
	first.sentAt = urgent.sentAt.Add(-time.Minute)
	w.recordHeader(urgent)
	if first.stuck(urgent.sentAt, true) {
		t.Fatal("overtaking by a higher priority counted")
	}
}

// Guards against rerouting streams from a busy server, which loads other servers with
// processing the prompts again.
func TestStreamStalledWithAllOthersIsNotRerouted(t *testing.T) {
	w := newHarness(t, respond(200, "")).relay.liveness
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	a := w.track(at, true, &route.Route{GapTarget: time.Second}, 3, func(bool) bool { return true })
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
	w := newHarness(t, respond(200, "")).relay.liveness
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm", expectedLatency: 200 * time.Millisecond}
	a := w.track(at, true, &route.Route{LatencyTarget: 1500 * time.Millisecond}, 3, func(bool) bool { return true })
	if a.stuck(a.sentAt.Add(850*time.Millisecond), false) {
		t.Fatal("rerouted before the header timeout")
	}
	if !a.stuck(a.sentAt.Add(950*time.Millisecond), false) {
		t.Fatal("not rerouted after the header timeout")
	}
}

// Guards against aborting a slow stream by rerouting it without retry budget.
func TestStreamIsNotReroutedWithoutRetryBudget(t *testing.T) {
	w := newHarness(t, respondStream(90, nil, 1))
	x := &exchange{relay: w.relay, service: w.relay.State.Table().Services["lm"]}
	x.journey.Repeatable, x.journey.MaxRuns = true, 3
	if !x.mayReroute(false) || !x.retryTaken.Swap(false) {
		t.Error("not rerouted although the budget allows it")
	}
	w.relay.options.RetryBudgetRatio, w.relay.options.RetryBudgetReserve = 0, 0
	for w.relay.takeRetry("lm", 0) {
	}
	if x.mayReroute(false) {
		t.Error("rerouted from a live server without budget")
	}
	if !x.mayReroute(true) || x.retryTaken.Load() {
		t.Error("not rerouted from a lost server")
	}
	x.journey.MaxRuns = 0
	x.journey.Sent()
	if x.mayReroute(true) {
		t.Error("rerouted although no attempts are left")
	}
}

// Guards against requests that wait for their deadline or a probe on a server that has
// restarted and does not know them.
func TestServerRestartReroutesWaitingRequests(t *testing.T) {
	w := newHarness(t, respond(200, ""))
	old := backend.Server{ID: "e0", Run: backend.Incarnation{Name: "e0"}, Address: "10.0.0.0:1"}
	at := &target{server: old, service: "lm", expectedLatency: 100 * time.Millisecond}
	moved := map[string]bool{}
	enter := func(name string) *attempt {
		return w.relay.liveness.track(at, true, &route.Route{}, 3, func(lost bool) bool {
			moved[name] = lost
			return true
		})
	}
	enter("waiting")
	enter("streaming").recordProgress()
	w.relay.ServerRestarted(old)
	if lost, told := moved["waiting"]; !told || !lost {
		t.Error("waiting request not rerouted from an ended run")
	}
	if _, told := moved["streaming"]; told {
		t.Error("progressing stream was rerouted")
	}
	if len(w.backend.closed) != 1 || w.backend.closed[0] != old.Address {
		t.Errorf("closed connections of %v", w.backend.closed)
	}
}
