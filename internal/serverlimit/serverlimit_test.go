package serverlimit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// observeUnstated passes responses without a limit, one each unstatedInterval, and returns the time
// after the last.
func observeUnstated(table *Table, responses int, now time.Duration) time.Duration {
	for range responses {
		now += unstatedInterval
		table.Observe(1, Statement{}, now, now+time.Millisecond)
	}
	return now + time.Millisecond
}

// Guards against keeping a limit that the server has lifted, and against lifting one because of a
// few responses without it, of responses that are older than the limit, or of many at the same time.
func TestOnlySuccessiveLaterResponsesEndLimit(t *testing.T) {
	table, now := NewTable(), time.Second
	if !table.Observe(1, StatedRate(5), 0, now) || table.Limit(1, now).PerSecond != 5 {
		t.Fatal("stated rate is not kept")
	}
	kept := func(why string) {
		t.Helper()
		if table.Limit(1, now+objectionPeriod).PerSecond != 5 {
			t.Fatal("limit ended by " + why)
		}
	}
	for range 3 * minUnstated {
		now += time.Second
		table.Observe(1, Statement{}, 900*time.Millisecond, now)
	}
	kept("responses to earlier requests")
	for range 3 * minUnstated {
		table.Observe(1, Statement{}, now, now+time.Millisecond)
	}
	kept("simultaneous requests")
	table.Observe(1, Statement{Kind: Unreadable}, now, now)
	now = observeUnstated(table, minUnstated-2, now)
	kept("too few responses")
	table.Observe(1, StatedRate(5), now, now)
	now = observeUnstated(table, minUnstated-1, now)
	kept("responses on both sides of a statement")
	now = observeUnstated(table, 1, now)
	if table.Limit(1, now).PerSecond != 5 || table.Limit(1, now+objectionPeriod).PerSecond != 0 {
		t.Errorf("rate %g at the end and %g after the objection period", table.Limit(1, now).PerSecond, table.Limit(1, now+objectionPeriod).PerSecond)
	}
	if table.Observe(1, StatedRate(7), now, now+time.Minute); table.Limit(1, now+time.Minute).PerSecond != 7 {
		t.Error("rate that is stated again is not kept")
	}
}

// Guards against a limit that is lifted by a daemon whose responses leave it out, while other daemons
// get it stated.
func TestLaterStatementVoidsEnd(t *testing.T) {
	a, b, c := NewTable(), NewTable(), NewTable()
	now := time.Second
	a.Observe(1, StatedRate(5), 0, now)
	b.Merge(a.Updates(true, now), now)
	c.Merge(a.Updates(true, now), now)
	ended := observeUnstated(a, minUnstated, now)
	b.Observe(1, StatedRate(5), ended-time.Millisecond, ended)
	now = ended + 10*time.Millisecond
	b.Merge(a.Updates(false, now), now)
	c.Merge(a.Updates(false, now), now)
	if b.Limit(1, now+objectionPeriod).PerSecond != 5 || c.Limit(1, now+objectionPeriod).PerSecond != 0 {
		t.Fatal("the end is not judged by the statements that each daemon knows")
	}
	now += objectionPeriod / 2
	a.Merge(b.Updates(false, now), now)
	c.Merge(b.Updates(false, now), now)
	for name, table := range map[string]*Table{"a": a, "b": b, "c": c} {
		if table.Limit(1, now+objectionPeriod).PerSecond != 5 {
			t.Errorf("%s has lifted the limit", name)
		}
	}
	now = observeUnstated(a, 3*minUnstated, now)
	if a.Limit(1, now+objectionPeriod).PerSecond != 5 {
		t.Error("the daemon lifts the limit again")
	}
}

// Guards against daemons that disagree for good on a limit that was stated to one of them at the time
// at which the responses began that ended it at another one.
func TestStatementHoldsOverEndOfSameTime(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(1, StatedRate(5), 0, time.Second)
	b.Merge(a.Updates(true, time.Second), time.Second)
	now := observeUnstated(a, minUnstated, time.Second)
	b.Observe(1, StatedRate(5), 0, a.entries[1].endedSince)
	b.Merge(a.Updates(false, now), now)
	a.Merge(b.Updates(false, now), now)
	if later := now + objectionPeriod; a.Limit(1, later).PerSecond != 5 || b.Limit(1, later).PerSecond != 5 {
		t.Errorf("rates %g and %g", a.Limit(1, later).PerSecond, b.Limit(1, later).PerSecond)
	}
}

// Guards against a need long after an end that is taken for an objection to it, so that its own end
// is noticed late.
func TestLaterNeedIsNoObjection(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(1, StatedRate(5), 0, time.Second)
	now := observeUnstated(a, minUnstated, time.Second) + time.Hour
	b.Observe(1, StatedRate(5), now, now)
	a.Merge(b.Updates(false, now), now)
	if a.Limit(1, now).PerSecond != 5 {
		t.Fatal("the later limit is not applied")
	}
	if now = observeUnstated(a, minUnstated, now); a.Limit(1, now+objectionPeriod).PerSecond != 0 {
		t.Error("the end of the later limit is not noticed")
	}
}

// Guards against a limit that a daemon keeps for good because it missed its end.
func TestMissedEndIsCorrected(t *testing.T) {
	a, b := NewTable(), NewTable()
	now := time.Second
	a.Observe(1, StatedRate(5), 0, now)
	b.Merge(a.Updates(true, now), now)
	now = observeUnstated(a, minUnstated, now)
	for range sendsPerReport {
		a.Updates(false, now) // lost
	}
	for b.Limit(1, now).PerSecond > 0 && now < 2*time.Minute {
		now += time.Second
		for _, table := range []*Table{a, b} {
			table.MarkKnown(1, now)
			table.Sweep(now)
		}
		a.Merge(b.Updates(false, now), now)
		b.Merge(a.Updates(false, now), now)
	}
	if a.Limit(1, now).PerSecond != 0 || b.Limit(1, now).PerSecond != 0 {
		t.Errorf("rates %g and %g", a.Limit(1, now).PerSecond, b.Limit(1, now).PerSecond)
	}
}

