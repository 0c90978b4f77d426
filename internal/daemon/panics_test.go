package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Guards against panics after which a request holds load, reservations or its place for good, or that
// are answered as if the request had not run.
func TestPanicReleasesWhatItsRequestHolds(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	lines := &strings.Builder{}
	d := New(settings.Settings{ID: "d", SubsetSize: 24, BillingBufferSize: 1, StreamIdleTimeout: settings.Duration(time.Minute)}, settings.Secrets{}, Dependencies{Metrics: tally.NoopScope, Logger: log.New(lines)})
	cfg := fleet.NewConfig()
	cfg.Pools["p"] = fleet.Pool{Servers: []fleet.Server{{ID: "s", Address: strings.TrimPrefix(server.URL, "http://")}}}
	cfg.Workspaces["w"] = fleet.Workspace{Models: []string{"m"}, Services: []string{"pay"}}
	cfg.Models["m"] = fleet.Model{Versions: map[string]fleet.Version{"v1": {Pool: "p"}}}
	cfg.Services["pay"] = fleet.Service{Pool: "p"}
	d.config.active.Store(cfg)
	d.config.loaded, d.config.confirmedAt, d.config.majorityAt = true, time.Now(), time.Now()
	d.engine.ObserveStatements = func(string, serverstatus.Statements, engine.Outcome, time.Time) { panic("broken") }
	for name, serve := range map[string]func() error{
		"chat": func() error {
			_, err := d.Chat(t.Context(), "i", ChatRequest{Workspace: "w", Model: "m@v1"})
			return err
		},
		"call": func() error {
			_, _, err := d.callWithClaim(t.Context(), "i", ServiceRequest{Workspace: "w", Service: "pay"}, cfg.Services["pay"], cfg.Workspaces["w"])
			return err
		},
		"forwarded": func() (err error) {
			d.serveForwarded("b", "i", 0, func(m any) error {
				err = m.(peer.ForwardResponse).Refusal.Decode()
				return nil
			}, func() (peer.ForwardResponse, error) {
				return d.runForwardedCall(t.Context(), peer.ForwardedServiceCall{RequestID: "i", Workspace: "w", Service: "pay", Repeatable: true, RemainingMillis: 10_000})
			})
			return err
		},
	} {
		for range 2 {
			if err := serve(); !fault.Is(err, fault.Internal) || fault.FromError(err).ExecutionState() != fault.Unknown {
				t.Errorf("%s: %v", name, err)
			}
		}
		if n := d.inFlight.Load() + d.forwardedRequests.Load(); n != 0 {
			t.Errorf("%s: %d requests in flight", name, n)
		}
		if s := d.Servers()[0]; s.InFlight != 0 {
			t.Errorf("%s: %d requests at the server", name, s.InFlight)
		}
	}
	if n := strings.Count(lines.String(), "stack="); n != 6 {
		t.Errorf("%d panics logged, want 6", n)
	}
}
