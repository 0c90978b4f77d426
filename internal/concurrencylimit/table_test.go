package concurrencylimit

import (
	"math"
	"testing"
	"time"
)

const (
	srv   = uint64(7)
	slots = 8
	start = time.Minute
)

// Guards against limits that end by a single late response, or never.
func TestStatementEndsWithSuccessiveResponsesOrTime(t *testing.T) {
	table := NewTable()
	if !table.ObserveStatement("s", srv, 2, start) || table.ObserveStatement("s", srv, 2, start+1) {
		t.Error("the beginning is not reported once")
	}
	table.ObserveNoStatement("s", srv, start+2)
	table.ObserveStatement("s", srv, 2, start+3)
	if table.ObserveNoStatement("s", srv, start+4) || !table.Limited("s", start+4) {
		t.Error("one response ends the limits")
	}
	if !table.ObserveNoStatement("s", srv, start+5) || table.Limited("s", start+5) {
		t.Error("successive responses do not end the limits")
	}
	table.ObserveStatement("s", srv, 2, start+time.Second)
	if table.Limited("s", start+time.Second+statementRetention+1) {
		t.Error("a statement without later responses holds for ever")
	}
}

// Guards against limits that stay as they are after a rejection, fall for old requests, or never
// grow back.
func TestRejectionLowersLimitUntilItGrowsBack(t *testing.T) {
	for _, tt := range []struct {
		perSecond float64
		inFlight  int
		after     time.Duration
		want      int
	}{
		{5, slots, 0, 0},
		{5, slots, rejectionPause, slots / 2},
		{5, slots, growthInterval, slots/2 + 1},
		{5, slots, 4 * growthInterval, slots},
		{5, slots + 5, rejectionPause, slots},
		{0, slots, 4 * growthInterval, slots / 2},
		{0, slots, 4 * slowGrowthInterval, slots},
	} {
		table := NewTable()
		table.ObserveStatement("s", srv, tt.perSecond, start)
		table.ObserveRejection("s", srv, slots, tt.inFlight, start)
		table.ObserveRejection("s", srv, slots, tt.inFlight, start+episode/2)
		table.services["s"].statedAt = start + tt.after
		if got := table.Limit("s", srv, slots, start+tt.after); got != tt.want {
			t.Errorf("%+v: limit %d", tt, got)
		}
	}
}

// Guards against shares that add up to another limit than that of the server.
func TestSharesAddUpToTheLimit(t *testing.T) {
	for daemons := range 70 {
		for limit := range 65 {
			sum := 0
			for rank := range daemons {
				sum += Share(limit, rank, daemons)
			}
			if daemons > 0 && sum != limit {
				t.Fatalf("%d daemons share %d of %d", daemons, sum, limit)
			}
		}
	}
}

// Guards against reports that bring back an ended statement or raise a limit, and unusable values.
func TestReportsOfOtherDaemons(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.ObserveStatement("s", srv, 3, start)
	a.ObserveRejection("s", srv, slots, slots, start)
	if !b.Merge(a.Reports(start), start) || b.Merge(a.Reports(start), start) {
		t.Error("news is not reported once")
	}
	if got := b.Limit("s", srv, slots, start+rejectionPause); got != slots/2 {
		t.Errorf("limit %d", got)
	}
	b.ObserveStatement("s", srv, 3, start+1)
	b.ObserveNoStatement("s", srv+1, start+1)
	b.ObserveNoStatement("s", srv+1, start+1)
	if !b.Limited("s", start+1) {
		t.Error("the responses of another server end the statement")
	}
	b.ObserveNoStatement("s", srv, start+1)
	b.ObserveNoStatement("s", srv, start+2)
	if b.Merge(a.Reports(start+3), start+3); b.Limited("s", start+3) {
		t.Error("an old report brings back an ended statement")
	}
	if len(a.Reports(start+2*reportSpread)) != 0 {
		t.Error("old observations are reported")
	}
	c := NewTable()
	c.Merge([]Report{{Service: "s", PerSecond: math.Inf(1), AgeMillis: -5}, {Server: srv, Base: -3}, {Service: "t", AgeMillis: math.MaxInt64 / int64(time.Millisecond)}}, start)
	if c.Limit("s", srv, slots, start+rejectionPause) != 1 || c.Limited("t", start) {
		t.Errorf("unusable reports: limit %d", c.Limit("s", srv, slots, start+rejectionPause))
	}
	if c.Sweep(start + time.Hour); c.Len() != 0 {
		t.Errorf("%d entries are left", c.Len())
	}
}

// Guards against a statement that daemons keep alive by passing it on to each other, and that
// outlives its end in this way: each hop leaves out the time in the network.
func TestPassedOnStatementDoesNotLookLater(t *testing.T) {
	const transit, gap = 45 * time.Millisecond, 5 * time.Millisecond
	tables, now := [3]*Table{NewTable(), NewTable(), NewTable()}, start
	tables[0].ObserveStatement("s", srv, 2, now)
	tables[1].Merge(tables[0].Reports(now), now)
	for range responsesToEnd {
		tables[0].ObserveNoStatement("s", srv, now)
	}
	for from := 1; now < start+3*reportSpread; from = 3 - from {
		reports := tables[from].Reports(now)
		if now > start+reportSpread+transit+gap && len(reports) > 0 {
			t.Fatalf("passed on %s after the statement", now-start)
		}
		now += transit
		tables[3-from].Merge(reports, now)
		if tables[0].Merge(reports, now); tables[0].Limited("s", now) {
			t.Fatalf("limited %s after the end", now-start)
		}
		now += gap
	}
}

// Guards against a rejection that counts as another one when its report comes back late, so that the
// server never gets a request again.
func TestReportThatComesBackIsNoOtherRejection(t *testing.T) {
	const transit, gap = 200 * time.Millisecond, 5 * time.Millisecond
	tables, now := [2]*Table{NewTable(), NewTable()}, start
	tables[0].ObserveStatement("s", srv, 2, now)
	tables[0].ObserveRejection("s", srv, slots, slots, now)
	for from := 0; now < start+10*time.Second; from = 1 - from {
		reports := tables[from].Reports(now)
		now += transit
		tables[1-from].Merge(reports, now)
		now += gap
	}
	for i, table := range tables {
		if table.PauseRemaining(srv, now) > 0 {
			t.Errorf("daemon %d: paused %s after the rejection", i, now-start)
		}
	}
	later := now
	tables[0].ObserveStatement("s", srv, 2, later)
	tables[0].ObserveRejection("s", srv, slots, slots, later)
	if !tables[1].Merge(tables[0].Reports(later), later) || tables[1].PauseRemaining(srv, later) == 0 {
		t.Error("a later rejection does not count")
	}
}
