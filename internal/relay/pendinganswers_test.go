package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// Guards against a slow version that is judged by its fast answers, since the slow ones are not complete yet
// or were given up.
func TestSlowAnswersCountBeforeTheyAreComplete(t *testing.T) {
	now := time.Unix(1000, 0)
	r := testRollouts()
	r.now = func() time.Time { return now }
	r.AddOrder(rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Offset: 8})
	send := func(version string, i int) *target {
		t := &target{service: "s", server: backend.Server{ID: fmt.Sprint(version, i%3), FailureDomain: fmt.Sprint("d", i%3), Version: version}}
		r.beginAnswer(&pendingAnswer{target: t, route: "r", sentAt: now, first: 0.1, interval: 0.05})
		return t
	}
	for i := range 60 {
		answered := send("v1", i)
		r.recordResponse(answered, "r", false, 1)
		r.endAnswer(answered)
	}
	var waiting []*target
	for i := range 12 {
		waiting = append(waiting, send("v2", i))
	}
	order := r.orders["s"]
	observed := func() int64 {
		counts, _ := order.evidence(now).Totals(nil)
		return counts.Latencies.Total()
	}
	now = now.Add(50 * time.Millisecond)
	if n := observed(); n != 0 {
		t.Errorf("%d answers count before they are late", n)
	}
	now = now.Add(time.Second)
	if n := observed(); n != 12 {
		t.Errorf("%d of 12 late answers count", n)
	}
	if phase, reason := rollout.DefaultOrderPolicy().NextPhase(order.Order, rollout.Canary, 2*time.Second, order.evidence(now), 0); phase != rollout.RolledBack {
		t.Errorf("phase %s, %s", phase, reason)
	}
	for _, given := range waiting {
		r.endAnswer(given)
	}
	if n := observed(); n != 12 || len(order.pending) != 0 {
		t.Errorf("%d of 12 answers that were given up count, %d still wait", n, len(order.pending))
	}
}

// Guards against a slow version that becomes the reference which its own answers are compared with.
func TestVersionBeingRolledOutIsNoReference(t *testing.T) {
	s := NewState("d1", "", func() time.Duration { return time.Second })
	running, unproven := &target{service: "s", model: "m"}, &target{service: "s", model: "m", unproven: true}
	s.recordEventInterval(running, 20*time.Millisecond)
	for range 50 {
		s.recordEventInterval(unproven, 200*time.Millisecond)
	}
	if _, interval := s.typicalEngineLatency(running); interval != 0.02 {
		t.Errorf("interval %.3f s, want that of the running version", interval)
	}
}
