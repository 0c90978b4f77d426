package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// newDenyingDaemon returns a daemon in the majority that reads a log, with a configuration loaded.
func newDenyingDaemon(l platform.Log) *Daemon {
	d := New(settings.Settings{ID: "d", SubsetSize: 24}, settings.Secrets{}, Dependencies{Log: l, Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	cfg := fleet.NewConfig()
	cfg.Workspaces["w"] = fleet.Workspace{KeyHashes: []string{fleet.HashAPIKey("k")}, Models: []string{"old"}, Services: []string{"pay"}}
	cfg.Models["old"] = fleet.Model{Versions: map[string]fleet.Version{"v1": {State: fleet.Withdrawn}}}
	cfg.Models["other"] = fleet.Model{}
	cfg.Services["pay"], cfg.Services["other"] = fleet.Service{NonRepeatable: true}, fleet.Service{}
	d.config.active.Store(cfg)
	d.config.loaded = true
	return d
}

// Guards against final answers from a configuration that may lack changes which have to be in force.
func TestOnlyConfirmedConfigurationDenies(t *testing.T) {
	chat := func(model string) func(d *Daemon) error {
		return func(d *Daemon) error {
			_, err := d.Chat(context.Background(), "i", ChatRequest{Workspace: "w", Model: model})
			return err
		}
	}
	call := func(service string) func(d *Daemon) error {
		return func(d *Daemon) error {
			_, err := d.CallService(context.Background(), "i", ServiceRequest{Workspace: "w", Service: service})
			return err
		}
	}
	for name, tt := range map[string]struct {
		send func(d *Daemon) error
		kind fault.Kind
	}{
		"unknown key": {func(d *Daemon) error { _, err := d.Authenticate("other"); return err }, fault.Unauthorized},
		"unknown workspace": {func(d *Daemon) error {
			_, err := d.Chat(context.Background(), "i", ChatRequest{Workspace: "gone", Model: "old"})
			return err
		}, fault.Unauthorized},
		"unknown model":          {chat("none"), fault.UnknownModel},
		"unknown version":        {chat("old@v2"), fault.UnknownModel},
		"withdrawn version":      {chat("old@v1"), fault.VersionWithdrawn},
		"model not allowed":      {chat("other"), fault.NotEntitled},
		"unknown service":        {call("none"), fault.UnknownModel},
		"service not allowed":    {call("other"), fault.NotEntitled},
		"service that needs key": {call("pay"), fault.BadRequest},
	} {
		for _, age := range []time.Duration{0, membership.IsolationTimeout - 1, membership.IsolationTimeout, time.Hour} {
			t.Run(fmt.Sprint(name, "/confirmed ", age, " ago"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDenyingDaemon(nil)
					d.config.confirmedAt = time.Now().Add(-age)
					d.config.majorityAt = time.Now()
					want := tt.kind
					if age >= membership.IsolationTimeout {
						want = fault.ConfigurationStale
					}
					err := tt.send(d)
					if !fault.Is(err, want) || fault.FromError(err).ExecutionState() != fault.NotRun {
						t.Errorf("got %v, want %s", err, want)
					}
				})
			})
		}
	}
}

// scriptedLog answers one read with a batch or an error, after a delay. It implements platform.Log.
type scriptedLog struct {
	platform.Log
	batch platform.Batch
	err   error
	delay time.Duration
}

func (l scriptedLog) Read(context.Context, string, uint64, int, time.Duration) (platform.Batch, error) {
	time.Sleep(l.delay)
	return l.batch, l.err
}

// Guards against denials by a configuration that was never read to its end, and against ages that
// count from the end of a read.
func TestOnlyCompleteReadConfirmsConfiguration(t *testing.T) {
	for name, tt := range map[string]struct {
		log scriptedLog
		// age is the age of the configuration after the read, if it was confirmed.
		age       time.Duration
		confirmed bool
	}{
		"never read":       {scriptedLog{err: errors.New("refused")}, 0, false},
		"records are left": {scriptedLog{batch: platform.Batch{Next: 3}}, 0, false},
		"complete":         {scriptedLog{delay: time.Second}, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDenyingDaemon(tt.log)
				_ = d.config.read(t.Context()) // some reads fail
				if got := d.config.canDeny(); got != tt.confirmed {
					t.Errorf("may deny: %t", got)
				}
				if age := time.Since(d.config.confirmedAt); tt.confirmed && age != tt.age {
					t.Errorf("age %s, want %s", age, tt.age)
				}
			})
		})
	}
}
