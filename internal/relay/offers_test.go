package relay

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Guards against a panic in an offer that ends the daemon, or leaves other offers of its request under way.
func TestPanicInOfferEndsAllOffers(t *testing.T) {
	for hanging := range 2 {
		for kind, r := range silentRequests {
			if hanging == 1 && r.path != "/s/1" {
				continue // it may be sent to two servers only
			}
			t.Run(fmt.Sprint(kind, " beside ", hanging), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t, func(BackendRequest) (*BackendResponse, error) { panic("broken") })
					b := &silentBackend{ended: true, hanging: hanging, during: func(backend.Server) {}}
					out := r.serve(t, t.Context(), b, h)
					begun := r.begun && r.path == "/s/1"
					if out.aborted != begun || (out.refusal == nil) != begun || !begun && (out.refusal.Kind != fault.Internal || out.refusal.ExecutionState() != fault.Unknown) {
						t.Errorf("aborted %t, refused with %v", out.aborted, out.refusal)
					}
					if n := len(b.contexts); n != hanging+2 {
						t.Errorf("%d sends", n)
					}
				})
			})
		}
	}
}
