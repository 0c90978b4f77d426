package relay

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// panickingForwarder is a Forwarder whose first stream panics while the call is offered to others.
type panickingForwarder struct{ scriptedForwarder }

func (f *panickingForwarder) Forward(ctx context.Context, address string, call ForwardedCall) (ForwardStream, bool, error) {
	first := len(f.calls) == 0
	stream, sent, err := f.scriptedForwarder.Forward(ctx, address, call)
	if first {
		stream = panickingStream{stream}
	}
	return stream, sent, err
}

type panickingStream struct{ ForwardStream }

func (panickingStream) Receive(context.Context) (ForwardFrame, error) {
	time.Sleep(forwardAcceptTimeout + checkInterval)
	panic("test")
}

// Guards against a panic that ends the daemon, as a call is offered to others while it unwinds.
func TestPanicOfForwardBesideOffers(t *testing.T) {
	for _, path := range []string{"/l/1", "/s/1"} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, respond(200, "x"))
			daemons := &panickingForwarder{scriptedForwarder{script: []forwardScript{{hangs: true}}}}
			h.relay.Forwarder = daemons
			for _, service := range []string{"app", "lm"} {
				h.relay.State.EachServer(service, func(id string) {
					go h.relay.recordUnreached(&target{server: backend.Server{ID: id}, service: service}, syscall.ECONNRESET)
				})
			}
			synctest.Wait()
			if out := h.call(path); out.refusal == nil || out.refusal.Kind != fault.Internal || out.refusal.ExecutionState() != fault.Unknown {
				t.Errorf("%s: refused with %v", path, out.refusal)
			}
			if len(daemons.calls) != 2 {
				t.Errorf("%s: forwarded %d times", path, len(daemons.calls))
			}
			daemons.checkForwards(t, h)
		})
	}
}
