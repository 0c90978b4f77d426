package relay

import (
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// Guards against a request that pays for retries twice, at two daemons, as it is offered to the second while the first is silent.
func TestRequestBesideSilentDaemonIsFirstOnlyOnce(t *testing.T) {
	for _, path := range []string{"/l/1", "/s/1"} {
		synctest.Test(t, func(t *testing.T) {
			body, service := "whole", "app"
			if path == "/s/1" {
				body, service = events(1, 2), "lm"
			}
			h := newHarness(t, failSend(upstream.Unreachable, false))
			daemons := &scriptedForwarder{script: []forwardScript{{hangs: true}, {frames: response(200, body)}}}
			h.relay.Forwarder = daemons
			h.relay.State.EachServer(service, func(id string) {
				go h.relay.recordUnreached(&target{server: backend.Server{ID: id}, service: service}, syscall.ECONNRESET)
			})
			synctest.Wait()
			if out := h.call(path); out.status != 200 || len(daemons.calls) != 2 {
				t.Fatalf("%s: got %d, forwarded %d times", path, out.status, len(daemons.calls))
			}
			if daemons.calls[0].Resent || !daemons.calls[1].Resent {
				t.Errorf("%s: resent %t, then %t", path, daemons.calls[0].Resent, daemons.calls[1].Resent)
			}
		})
	}
}
