package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// fixedVerdicts are the verdicts of other daemons on any server, which come after a delay.
type fixedVerdicts struct {
	verdicts []reachability.Verdict
	delay    time.Duration

	mu    sync.Mutex
	asked int
}

func (v *fixedVerdicts) Verdicts(ctx context.Context, _ string) []reachability.Verdict {
	v.mu.Lock()
	v.asked++
	v.mu.Unlock()
	select {
	case <-time.After(v.delay):
		return v.verdicts
	case <-ctx.Done():
		return make([]reachability.Verdict, len(v.verdicts))
	}
}

// useVirtualTime makes the boot clock advance with the virtual time of a test.
func (h *harness) useVirtualTime() {
	start, before := time.Now(), h.clock.now
	h.relay.State.bootTime = func() time.Duration { return before + time.Since(start) }
}

// Guards against a service that counts as out of reach, so that requests leave their servers, because two
// servers are silent for a moment, and against a cut link that is found late.
func TestSilentServersAreNoCutLink(t *testing.T) {
	for name, tt := range map[string]struct {
		others VerdictSource
		lost   bool
	}{
		"silent for others as well": {&fixedVerdicts{verdicts: []reachability.Verdict{reachability.Silent, reachability.Unknown}}, false},
		"others connect":            {&fixedVerdicts{verdicts: []reachability.Verdict{reachability.Silent, reachability.Connected}}, true},
		"others cannot tell":        {&fixedVerdicts{verdicts: []reachability.Verdict{reachability.Unknown}}, true},
		"others do not respond":     {&fixedVerdicts{verdicts: []reachability.Verdict{reachability.Silent}, delay: time.Minute}, true},
		"alone":                     {nil, true},
	} {
		for kind, r := range silentRequests {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, func(BackendRequest) (*BackendResponse, error) {
					time.Sleep(400 * time.Millisecond)
					return nil, &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ETIMEDOUT}
				})
				h.useVirtualTime()
				h.relay.Verdicts = tt.others
				var lost atomic.Bool
				b := &silentBackend{}
				b.during = func(first backend.Server) {
					h.others(first, func(_ *backend.Registry, s backend.Server, _ time.Duration) {
						b.mu.Lock()
						b.hung[s.ID] = true
						b.mu.Unlock()
						go h.relay.recordUnreached(&target{server: s, service: s.Service}, context.DeadlineExceeded)
					})
					time.AfterFunc(probeTimeout+silenceVerdictTimeout+time.Millisecond, func() { lost.Store(h.relay.State.OutOfReach()) })
				}
				out := r.serve(t, t.Context(), b, h)
				if lost.Load() != tt.lost {
					t.Errorf("%s, %s: out of reach %t", name, kind, lost.Load())
				}
				if !tt.lost && (out.body.String() != r.want || out.aborted) {
					t.Errorf("%s, %s: got %q, refused with %v", name, kind, out.body.String(), out.refusal)
				}
			})
		}
	}
}

// Guards against asking other daemons for each of many requests that time out.
func TestOneSilenceCheckRunsForService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, respond(200, ""))
		h.useVirtualTime()
		h.relay.backend = &partialBackend{fakeBackend: h.backend}
		others := &fixedVerdicts{verdicts: []reachability.Verdict{reachability.Silent}, delay: 10 * time.Millisecond}
		h.relay.Verdicts = others
		for i := range 200 {
			server := backend.Server{ID: []string{"a0", "a1", "a2"}[i%3], Service: "app"}
			go h.relay.recordUnreached(&target{server: server, service: "app"}, context.DeadlineExceeded)
		}
		synctest.Wait()
		time.Sleep(silenceVerdictTimeout)
		time.Sleep(probeTimeout)
		if h.relay.background.Wait(); others.asked == 0 || others.asked > maxServersAsked {
			t.Errorf("asked %d times", others.asked)
		}
	})
}

// Guards against a service that counts as out of reach although its servers accept connections and only
// do not respond on them.
func TestConnectionWithoutResponseIsContact(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	for _, id := range []string{"a0", "a1"} {
		err := &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.DeadlineExceeded}
		h.relay.recordUnreached(&target{server: backend.Server{ID: id, Service: "app"}, service: "app"}, err)
	}
	if h.relay.background.Wait(); h.relay.State.OutOfReach() {
		t.Error("out of reach")
	}
}

// partialBackend connects to some servers only.
type partialBackend struct {
	*fakeBackend
	accepting []string
	err       error
}

func (b *partialBackend) Probe(ctx context.Context, s backend.Server, _ bool) error {
	switch {
	case slices.Contains(b.accepting, s.ID):
		return nil
	case b.err != nil:
		return b.err
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against verdicts on silent servers by daemons whose own links are cut.
func TestVerdictOnSilentServerNeedsContactWithAnother(t *testing.T) {
	for name, tt := range map[string]struct {
		accepting []string
		want      reachability.Verdict
	}{
		"connects":                   {[]string{"a0"}, reachability.Connected},
		"reaches another":            {[]string{"a2"}, reachability.Silent},
		"reaches another service":    {[]string{"e0", "e1", "e2"}, reachability.Silent},
		"reaches none":               {nil, reachability.Unknown},
		"reaches a server of no use": {[]string{"a9"}, reachability.Unknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, respond(200, ""))
			h.call("/s/1")
			h.relay.backend = &partialBackend{fakeBackend: h.backend, accepting: tt.accepting}
			start := time.Now()
			if got := h.relay.Verdict(t.Context(), "a0"); got != tt.want || time.Since(start) > 2*verdictTimeout {
				t.Errorf("%s: %s after %s, want %s", name, got, time.Since(start), tt.want)
			}
		})
	}
	h := newHarness(t, respond(200, ""))
	h.relay.backend = &partialBackend{fakeBackend: h.backend, err: errors.New("no route")}
	if got := h.relay.Verdict(t.Context(), "a0"); got != reachability.Unknown {
		t.Errorf("no route to any: %s", got)
	}
}
