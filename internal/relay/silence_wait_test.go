package relay

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// timeOutAfter fails to reach a server after a time.
func timeOutAfter(d time.Duration) func(BackendRequest) (*BackendResponse, error) {
	return func(BackendRequest) (*BackendResponse, error) {
		time.Sleep(d)
		return nil, &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ETIMEDOUT}
	}
}

// Guards against requests that wait for the verdicts of other daemons beyond their deadline.
func TestSilenceCheckHoldsNoRequestBeyondDeadline(t *testing.T) {
	for _, path := range []string{"/l/1", "/p/1"} {
		synctest.Test(t, func(t *testing.T) {
			const timeout = 2 * time.Second
			h := newHarness(t, timeOutAfter(timeout-50*time.Millisecond), timeOutAfter(50*time.Millisecond))
			h.useVirtualTime()
			h.relay.backend = &partialBackend{fakeBackend: h.backend}
			h.relay.Verdicts = &fixedVerdicts{verdicts: []reachability.Verdict{reachability.Silent}, delay: time.Minute}
			h.relay.recordUnreached(&target{server: backend.Server{ID: "a9"}, service: "app"}, syscall.ECONNRESET)
			start, out := time.Now(), &fakeResponseWriter{}
			h.relay.Serve(t.Context(), &Call{ID: "id1", Host: "h", Method: "POST", Target: path, Path: path, Key: "k", LastEvent: NoEvent, Received: start}, out)
			if took := time.Since(start); out.refusal == nil || took > timeout {
				t.Errorf("%s: refused with %v after %s", path, out.refusal, took)
			}
			h.relay.background.Wait()
		})
	}
}

// Guards against an answer that waits for the verdicts of other daemons because an offer beside it has failed.
func TestSilenceCheckHoldsNoAnswer(t *testing.T) {
	for kind, r := range silentRequests {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, timeOutAfter(350*time.Millisecond), timeOutAfter(0))
			h.useVirtualTime()
			h.relay.Verdicts = &fixedVerdicts{verdicts: []reachability.Verdict{reachability.Silent}, delay: time.Minute}
			var answered atomic.Int64 // in ns after the start
			b, start := &silentBackend{}, time.Now()
			b.during = func(first backend.Server) {
				h.others(first, func(_ *backend.Registry, s backend.Server, _ time.Duration) {
					b.mu.Lock()
					b.hung[s.ID] = true
					b.mu.Unlock()
				})
				b.mu.Lock()
				defer b.mu.Unlock()
				context.AfterFunc(b.contexts[0], func() { answered.Store(int64(time.Since(start))) })
			}
			if out := r.serve(t, t.Context(), b, h); out.body.String() != r.want || time.Duration(answered.Load()) > silence {
				t.Errorf("%s: got %q after %s, refused with %v", kind, out.body.String(), time.Duration(answered.Load()), out.refusal)
			}
		})
	}
}
