package daemon

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against evidence that is kept for every class that callers name.
func TestRequestClassesAreBounded(t *testing.T) {
	c := newCascadePlanner(nil)
	c.acceptCheap("w/desk", "known", 0.5)
	for i := range 10 * maxClasses {
		c.acceptCheap("w/desk", c.boundedClass("w/desk", fmt.Sprint("class", i)), 0.5)
	}
	if n := len(c.state["w/desk"].classes); n > maxClasses+1 {
		t.Errorf("%d classes are kept", n)
	}
	for name, want := range map[string]string{"known": "known", "class0": "class0", "new": otherClasses, strings.Repeat("x", maxClassBytes+1): otherClasses} {
		if got := c.boundedClass("w/desk", name); got != want {
			t.Errorf("%.20s is kept as %q, want %q", name, got, want)
		}
	}
	if got := c.boundedClass("w/other-desk", "new"); got != "new" {
		t.Errorf("a class of another cascade is kept as %q", got)
	}
}
