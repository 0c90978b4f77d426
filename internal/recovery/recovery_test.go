package recovery

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Guards against panics that are neither counted nor logged, against requests that get no answer
// although nothing was sent, and against responses that look complete after a panic.
func TestPanicIsCountedAndAnswered(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var output bytes.Buffer
	begin := func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }
	for _, c := range []struct {
		name   string
		write  func(w http.ResponseWriter)
		panics any
		counts int64
		// status is that of the answer; 0 if the connection is aborted.
		status int
	}{
		{"no panic", begin, nil, 0, 200},
		{"nothing sent", func(http.ResponseWriter) {}, "broken", 1, 500},
		{"header set", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "100") }, "broken", 1, 500},
		{"only interim response", func(w http.ResponseWriter) { w.WriteHeader(http.StatusEarlyHints) }, "broken", 1, 500},
		{"invalid status", func(w http.ResponseWriter) { w.WriteHeader(42) }, nil, 1, 500},
		{"header sent", begin, "broken", 1, 0},
		{"body sent", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "x") }, "broken", 1, 0},
		{"header flushed", func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }, "broken", 1, 0},
		{"aborted", func(http.ResponseWriter) {}, http.ErrAbortHandler, 0, 0},
	} {
		before := panicCount(scope)
		server := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c.write(w)
			if c.panics != nil {
				panic(c.panics)
			}
		}), scope.Counter("panics"), log.New(&output)))
		status := 0
		if resp, err := http.Get(server.URL); err == nil {
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				status = resp.StatusCode
			}
			_ = resp.Body.Close()
		}
		server.Close()
		if got := panicCount(scope) - before; got != c.counts || status != c.status {
			t.Errorf("%s: counted %d, status %d, want %d, %d", c.name, got, status, c.counts, c.status)
		}
	}
	if !strings.Contains(output.String(), "panic=broken") || !strings.Contains(output.String(), "recovery_test.go") {
		t.Errorf("log output without the panic or its stack: %s", output.String())
	}
}

func panicCount(s tally.TestScope) int64 {
	if c := s.Snapshot().Counters()["panics+"]; c != nil {
		return c.Value()
	}
	return 0
}
