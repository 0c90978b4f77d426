package api

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Guards against panics after which a caller gets no answer, one without the fields of the API, or a
// response that looks complete.
func TestPanicIsAnsweredUnlessResponseHasBegun(t *testing.T) {
	for name, tt := range map[string]struct {
		write  func(w http.ResponseWriter)
		status int
	}{
		"before the header": {func(http.ResponseWriter) {}, http.StatusInternalServerError},
		"invalid status":    {func(w http.ResponseWriter) { w.WriteHeader(42) }, http.StatusInternalServerError},
		"after the header":  {func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }, 0},
	} {
		scope, logger := tally.NewTestScope("", nil), log.New(io.Discard)
		d := daemon.New(settings.Settings{ID: "d"}, settings.Secrets{}, daemon.Dependencies{Metrics: scope, Logger: logger})
		server := httptest.NewServer(New(d, logger, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			tt.write(w)
			panic("broken")
		})))
		resp, err := http.Get(server.URL + "/metrics")
		status, state := 0, ""
		if err == nil {
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				status, state = resp.StatusCode, resp.Header.Get(HeaderExecutionState)
			}
			_ = resp.Body.Close()
		}
		server.Close()
		if status != tt.status || status != 0 && state != string(fault.Unknown) {
			t.Errorf("%s: status %d, state %q", name, status, state)
		}
		if n := scope.Snapshot().Counters()["panics+"]; n == nil || n.Value() != 1 {
			t.Errorf("%s: not counted once", name)
		}
	}
}
