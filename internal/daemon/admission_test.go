package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Guards against a daemon that ends between the end of a request of another daemon and the delivery of
// its response, and against requests that are admitted after the last look for active ones.
func TestDrainWaitsForResponseToOtherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDenyingDaemon(nil)
		d.settings.DrainTimeout = settings.Duration(time.Hour)
		d.config.confirmedAt, d.config.majorityAt = time.Now(), time.Now()
		served, deliver, drained := make(chan struct{}), make(chan struct{}), make(chan struct{})
		go d.serveForwarded("b", "i", 0, func(any) error {
			close(served)
			<-deliver
			return nil
		}, func() (peer.ForwardResponse, error) { return peer.ForwardResponse{}, nil })
		<-served
		go func() {
			defer close(drained)
			d.Drain(t.Context())
		}()
		time.Sleep(time.Minute) // virtual
		select {
		case <-drained:
			t.Error("drained before the response was delivered")
		default:
		}
		if _, err := d.admit(); !fault.Is(err, fault.ShuttingDown) {
			t.Errorf("admitted while draining: %v", err)
		}
		close(deliver)
		<-drained
	})
}
