package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

func testRollouts() *Rollouts {
	r := NewRollouts(5*time.Second, time.Now, log.New(io.Discard))
	r.AddOrder(rollout.Order{Service: "s", Target: "v2", Duration: 24 * time.Second, Offset: 7})
	return r
}

// Guards against a local suspension that outlasts the order's completion in the store: the
// daemon would refuse every request once the old servers have stopped.
func TestStoredPhaseOverridesLocalSuspension(t *testing.T) {
	r := testRollouts()
	r.ApplyStoredPhase(StoredPhase{Service: "s", OrderOffset: 7, Phase: rollout.Full, OrderAge: 15 * time.Second})
	r.Suspend("s", 7, "slow")
	if choice := r.ChooseVersion("s", "", 1); !choice.Preferred("v1") || choice.Preferred("v2") {
		t.Fatal("suspended version is preferred")
	}
	r.ApplyStoredPhase(StoredPhase{Service: "s", OrderOffset: 7, Phase: rollout.Completed, OrderAge: 20 * time.Second})
	if choice := r.ChooseVersion("s", "", 1); !choice.Preferred("v2") || choice.Preferred("v1") {
		t.Fatal("old version is preferred after completion")
	}
	r.Suspend("s", 7, "slow")
	if choice := r.ChooseVersion("s", "", 1); !choice.Preferred("v2") {
		t.Fatal("finished order was suspended")
	}
}

// Guards against pinning sessions for the whole canary, which leaves it without evidence.
func TestSessionsUseTheCanaryInSecondHalf(t *testing.T) {
	r := testRollouts()
	count := func() (onNew int) {
		for i := range 1000 {
			if r.ChooseVersion("s", fmt.Sprint("session-", i), 0).Preferred("v2") {
				onNew++
			}
		}
		return onNew
	}
	r.orders["s"].orderedAt = time.Now().Add(-11 * time.Second)
	if onNew := count(); onNew != 0 {
		t.Errorf("%d of 1000 sessions went to the new version in the first half", onNew)
	}
	r.orders["s"].orderedAt = time.Now().Add(-12 * time.Second)
	if onNew := count(); onNew < 60 || onNew > 140 {
		t.Errorf("%d of 1000 sessions went to the new version in the second half, want about 100", onNew)
	}
}

// Guards against a first half without any evidence, for services with requests that have
// no session.
func TestRequestsWithoutSessionUseTheCanaryInFirstHalf(t *testing.T) {
	r := testRollouts()
	r.orders["s"].orderedAt = time.Now().Add(-2 * canaryDelay)
	onNew := 0
	for i := range 1000 {
		if r.ChooseVersion("s", "", xxhash.Sum64String(fmt.Sprint("request-", i))).Preferred("v2") {
			onNew++
		}
	}
	if onNew < 60 || onNew > 140 {
		t.Fatalf("%d of 1000 requests went to the new version, want about 100", onNew)
	}
}

// Guards against moving a session to the new version in the first half, when its next
// request arrives at another daemon, with or without servers of the old version.
func TestSessionsOfPeersStayOnOldVersion(t *testing.T) {
	one, other := testRollouts(), testRollouts()
	one.ChooseVersion("s", "session", 0)
	for _, r := range []*Rollouts{one, other} {
		r.orders["s"].orderedAt = time.Now().Add(-11 * time.Second)
		for i := range 1000 {
			choice := r.ChooseVersion("s", fmt.Sprint("session-", i), 0)
			if choice.Preferred("v2") || choice.Fallback("v2") {
				t.Fatal("session of the old version may be moved")
			}
		}
	}
}

// Guards against a daemon that starts in the second half of a roll-out, takes the order for
// new and sends sessions back to the old version.
func TestDaemonStartedDuringRolloutKnowsAgeOfOrder(t *testing.T) {
	none := func(string, string) int { return 0 }
	running := testRollouts()
	running.orders["s"].orderedAt = time.Now().Add(-13 * time.Second)
	started := NewRollouts(5*time.Second, time.Now, log.New(io.Discard))
	started.ApplyReports("running/1", running.Reports(none, false, false))
	started.AddOrder(rollout.Order{Service: "s", Target: "v2", Duration: 24 * time.Second, Offset: 7})
	for i := range 1000 {
		session := fmt.Sprint("session-", i)
		if running.ChooseVersion("s", session, 0).Preferred("v2") != started.ChooseVersion("s", session, 0).Preferred("v2") {
			t.Fatal("a session changes its version between two daemons")
		}
	}
}

