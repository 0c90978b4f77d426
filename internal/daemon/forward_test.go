package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Guards against a request that is refused because the other daemons failed or refused once, although
// they may serve it.
func TestRequestIsForwardedToDaemonInDoubtIfNoOtherIsLeft(t *testing.T) {
	for _, tt := range []struct {
		name  string
		doubt func(d *Daemon, now time.Time)
		found bool
	}{
		{"in contact", func(*Daemon, time.Time) {}, true},
		{"refused", func(d *Daemon, _ time.Time) { d.balancer.recordHelper("b:1", false) }, true},
		{"no response to a probe", func(d *Daemon, now time.Time) { d.members.table.RecordProbe("b", false, now) }, true},
		{"does not serve", func(d *Daemon, now time.Time) {
			d.members.table.MarkAlive(membership.DaemonInfo{ID: "b", PeerAddress: "b:1", Sequence: 2}, now)
		}, true},
		{"leaves", func(d *Daemon, now time.Time) {
			d.members.table.MarkAlive(membership.DaemonInfo{ID: "b", PeerAddress: "b:1", Sequence: 2, Serving: true, Leaving: true}, now)
		}, false},
		{"reaches no server either", func(d *Daemon, now time.Time) {
			d.members.table.MarkAlive(membership.DaemonInfo{ID: "b", PeerAddress: "b:1", Sequence: 2, Serving: true, OutOfReach: true}, now)
		}, false},
		{"gone", func(d *Daemon, now time.Time) {
			d.members.table.RecordProbe("b", false, now)
			d.members.table.Tick(now.Add(membership.SuspicionTimeout))
		}, false},
	} {
		d := New(settings.Settings{ID: "a"}, settings.Secrets{}, Dependencies{Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
		now := time.Now()
		d.members.table.MarkAlive(membership.DaemonInfo{ID: "b", PeerAddress: "b:1", Sequence: 1, Serving: true}, now)
		tt.doubt(d, now)
		if _, found := d.pickHelper("p", &forwarding{unreached: maxUnreachedAttempts}); found != tt.found {
			t.Errorf("%s: found %t, want %t", tt.name, found, tt.found)
		}
	}
}
