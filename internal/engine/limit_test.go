package engine

import (
	"net/http"
	"testing"
)

// Guards against a rate taken from an invalid or unrelated field, and against a higher rate than
// the strictest policy states.
func TestStatedLimit(t *testing.T) {
	for value, want := range map[string]float64{
		`"default";q=10;w=4`:            2.5,
		`"a";q=100;w=10, "b";q=30;w=60`: 0.5,
		`"a";q=100`:                     0,
		`"a";q=0;w=1`:                   0,
		`"a";q=-5;w=1`:                  0,
		`"a";q="10";w=1`:                0,
		`("a" "b");q=1;w=1`:             0,
		`not a list,`:                   0,
		``:                              0,
	} {
		header := http.Header{}
		header.Set(limitHeader, value)
		if got := statedLimit(header); got != want {
			t.Errorf("%q: %g, want %g", value, got, want)
		}
	}
}
