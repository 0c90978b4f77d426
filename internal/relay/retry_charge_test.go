package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
)

// replacedBackend is a silentBackend whose first server is found to be replaced by the second probe.
type replacedBackend struct {
	*silentBackend
	probes int
}

func (b *replacedBackend) Probe(ctx context.Context, s backend.Server, engine bool) error {
	if first := b.first.Load(); first.ID == s.ID {
		if b.probes++; b.probes == 2 {
			b.during(s)
			return ErrRestarted
		}
	}
	return b.silentBackend.Probe(ctx, s, engine)
}

// Guards against a second charge for a retry that was charged while no server could take the request.
func TestRetryOfSilentServerIsChargedOnce(t *testing.T) {
	for _, path := range []string{"/l/1", "/s/1"} {
		synctest.Test(t, func(t *testing.T) {
			service := "app"
			h := newHarness(t, respond(200, "other"))
			if path == "/s/1" {
				service, h = "lm", newHarness(t, respondStream(95, nil, 1, 2))
			}
			b, leaving := &replacedBackend{silentBackend: &silentBackend{ended: true}}, false
			b.during = func(first backend.Server) {
				leaving = !leaving
				h.others(first, func(r *backend.Registry, s backend.Server, _ time.Duration) {
					s.Leaving = leaving
					_, _ = r.Put(s)
				})
			}
			b.hung, b.fakeBackend = map[string]bool{}, h.backend
			h.relay.backend, h.relay.liveness.backend = b, b
			ctx, stop := context.WithCancel(t.Context())
			go h.relay.liveness.run(ctx)
			out := &fakeResponseWriter{}
			<-h.start(ctx, path, "body", out)
			stop()
			synctest.Wait()
			h.relay.background.Wait()
			direct := newHarness(t, respond(200, "x"))
			direct.relay.recordFirstSend(service)
			if used := direct.retriesLeft(service) - h.retriesLeft(service); used != 1 || len(h.backend.sends) != 1 || out.status != 200 {
				t.Errorf("%s: %d retries charged for %d, %d probes, got %d, refused with %v", path, used, len(h.backend.sends), b.probes, out.status, out.refusal)
			}
		})
	}
}
