package routing

import (
	"math"
	"testing"
	"time"
)

func TestPromptRate(t *testing.T) {
	var rate PromptRate
	now := time.Unix(100, 0)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		rate.Record(now)
	}
	if r := rate.PerSecond(now); math.Abs(r-20) > 0.5 {
		t.Errorf("20 prompts a second: %.2f", r)
	}
	// 5 daemons send 100 prompts a second to 10 engines: 10 to each.
	if n := rate.ArrivalsDuring(400*time.Millisecond, 100*time.Millisecond, 5, 10, now); math.Abs(n-5) > 0.2 {
		t.Errorf("while 0.5 s are read %.2f prompts come", n)
	}
	if r := rate.PerSecond(now.Add(10 * rateHalfLife)); r > 0.05 {
		t.Errorf("long after the last prompt: %.2f", r)
	}
}
