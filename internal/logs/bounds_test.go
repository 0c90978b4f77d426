package logs

import (
	"strings"
	"testing"
	"time"
)

func TestLimiterOmitsLinesAndCountsThem(t *testing.T) {
	l, now := NewLimiter(), time.Unix(1000, 0)
	l.now = func() time.Time { return now }
	logged := 0
	for range 10 * lineBurst {
		if allowed, _ := l.Allow(); allowed {
			logged++
		}
	}
	now = now.Add(time.Second)
	if allowed, omitted := l.Allow(); logged != lineBurst || !allowed || omitted != 9*lineBurst {
		t.Errorf("logged %d, then %v with %d omitted", logged, allowed, omitted)
	}
}

func TestLongValuesAreCut(t *testing.T) {
	if got := Bounded(strings.Repeat("x", 1000)); got != strings.Repeat("x", maxValueBytes)+"..." {
		t.Errorf("got %q", got)
	}
	if got := Bounded("short"); got != "short" {
		t.Errorf("got %q", got)
	}
}