// Guards against reports that daemons keep passing on, and against a limit that returns from a
// daemon that does not know its end.
func TestReportsSpreadOnceAndEndingWins(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(1, StatedRate(5), 0, time.Second)
	const transit = 40 * time.Millisecond
	now := time.Second
	for range 400 {
		now += 50 * time.Millisecond
		b.Merge(a.Updates(false, now), now+transit)
		a.Merge(b.Updates(false, now), now+transit)
	}
	if n := len(a.Updates(false, now)) + len(b.Updates(false, now)); n != 0 {
		t.Errorf("%d reports are still passed on", n)
	}
	if b.Limit(1, now).PerSecond != 5 {
		t.Fatal("rate did not spread")
	}
	outdated := a.Updates(true, now)
	now = observeUnstated(b, minUnstated, now)
	a.Merge(b.Updates(false, now), now+transit)
	b.Merge(outdated, now+2*transit)
	now += 2*transit + objectionPeriod
	if a.Limit(1, now).PerSecond != 0 || b.Limit(1, now).PerSecond != 0 {
		t.Errorf("rates %g and %g after the end", a.Limit(1, now).PerSecond, b.Limit(1, now).PerSecond)
	}
}

// Guards against limits that pile up for servers that are gone, and against forgetting that of a
// server which gets no requests.
func TestLimitIsKeptWhileServerIsKnown(t *testing.T) {
	table := NewTable()
	table.Observe(1, StatedRate(5), 0, 0)
	table.Observe(2, StatedRate(5), 0, 0)
	for now := time.Duration(0); now <= time.Hour; now += time.Second {
		table.MarkKnown(1, now)
		table.Sweep(now)
		if now < retention && table.Limit(2, now).PerSecond != 5 {
			t.Fatal("limit of a server that may return is gone early")
		}
	}
	if table.Limit(1, time.Hour).PerSecond != 5 || len(table.entries) != 1 {
		t.Errorf("rate %g, %d entries", table.Limit(1, time.Hour).PerSecond, len(table.entries))
	}
}

// Guards against reports that are applied although their content is impossible.
func TestInvalidReportsAreIgnored(t *testing.T) {
	table := NewTable()
	updates := []Update{{1, -1, 0, 0}, {2, 1, -1, 0}, {3, 2 * maxRate, 0, 0}, {4, 1, math.MaxInt64, 0}, {5, math.NaN(), 0, 0}, {6, 0, 0, 0}, {7, 1, 0, maxSequence + 1}}
	if changes := table.Merge(updates, time.Second); len(changes) != 0 || table.Limited(time.Second) != 0 {
		t.Errorf("%d changes, %d limited servers", len(changes), table.Limited(time.Second))
	}
}

// Guards against more requests in a window than a server with a stated rate allows.
func TestSharesStayWithinStatedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, daemons := rapid.Float64Range(0.05, 500).Draw(t, "rate"), rapid.IntRange(1, 2000).Draw(t, "daemons")
		share := ShareOf(rate, daemons)
		const window = 4 * time.Second
		sent := share.Senders * (int(window/share.Interval) + 1)
		if allowed := 1.5*rate*window.Seconds() + 5; float64(sent) > allowed {
			t.Fatalf("%d senders at %s: %d requests, allowed %.1f", share.Senders, share.Interval, sent, allowed)
		}
		if daemons > int(rate)+burstAllowance && float64(share.Senders)/share.Interval.Seconds() < 0.9*rate {
			t.Fatal("less than 0.9 of the rate is divided")
		}
	})
}

// Guards against messages that grow with the number of limited servers, and against servers that
// are left out of them.
func TestMessagesAreBoundedAndNameEveryServer(t *testing.T) {
	const servers = 500
	table, named := NewTable(), map[uint64]bool{}
	for server := range uint64(servers) {
		table.Observe(server, StatedRate(5), 0, 0)
	}
	messages := 0
	for updates := table.Updates(false, 0); len(updates) > 0; updates = table.Updates(false, 0) {
		messages++
		if len(updates) > maxUpdates {
			t.Fatalf("%d reports in a message", len(updates))
		}
		for _, u := range updates {
			named[u.Server] = true
		}
	}
	if most := servers*sendsPerReport/maxUpdates + 1; len(named) != servers || messages > most {
		t.Errorf("%d of %d servers named in %d messages, want at most %d", len(named), servers, messages, most)
	}
}

// Guards against a limit that outlives its end because repeated reports of it look newer.
func TestRepeatedReportDoesNotVoidEnd(t *testing.T) {
	const delay, hops = time.Millisecond, 20
	server, now := Key("a"), time.Minute
	tables := [2]*Table{NewTable(), NewTable()}
	tables[0].Observe(server, StatedRate(5), now, now)
	for hop := range hops {
		updates := tables[hop%2].Updates(false, now)
		now += delay
		tables[(hop+1)%2].Merge(updates, now)
	}
	end := Update{Server: server, AgeMs: (hops / 2 * delay).Milliseconds()}
	for i, table := range tables {
		if table.Merge([]Update{end}, now); table.Reported(server) != 0 {
			t.Errorf("table %d: a later end is void", i)
		}
	}
}
