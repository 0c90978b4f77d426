package routing

import (
	"math"
	"testing"
	"time"
)

func TestRate(t *testing.T) {
	var rate Rate
	now := time.Unix(100, 0)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		rate.Record(now)
	}
	if r := rate.PerSecond(now); math.Abs(r-20) > 0.5 {
		t.Errorf("rate %.2f, want 20 per second", r)
	}
	// 5 daemons send 20 prompts per second each to 10 engines: 10 per engine.
	if n := rate.ArrivalsDuring(400*time.Millisecond, 100*time.Millisecond, 5, 10, now); math.Abs(n-5) > 0.2 {
		t.Errorf("%.2f arrivals in 0.5 s, want 5", n)
	}
	if r := rate.PerSecond(now.Add(10 * rateHalfLife)); r > 0.05 {
		t.Errorf("rate %.2f long after the last prompt, want 0", r)
	}
}
