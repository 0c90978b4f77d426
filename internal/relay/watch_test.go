package relay

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Symptom: a stream waited five seconds, until its caller left, on a server that
// answered all others.
// Sequence: a server runs a request and its answer is lost; the connection stays
// open; requests sent to it later are answered.
// Cause: only servers that are silent as a whole, and streams that had begun, were
// given up.
func TestOvertakenRequestIsStuck(t *testing.T) {
	w := newWorld(t, answering(200, "")).relay.watch
	rt := &route.Route{LatencyTarget: 10 * time.Second}
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm", expected: 100 * time.Millisecond}
	never := func(bool) bool { return true }
	first := w.enter(at, true, rt, 3, never)
	later := w.enter(at, true, rt, 3, never)
	first.since = later.since.Add(-time.Second)
	now := later.since
	if first.stuck(now, true) {
		t.Fatal("given up although no later request was answered: the server may only be busy")
	}
	w.answered(later)
	if !first.stuck(now, true) {
		t.Fatal("overtaken by a later request and still waited for")
	}
	if first.stuck(first.since.Add(first.patience/2), true) {
		t.Fatal("given up before its time")
	}
}

func TestMoreUrgentRequestsMayOvertake(t *testing.T) {
	w := newWorld(t, answering(200, "")).relay.watch
	rt := &route.Route{LatencyTarget: time.Hour}
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	never := func(bool) bool { return true }
	first := w.enter(at, true, rt, 4, never)
	urgent := w.enter(at, true, rt, 1, never)
	first.since = urgent.since.Add(-time.Minute)
	w.answered(urgent)
	if first.stuck(urgent.since, true) {
		t.Fatal("a more urgent request goes first; that says nothing")
	}
}

// Symptom: on a busy day streams were read again on other servers, which made those
// busy.
// Sequence: all streams of a server pause while it reads long prompts.
// Cause: a pause was taken for a connection that had gone silent.
func TestStreamThatPausesWithAllOthersIsLeft(t *testing.T) {
	w := newWorld(t, answering(200, "")).relay.watch
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm"}
	a := w.enter(at, true, &route.Route{GapTarget: time.Second}, 3, func(bool) bool { return true })
	a.progress()
	late := time.Now().Add(2 * time.Second)
	if a.stuck(late, false) {
		t.Fatal("moved off a busy server")
	}
	if !a.stuck(late, true) {
		t.Fatal("left on a connection that went silent alone")
	}
}

// Symptom: a stream waited five seconds for a lost answer, although its server lived.
// Sequence: its daemon sends the server nothing else meanwhile.
// Cause: only overtaken requests were taken for lost.
func TestHeadIsNotWaitedForWithoutEnd(t *testing.T) {
	w := newWorld(t, answering(200, "")).relay.watch
	at := &target{server: backend.Server{ID: "e0", Address: "10.0.0.0:1"}, service: "lm", expected: 200 * time.Millisecond}
	a := w.enter(at, true, &route.Route{LatencyTarget: 1500 * time.Millisecond}, 3, func(bool) bool { return true })
	if a.stuck(a.since.Add(850*time.Millisecond), false) {
		t.Fatal("given up within the part of the target that an answer may take")
	}
	if !a.stuck(a.since.Add(950*time.Millisecond), false) {
		t.Fatal("waited for beyond that")
	}
}

// Symptom: under overload streams ended in the middle though their servers were making
// events.
// Sequence: a stream pauses for longer than usual on a busy server; it is taken off that
// server to go on elsewhere; the budget of repeats is used up; it is cut.
// Cause: it was moved before it was known whether it may be sent again.
func TestStreamStaysWhereItIsWithoutBudget(t *testing.T) {
	w := newWorld(t, streamingFrom(90, nil, 1))
	x := &exchange{relay: w.relay, service: w.relay.State.Table().Services["lm"]}
	x.journey.Repeatable, x.journey.MaxRuns = true, 3
	if !x.mayMove(false) || !x.repeatTaken.Swap(false) {
		t.Error("with budget left it does not go on elsewhere")
	}
	w.relay.rules.RetryBudgetRatio, w.relay.rules.RetryBudgetReserve = 0, 0
	for w.relay.mayRepeat("lm", 0) {
	}
	if x.mayMove(false) {
		t.Error("it leaves a server that answers others, to be cut")
	}
	if !x.mayMove(true) || x.repeatTaken.Load() {
		t.Error("it stays with a server that is lost")
	}
	x.journey.MaxRuns = 0
	x.journey.RecordSend()
	if x.mayMove(true) {
		t.Error("it leaves a server though no other may run it")
	}
}

// Symptom: requests waited for their deadline, or for a sign of life, at a server that knew
// nothing of them.
// Sequence: a server crashes and starts again under its id; its entry tells of the new run.
// Cause: only a server that showed no sign of life lost what waited for it, and the later
// run did show one.
func TestWhatWaitsForARunMovesWhenTheServerStartsAgain(t *testing.T) {
	w := newWorld(t, answering(200, ""))
	old := backend.Server{ID: "e0", Incarnation: backend.Incarnation{Name: "e0"}, Address: "10.0.0.0:1"}
	at := &target{server: old, service: "lm", expected: 100 * time.Millisecond}
	moved := map[string]bool{}
	enter := func(name string) *attempt {
		return w.relay.watch.enter(at, true, &route.Route{}, 3, func(lost bool) bool {
			moved[name] = lost
			return true
		})
	}
	enter("waits")
	enter("streams").progress()
	w.relay.ServerRestarted(old)
	if lost, told := moved["waits"]; !told || !lost {
		t.Error("a request that waits is left at a run that has ended")
	}
	if _, told := moved["streams"]; told {
		t.Error("a stream whose events come is cut")
	}
	if len(w.backend.forgotten) != 1 || w.backend.forgotten[0] != old.Address {
		t.Errorf("connections closed: %v", w.backend.forgotten)
	}
}
