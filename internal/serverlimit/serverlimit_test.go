package serverlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against keeping a limit that the server has lifted, and against lifting one because
// of a response that is older than the limit.
func TestOnlyLaterResponsesEndLimit(t *testing.T) {
	table := NewTable()
	if !table.Observe(1, 5, 0, time.Second) || table.Rate(1) != 5 {
		t.Fatal("stated rate is not kept")
	}
	if table.Observe(1, 0, 900*time.Millisecond, 1100*time.Millisecond) || table.Rate(1) != 5 {
		t.Error("response to an earlier request ended the limit")
	}
	if !table.Observe(1, 0, 1200*time.Millisecond, 1300*time.Millisecond) || table.Rate(1) != 0 {
		t.Error("response to a later request did not end the limit")
	}
}

// Guards against reports that daemons keep passing on, and against a limit that returns from a
// daemon that does not know its end.
func TestReportsSpreadOnceAndEndingWins(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.Observe(1, 5, 0, time.Second)
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
	if b.Rate(1) != 5 {
		t.Fatal("rate did not spread")
	}
	b.Observe(1, 0, now, now+transit)
	a.Merge(b.Updates(false, now+transit), now+2*transit)
	b.Merge(a.Updates(true, now+2*transit), now+3*transit)
	if a.Rate(1) != 0 || b.Rate(1) != 0 {
		t.Errorf("rates %g and %g after the end", a.Rate(1), b.Rate(1))
	}
}

// Guards against a rate that is kept although no server states it any more.
func TestUnconfirmedLimitExpires(t *testing.T) {
	table := NewTable()
	table.Observe(1, 5, 0, 0)
	table.Expire(retention)
	if table.Rate(1) != 5 {
		t.Error("expired early")
	}
	table.Expire(retention + time.Second)
	if table.Rate(1) != 0 {
		t.Error("did not expire")
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
		table.Observe(server, 5, 0, 0)
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
