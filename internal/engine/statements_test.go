package engine

import (
	"net/http"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
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
