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

// silentList is a list of VMs that does not answer.
type silentList struct{}

func (silentList) List(ctx context.Context) ([]platform.VM, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Symptom: daemons refused everything for half of the time while the list of VMs did not
// answer, although its last word is to stand.
// Sequence: the service of the list goes silent, without refusing.
// Cause: a call of the list had the time of any call of the platform, 5 s; that it is down
// was noticed so late that the word on leaving servers had grown too old.
func TestSilentListOfVMsIsNoticedWhileItsLastWordHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := New(settings.Settings{ID: "d"}, settings.Secrets{}, Dependencies{VMs: silentList{}, Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
		d.pools.heard()
		go every(ctx, vmListEvery, d.pools.listVMs)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := time.Since(d.pools.serversHeard()); age > membership.ServersMaxAge {
				t.Errorf("the word on leaving servers is %s old", age)
				break
			}
		}
		cancel()
		time.Sleep(time.Second)
	})
}
