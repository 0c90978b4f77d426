package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

func TestTextReporterServesMetrics(t *testing.T) {
	text := New()
	scope, closer := text.Scope("d", time.Hour)
	scope.Counter("requests").Inc(3)
	scope.Tagged(map[string]string{"kind": "stale"}).Counter("refusals").Inc(2)
	scope.Gauge("running").Update(1.5)
	scope.Histogram("seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 3)).RecordDuration(3 * time.Millisecond)
	if err := closer.Close(); err != nil { // flushes the metrics
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	text.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"d_requests 3\n", `d_refusals{kind="stale"} 2`, "d_running 1.5\n", `d_seconds_bucket{up_to="0.004"} 1`} {
		if !strings.Contains(rec.Body.String(), want) {
			t.Errorf("%q is missing in\n%s", want, rec.Body.String())
		}
	}
}
