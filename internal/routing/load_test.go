package routing

import (
	"math"
	"testing"
	"time"
)

func TestLoadTellsTheRate(t *testing.T) {
	var l PromptRate
	now := time.Unix(100, 0)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		l.Record(now)
	}
	if r := l.Rate(now); math.Abs(r-20) > 0.5 {
		t.Errorf("20 prompts a second: %.2f", r)
	}
	// 5 daemons send 100 prompts a second to 10 engines: 10 to each.
	if n := l.ArrivalsDuring(400*time.Millisecond, 100*time.Millisecond, 5, 10, now); math.Abs(n-5) > 0.2 {
		t.Errorf("while 0.5 s are read %.2f prompts come", n)
	}
	if r := l.Rate(now.Add(10 * loadHalfLife)); r > 0.05 {
		t.Errorf("long after the last prompt: %.2f", r)
	}
}
