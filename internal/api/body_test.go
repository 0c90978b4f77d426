package api

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Guards against a body that is late and is answered as malformed, after which callers do not come back.
func TestFailedBodyIsAnsweredByCause(t *testing.T) {
	d := daemon.New(settings.Settings{ID: "d", MaxBodyBytes: 100}, settings.Secrets{}, daemon.Dependencies{Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
	a := &API{daemon: d}
	for _, tt := range []struct {
		err  error
		kind fault.Kind
	}{
		{io.ErrUnexpectedEOF, fault.BadRequest},
		{errors.New("connection reset"), fault.BadRequest},
		{os.ErrDeadlineExceeded, fault.BodyTimeout},
	} {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", iotest.ErrReader(tt.err))
		_, err := a.readBody(echo.New().NewContext(r, httptest.NewRecorder()))
		if !fault.Is(err, tt.kind) {
			t.Errorf("%v: %v", tt.err, err)
		}
	}
}
