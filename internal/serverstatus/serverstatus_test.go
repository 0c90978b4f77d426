package serverstatus

import (
	"testing"
	"time"
)

// Guards against a pause that is unreadable, overflows, or is not the longest asked for.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)
	unreadable := Pause{Kind: Unreadable}
	for _, tt := range []struct {
		values []string
		want   Pause
	}{
		{nil, Pause{}},
		{[]string{"3"}, Pause{Stated, 3 * time.Second}},
		{[]string{" 2.5 "}, Pause{Stated, 2500 * time.Millisecond}},
		{[]string{"3600"}, Pause{Stated, time.Hour}},
		{[]string{"0"}, Pause{Stated, 0}},
		{[]string{"1e12"}, Pause{Stated, maxPause}},
		{[]string{"1e400"}, unreadable},
		{[]string{"-1"}, unreadable},
		{[]string{"NaN"}, unreadable},
		{[]string{"Inf"}, unreadable},
		{[]string{"soon"}, unreadable},
		{[]string{""}, unreadable},
		{[]string{"1", "many", "4", "2"}, Pause{Stated, 4 * time.Second}},
		{[]string{"Tue, 01 Jan 2030 00:00:07 GMT"}, Pause{Stated, 7 * time.Second}},
		{[]string{"Mon, 31 Dec 2029 23:00:00 GMT"}, Pause{Stated, 0}},
		{[]string{"Fri, 01 Jan 9999 00:00:00 GMT"}, Pause{Stated, maxPause}},
	} {
		if got := ParseRetryAfter(tt.values, now); got != tt.want {
			t.Errorf("%q: %+v, want %+v", tt.values, got, tt.want)
		}
	}
}

// Guards against a server that is taken for leaving by an unreadable value.
func TestParseLeaving(t *testing.T) {
	for _, tt := range []struct {
		values []string
		want   Kind
	}{
		{nil, None}, {[]string{"1"}, Stated}, {[]string{" 1 "}, Stated}, {[]string{"true"}, Stated}, {[]string{"?1"}, Stated},
		{[]string{"0"}, None}, {[]string{"?0"}, None}, {[]string{"false"}, None}, {[]string{""}, Unreadable}, {[]string{"2"}, Unreadable},
		{[]string{"soon"}, Unreadable}, {[]string{"0", "soon", "1"}, Stated},
	} {
		if got := ParseLeaving(tt.values); got != tt.want {
			t.Errorf("%q: %d, want %d", tt.values, got, tt.want)
		}
	}
}

// Guards against a departure that old reports end, or that outlives its process.
func TestDepartureEndsByLaterReportsOrTermination(t *testing.T) {
	ds := NewDepartures()
	ds.Observe(1, 10*time.Second)
	for range 10 {
		ds.ObserveStaying(1, 9*time.Second, 11*time.Second)
	}
	for i := range minStaying {
		if !ds.Leaving(1) {
			t.Fatalf("ended by %d later reports", i)
		}
		ds.ObserveStaying(1, 11*time.Second, 12*time.Second)
	}
	if ds.Leaving(1) {
		t.Error("later reports do not end a departure")
	}
	ds.Observe(1, 13*time.Second)
	if !ds.End(1, 14*time.Second) || ds.Leaving(1) || ds.End(1, 15*time.Second) {
		t.Error("a termination does not end a departure")
	}
	for _, ageMs := range []int64{2000, 900} {
		if ds.Merge([]DepartureReport{{Server: 1, AgeMs: ageMs}}, 15*time.Second); ds.Leaving(1) {
			t.Errorf("a report of %d ms ago, which may be from before the termination, is applied", ageMs)
		}
	}
	if ds.Merge([]DepartureReport{{Server: 1}}, 17*time.Second); !ds.Leaving(1) {
		t.Error("a report of the next process is not applied")
	}
}

// Guards against reports that are never passed on or passed on forever, and against invalid ones.
func TestDeparturesAreReported(t *testing.T) {
	from, to := NewDepartures(), NewDepartures()
	for server := range uint64(40) {
		from.Observe(server, time.Second)
	}
	messages := 0
	for len(from.pending) > 0 {
		reports := from.Reports(false, 2*time.Second)
		to.Merge(reports, 3*time.Second)
		if messages++; len(reports) == 0 || len(reports) > maxDepartures {
			t.Fatalf("%d reports in a message", len(reports))
		}
	}
	if want := 40 * sendsPerDeparture / maxDepartures; to.Count() != 40 || messages != want {
		t.Errorf("%d departures after %d messages, want 40 after %d", to.Count(), messages, want)
	}
	joined := NewDepartures()
	if joined.Merge(from.Reports(true, time.Minute), time.Minute); joined.Count() != 40 {
		t.Errorf("a daemon that joins learns of %d departures", joined.Count())
	}
	if added := joined.Merge([]DepartureReport{{Server: 99, AgeMs: -1}, {Server: 98, AgeMs: 1 << 62}}, time.Minute); len(added) > 0 {
		t.Errorf("invalid reports were applied: %v", added)
	}
}

// Guards against a pause that a shorter one, or time before its end, shortens.
func TestLaterEndOfPausesCounts(t *testing.T) {
	ps := NewPauses()
	ps.Observe(1, 3*time.Second, 0)
	if ps.Observe(1, time.Second, time.Second) != 0 || ps.Remaining(1, time.Second) != 2*time.Second {
		t.Errorf("a shorter pause leaves %s", ps.Remaining(1, time.Second))
	}
	if got := ps.Observe(1, 3*time.Second, time.Second); got != time.Second {
		t.Errorf("prolonged by %s", got)
	}
	if ps.Sweep(3 * time.Second); ps.Remaining(1, 3*time.Second) != time.Second || ps.Count(3*time.Second) != 1 {
		t.Error("a sweep ends a pause")
	}
	if ps.Sweep(4*time.Second + returnPeriod); ps.Len() != 0 {
		t.Error("a pause is kept after its end")
	}
	if ps.Observe(2, 0, 0); ps.Len() != 0 {
		t.Error("a pause of no time is kept")
	}
}

// Guards against tolerances that are read wrongly, or replaced by unreadable ones.
func TestParseTolerance(t *testing.T) {
	for _, tt := range []struct {
		values []string
		want   Tolerance
	}{
		{nil, Tolerance{}},
		{[]string{"2"}, Tolerance{Stated, 2}},
		{[]string{" 0 "}, Tolerance{Stated, 0}},
		{[]string{"0.5"}, Tolerance{Stated, 0.5}},
		{[]string{"1e12"}, Tolerance{Stated, 1e12}},
		{[]string{"7", "3", "5"}, Tolerance{Stated, 3}},
		{[]string{"x", "3"}, Tolerance{Stated, 3}},
		{[]string{"3", "x"}, Tolerance{Stated, 3}},
		{[]string{"x"}, Tolerance{Kind: Unreadable}},
		{[]string{"-1"}, Tolerance{Kind: Unreadable}},
		{[]string{"NaN"}, Tolerance{Kind: Unreadable}},
	} {
		if got := ParseTolerance(tt.values); got != tt.want {
			t.Errorf("%q: %+v, want %+v", tt.values, got, tt.want)
		}
	}
}
