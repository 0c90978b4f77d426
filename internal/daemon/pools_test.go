package daemon

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// unresponsiveVMList is a VM list service that never responds.
type unresponsiveVMList struct{}

func (unresponsiveVMList) List(ctx context.Context) ([]platform.VM, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against refusing requests while the VM list service does not respond: its last
// result must not expire before a read times out.
func TestVMListTimeoutKeepsServersUpdateFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := New(settings.Settings{ID: "d"}, settings.Secrets{}, Dependencies{VMs: unresponsiveVMList{}, Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
		d.balancer.markServersUpdated()
		go runPeriodically(ctx, vmListInterval, d.balancer.pollVMs)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(d.balancer.lastServersUpdate()); age > membership.MaxServersAge {
				t.Errorf("the last update of leaving servers is %s old", age)
				break
			}
		}
		cancel()
		time.Sleep(time.Second)
	})
}