// Guards against losing a peer's evidence when it sends a report without evidence.
func TestReportWithoutEvidenceKeepsEarlierEvidence(t *testing.T) {
	one, evaluator := testRollouts(), testRollouts()
	none := func(string, string) int { return 0 }
	one.recordResponse(&target{service: "s", server: backend.Server{ID: "a", Version: "v2"}}, "r", true, 0)
	with, without := one.Reports(none, true, false), one.Reports(none, false, false)
	if len(with[0].Evidence) != 1 || without[0].Evidence != nil {
		t.Fatalf("with evidence %+v, without %+v", with[0].Evidence, without[0].Evidence)
	}
	evaluator.ApplyReports("one/1", with)
	evaluator.ApplyReports("one/1", without)
	if got := evaluator.orders["s"].peerReports["one/1"].Evidence; len(got) != 1 {
		t.Errorf("evidence lost: %v", got)
	}
}

// Guards against using a bad version while the store is unreachable: the suspension must
// reach peers without it.
func TestSuspensionByEvaluatorAppliesToPeers(t *testing.T) {
	evaluator, other, third := testRollouts(), testRollouts(), testRollouts()
	none := func(string, string) int { return 0 }
	evaluator.Suspend("s", 7, "errors")
	other.ApplyReports("judge/1", evaluator.Reports(none, false, true))
	if choice := other.ChooseVersion("s", "", 1); choice.Preferred("v2") {
		t.Error("suspended version is preferred")
	}
	third.ApplyReports("other/1", other.Reports(none, false, false))
	if third.orders["s"].suspended {
		t.Error("suspension was relayed by a daemon that does not evaluate")
	}
}

// Guards against restarting a completed order after the store was restored from an older
// copy, in which the order has a later position and an earlier phase, or none.
func TestFinishedOrderStaysFinishedAfterStoreRestore(t *testing.T) {
	later := uint64(feed.NewPosition(1, 9))
	for name, stored := range map[string]*StoredPhase{
		"no phase stored":      nil,
		"earlier phase stored": {Service: "s", Target: "v2", OrderOffset: 7, Phase: rollout.Full},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRollouts(0, time.Now, log.New(io.Discard))
			order := rollout.Order{Service: "s", Target: "v2", Offset: 7}
			r.AddOrder(order)
			r.ApplyStoredPhase(StoredPhase{Service: "s", Target: "v2", OrderOffset: 7, Phase: rollout.Completed})
			r.StoreEraChanged()
			if stored != nil {
				r.ApplyStoredPhase(*stored)
			}
			order.Offset = later
			r.AddOrder(order)
			if due := r.NextPhases(func(string) bool { return true }); len(due) != 0 {
				t.Fatalf("finished order advances: %+v", due)
			}
			lost := r.LostPhases(0)
			if len(lost) != 1 || lost[0].Phase != rollout.Completed || lost[0].Order.Offset != later {
				t.Fatalf("phases to rewrite: %+v", lost)
			}
			r.ApplyStoredPhase(StoredPhase{Service: "s", Target: "v2", OrderOffset: later, Phase: rollout.Completed})
			if lost := r.LostPhases(0); len(lost) != 0 {
				t.Errorf("phases still to rewrite: %+v", lost)
			}
		})
	}
}

// Guards against ignoring a phase that was written for the order's position in the
// earlier era, when a daemon starts after the restore.
func TestPhaseFromEarlierEraAppliesToSameOrder(t *testing.T) {
	r := NewRollouts(0, time.Now, log.New(io.Discard))
	r.ApplyStoredPhase(StoredPhase{Service: "s", Target: "v2", OrderOffset: 7, Phase: rollout.Completed})
	r.AddOrder(rollout.Order{Service: "s", Target: "v2", Offset: uint64(feed.NewPosition(1, 9))})
	if due := r.NextPhases(func(string) bool { return true }); len(due) != 0 {
		t.Errorf("finished order advances: %+v", due)
	}
	r.AddOrder(rollout.Order{Service: "s", Target: "v3", Offset: uint64(feed.NewPosition(1, 12))})
	r.mu.Lock()
	defer r.mu.Unlock()
	if order := r.orders["s"]; order.Target != "v3" || order.phase.Final() {
		t.Errorf("order with another target was matched: %+v", order)
	}
}

// Guards against a leader that advances, and at last completes, a version that all daemons have
// stopped using on the word of another evaluator.
func TestSuspendedVersionIsRolledBack(t *testing.T) {
	evaluator, leader := testRollouts(), testRollouts()
	none := func(string, string) int { return 0 }
	evaluator.Suspend("s", 7, "slowness")
	leader.ApplyReports("evaluator/1", evaluator.Reports(none, false, true))
	for _, r := range []*Rollouts{evaluator, leader} {
		due := r.NextPhases(func(string) bool { return true })
		if len(due) != 1 || due[0].Phase != rollout.RolledBack {
			t.Errorf("due: %+v, want rolled back", due)
		}
	}
	leader.ApplyStoredPhase(StoredPhase{Service: "s", OrderOffset: 7, Phase: rollout.Completed, OrderAge: 20 * time.Second})
	if due := leader.NextPhases(func(string) bool { return true }); len(due) != 0 {
		t.Errorf("due after the order was completed: %+v", due)
	}
}

