package freshness

import (
	"testing"
	"time"
)

var plan = Plan{
	Configuration: {MaxAge: 2 * time.Second, FirstFraction: 0.4, RankDelay: 150 * time.Millisecond, LastFraction: 0.6},
	Servers:       {MaxAge: 2 * time.Second, FirstFraction: 0.25, RankDelay: 250 * time.Millisecond, LastFraction: 0.6},
}

func TestRefreshAgeByRank(t *testing.T) {
	policy := plan[Servers]
	for rank, want := range map[int]time.Duration{0: 500, 1: 750, 2: 1000, 3: 1200, 300: 1200} {
		if got := policy.RefreshAge(rank); got != want*time.Millisecond {
			t.Errorf("rank %d polls at an age of %s", rank, got)
		}
	}
}

func TestNextReturnsEarliestDueSubject(t *testing.T) {
	var tr Tracker
	const long = time.Hour
	if _, _, any := plan.Next(&tr, 0, 0, long); any {
		t.Error("a poll is due without a confirmation")
	}
	tr.Confirm(Configuration, Confirmation{At: 0})
	tr.Confirm(Servers, Confirmation{At: 400 * time.Millisecond})
	for _, c := range []struct {
		now, storeDue time.Duration
		want          Subject
		due           time.Duration
	}{
		{500 * time.Millisecond, long, Configuration, 300 * time.Millisecond},
		{900 * time.Millisecond, long, Configuration, -100 * time.Millisecond},
		{500 * time.Millisecond, 50 * time.Millisecond, Configuration, 50 * time.Millisecond},
	} {
		subject, due, any := plan.Next(&tr, c.now, 0, c.storeDue)
		if !any || subject != c.want || due != c.due {
			t.Errorf("at %s: %s in %s, any %t", c.now, subject, due, any)
		}
	}
	tr.Confirm(Configuration, Confirmation{At: 300 * time.Millisecond})
	if subject, due, _ := plan.Next(&tr, 850*time.Millisecond, 0, long); subject != Servers || due != 50*time.Millisecond {
		t.Errorf("%s in %s", subject, due)
	}
	// At rank 5 both are due at an age of 1.2 s, so the older one comes first.
	if subject, due, _ := plan.Next(&tr, time.Second, 5, long); subject != Configuration || due != 500*time.Millisecond {
		t.Errorf("rank 5: %s in %s", subject, due)
	}
}

func TestIsOutage(t *testing.T) {
	policy := plan[Servers]
	if policy.IsOutage(policy.RefreshAge(300)+200*time.Millisecond) || !policy.IsOutage(1500*time.Millisecond) {
		t.Error("IsOutage does not separate polls from outages")
	}
}
