package engine

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// Guards against a rate taken from an invalid or unrelated field, a higher rate than the strictest
// policy states, and an invalid field that is taken for the end of a limit.
func TestStatedLimit(t *testing.T) {
	none, unreadable := serverlimit.Statement{}, serverlimit.Statement{Kind: serverlimit.Unreadable}
	for value, want := range map[string]serverlimit.Statement{
		`"default";q=10;w=4`:            serverlimit.StatedRate(2.5),
		`"a";q=100;w=10, "b";q=30;w=60`: serverlimit.StatedRate(0.5),
		`"a";q=100`:                     none,
		`"a";q=0;w=1`:                   serverlimit.StatedRate(0),
		`"a";q=-5;w=1`:                  unreadable,
		`"a";q="10";w=1`:                unreadable,
		`"a";q=10;w=0`:                  unreadable,
		`("a" "b");q=1;w=1`:             unreadable,
		`not a list,`:                   unreadable,
	} {
		header := http.Header{}
		header.Set(limitHeader, value)
		if got := statedLimit(header); got != want {
			t.Errorf("%q: %+v, want %+v", value, got, want)
		}
	}
	if got := statedLimit(http.Header{}); got != none {
		t.Errorf("no field: %+v", got)
	}
}

// Guards against taking every refusal of a run for a version that the server lacks.
func TestRefusalOfRunNamesItsReason(t *testing.T) {
	for status, missing := range map[int]bool{http.StatusConflict: true, http.StatusServiceUnavailable: false, http.StatusBadRequest: false} {
		err := checkStatus(&http.Response{StatusCode: status, Header: http.Header{"X-Started": {"false"}}})
		if !errors.Is(err, ErrNotStarted) || errors.Is(err, ErrVersionNotLoaded) != missing {
			t.Errorf("status %d: %v", status, err)
		}
	}
}

// Guards against a statement of an engine that is missed, or read from a response that makes none.
func TestStatementsOfEngines(t *testing.T) {
	header := http.Header{drainingHeader: {"true"}, "Retry-After": {"3"}}
	now := time.Now()
	if s := statements(http.StatusServiceUnavailable, header, now); s.Leaving != serverstatus.Stated || s.Pause != (serverstatus.Pause{Kind: serverstatus.Stated, Duration: 3 * time.Second}) {
		t.Errorf("got %+v", s)
	}
	if s := statements(http.StatusOK, header, now); s.Pause.Kind != serverstatus.None {
		t.Errorf("a pause in a response that succeeded: %+v", s)
	}
	if s := statements(http.StatusOK, http.Header{}, now); s != (serverstatus.Statements{}) {
		t.Errorf("no statement: %+v", s)
	}
}