// Guards against a version whose responses are broken and that is advanced, since they are no evidence on it.
func TestBrokenResponsesAreEvidenceOnTheirVersion(t *testing.T) {
	cut := func(err error) func(BackendRequest) (*BackendResponse, error) {
		return func(BackendRequest) (*BackendResponse, error) {
			return &BackendResponse{Status: 200, Header: http.Header{}, Authenticated: true, ContentLength: -1, Body: io.NopCloser(failingReader{err})}, nil
		}
	}
	for name, tt := range map[string]struct {
		respond func(BackendRequest) (*BackendResponse, error)
		errors  int64
	}{
		"sound":               {respond(200, "x"), 0},
		"malformed":           {failSend(upstream.InvalidResponse, true), 1},
		"cut":                 {cut(io.ErrUnexpectedEOF), 1},
		"not read":            {cut(errNoRoom), 0},
		"connection lost":     {failSend(upstream.ConnectionLost, true), 0},
		"ended by the client": {cut(context.Canceled), 0},
	} {
		ctx, disconnect := context.WithCancel(t.Context())
		h := newHarness(t, func(r BackendRequest) (*BackendResponse, error) {
			if name == "ended by the client" {
				disconnect()
			}
			return tt.respond(r)
		})
		h.relay.Rollouts.AddOrder(rollout.Order{Service: "app", Target: "v2", Duration: 24 * time.Second, Offset: 7})
		call := &Call{ID: "id1", Host: "h", Method: "POST", Target: "/p/1", Path: "/p/1", Key: "k", LastEvent: NoEvent, Received: time.Now(), Held: h.relay.Hold()}
		h.relay.Serve(ctx, call, &fakeResponseWriter{})
		call.Held.Release()
		disconnect()
		errors := int64(0)
		for _, counts := range h.relay.Rollouts.orders["app"].ownEvidence {
			errors += counts.Counts.Errors
		}
		if errors != tt.errors {
			t.Errorf("%s: %d errors", name, errors)
		}
	}
}

// readerFunc implements io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against responses too long to be buffered that are no evidence on their version, and against a client that
// reads slowly or leaves and is evidence on it.
func TestUnbufferedResponsesAreEvidenceOnTheirVersion(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+10)
	for name, tt := range map[string]struct {
		status           int
		end              error
		clientLeaves     bool
		requests, errors int64
	}{
		"sound":            {200, io.EOF, false, 1, 0},
		"cut":              {200, io.ErrUnexpectedEOF, false, 1, 1},
		"failed":           {503, io.EOF, false, 1, 1},
		"left by a client": {200, context.Canceled, true, 0, 0},
	} {
		ctx, disconnect := context.WithCancel(t.Context())
		pending := -1
		h := newHarness(t, nil)
		h.backend.script[0] = func(BackendRequest) (*BackendResponse, error) {
			end := readerFunc(func([]byte) (int, error) {
				pending = len(h.relay.Rollouts.orders["app"].pending)
				if tt.clientLeaves {
					disconnect()
				}
				return 0, tt.end
			})
			return &BackendResponse{Status: tt.status, Header: http.Header{}, Authenticated: true, ContentLength: -1, Body: io.NopCloser(io.MultiReader(strings.NewReader(long), end))}, nil
		}
		h.relay.Rollouts.AddOrder(rollout.Order{Service: "app", Target: "v2", Duration: 24 * time.Second, Offset: 7})
		call := &Call{ID: "id1", Host: "h", Method: "POST", Target: "/p/1", Path: "/p/1", Key: "k", LastEvent: NoEvent, Received: time.Now(), Held: h.relay.Hold()}
		h.relay.Serve(ctx, call, &fakeResponseWriter{})
		call.Held.Release()
		disconnect()
		var got rollout.Counts
		for _, counts := range h.relay.Rollouts.orders["app"].ownEvidence {
			got = got.Add(counts.Counts)
		}
		if got.Requests != tt.requests || got.Errors != tt.errors || got.Latencies.Total() != 0 {
			t.Errorf("%s: %d responses, %d errors, %d latencies", name, got.Requests, got.Errors, got.Latencies.Total())
		}
		if pending != 0 {
			t.Errorf("%s: the time until the client had it counts", name)
		}
	}
}
