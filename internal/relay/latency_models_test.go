package relay

import (
	"fmt"
	"testing"
)

// Guards against estimates that are kept for every name of a model that callers send.
func TestModelLatenciesAreBounded(t *testing.T) {
	l := modelLatencies{}
	known := l.get("small", nil)
	for i := range 20 * maxModelLatencies {
		l.get(fmt.Sprint("model", i), nil).responseTime = 1
	}
	if len(l) > maxModelLatencies+1 {
		t.Errorf("%d estimates are kept", len(l))
	}
	if l.get("small", nil) != known || l.get("new", nil) != l.get("newer", nil) {
		t.Error("a known model has lost its estimate, or further ones do not share theirs")
	}
}
