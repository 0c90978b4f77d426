package slo

import (
	"math"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// At a target of 0.99, 4 failed of 200 in five minutes are a burn rate of 2, and 6 of 1,000
// in an hour one of 0.6, which leaves 40% of the budget: 40 minutes at that rate.
func TestReport(t *testing.T) {
	c := fleet.NewConfig()
	c.Workspaces["w"] = fleet.Workspace{Objectives: fleet.Objectives{Availability: 0.99, FirstTokenMillis: 1500, FirstTokenFraction: 0.9}}
	now := time.Unix(100*3600, 0)
	key := Key{"w", "m", "v1", "fd1"}
	bad := Key{"w", "m", "v2", "fd2"}
	a, b := NewCounters(), NewCounters()
	a.Observe(now.Add(-30*time.Minute), key, Counts{Requests: 800, Failed: 2, Late: 50})
	a.Observe(now.Add(-time.Minute), key, Counts{Requests: 150, Failed: 1})
	b.Observe(now, bad, Counts{Requests: 50, Failed: 3, Late: 50})
	a.Observe(now.Add(-7*time.Hour), key, Counts{Requests: 1e6, Failed: 1e6})
	counts := append(a.Snapshot(now), b.Snapshot(now)...)
	find := func(objective string, w time.Duration) ObjectiveBurn {
		for _, b := range Report(c, counts) {
			if b.Objective == objective && b.Window == w {
				return b
			}
		}
		t.Fatalf("no result for %s in %s", objective, w)
		return ObjectiveBurn{}
	}
	near := func(name string, got, want float64) {
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	fast, hour := find("availability", 5*time.Minute), find("availability", time.Hour)
	near("fast burn", fast.Burn, 2)
	near("fast remaining", fast.Remaining, -1)
	near("hour burn", hour.Burn, 0.6)
	near("hour remaining", hour.Remaining, 0.4)
	near("hour exhausted", hour.ExhaustedIn.Minutes(), 40)
	near("late burn", find("first_token", time.Hour).Burn, 1)
	if fast.Worst != "m@v2 in fd2" || fast.Requests != 200 || hour.Requests != 1000 || fast.ExhaustedIn != 0 {
		t.Errorf("fast %+v, hour %+v", fast, hour)
	}
}
