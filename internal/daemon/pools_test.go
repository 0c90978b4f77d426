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

// partlyReadableVMList is a VM list of which one entry cannot be read.
type partlyReadableVMList struct{}

func (partlyReadableVMList) List(context.Context) ([]platform.VM, error) {
	return []platform.VM{{ID: "e1", State: platform.Leaving}}, &platform.UnreadableEntriesError{Entries: 1, First: io.ErrUnexpectedEOF}
}

// Guards against requests to leaving servers because another entry of the VM list cannot be read.
func TestReadableEntriesOfTheVMListApply(t *testing.T) {
	d := New(settings.Settings{ID: "d"}, settings.Secrets{}, Dependencies{VMs: partlyReadableVMList{}, Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	d.balancer.pollVMs(t.Context())
	if _, ids := d.balancer.leavingServers(); len(ids) != 1 || ids[0] != "e1" {
		t.Errorf("leaving: %v", ids)
	}
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
