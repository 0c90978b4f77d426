package daemon

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Guards against attempts that lost time and wait behind others of their rank, or overtake a
// workspace of a better one.
func TestAttemptPriority(t *testing.T) {
	d := New(settings.Settings{ID: "d"}, settings.Secrets{}, Dependencies{Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	cfg := &fleet.Config{Workspaces: map[string]fleet.Workspace{"a": {Priority: 1}, "b": {Priority: 4}}}
	picked := pick{ranks: workspaceRanks(cfg), expectedFirstToken: 100 * time.Millisecond}
	for _, tt := range []struct {
		priority, attempts int
		left               time.Duration
		want               int
	}{{1, 1, defaultDeadline, 2}, {1, 2, 9 * time.Second, 0}, {1, 1, 50 * time.Millisecond, 0}, {4, 1, defaultDeadline, 7}, {4, 2, 9 * time.Second, 5}} {
		s := &step{workspace: "a", priority: tt.priority, body: map[string]json.RawMessage{}, deadline: time.Now().Add(tt.left), retryState: &request.RetryState{}}
		for range tt.attempts {
			s.retryState.RecordAttempt()
		}
		if got := d.decideUrgency(s, picked).Priority; got != tt.want {
			t.Errorf("%+v: priority %d", tt, got)
		}
	}
}
