package recovery

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Guards against panics that are neither counted nor logged.
func TestPanicIsCountedAndAbortsConnection(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var output bytes.Buffer
	for _, c := range []struct {
		panics any
		counts int64
	}{{nil, 0}, {"broken", 1}, {http.ErrAbortHandler, 0}} {
		counter := scope.Counter("panics")
		before := panicCount(scope)
		h := Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if c.panics != nil {
				panic(c.panics)
			}
		}), counter, log.New(&output))
		func() {
			defer func() {
				if got := recover(); (got != nil) != (c.panics != nil) || got != nil && got != http.ErrAbortHandler {
					t.Errorf("%v: re-panicked with %v", c.panics, got)
				}
			}()
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		}()
		if got := panicCount(scope) - before; got != c.counts {
			t.Errorf("%v: count is %d", c.panics, got)
		}
	}
	if !strings.Contains(output.String(), "panic=broken") {
		t.Errorf("log output: %s", output.String())
	}
}

func panicCount(s tally.TestScope) int64 {
	if c := s.Snapshot().Counters()["panics+"]; c != nil {
		return c.Value()
	}
	return 0
}
