package freshness

import (
	"testing"
	"time"
)

var plan = Plan{
	Configuration: {MaxAge: 2 * time.Second, FirstFraction: 0.4, RankDelay: 150 * time.Millisecond, LastFraction: 0.6},
	Servers:       {MaxAge: 2 * time.Second, FirstFraction: 0.25, RankDelay: 250 * time.Millisecond, LastFraction: 0.6},
}

func TestFurtherDaemonsLookLaterAndAllInTime(t *testing.T) {
	u := plan[Servers]
	for rank, want := range map[int]time.Duration{0: 500, 1: 750, 2: 1000, 3: 1200, 300: 1200} {
		if got := u.Limit(rank); got != want*time.Millisecond {
			t.Errorf("rank %d looks at an age of %s", rank, got)
		}
	}
}

func TestTheSubjectThatIsDueFirstIsLookedAt(t *testing.T) {
	var l Tracker
	const long = time.Hour
	if _, _, any := plan.Next(&l, 0, 0, long); any {
		t.Error("a look before anything is known")
	}
	l.Confirm(Configuration, Confirmation{At: 0})
	l.Confirm(Servers, Confirmation{At: 400 * time.Millisecond})
	for _, c := range []struct {
		now, own time.Duration
		want     Subject
		due      time.Duration
	}{
		{500 * time.Millisecond, long, Configuration, 300 * time.Millisecond},
		{900 * time.Millisecond, long, Configuration, -100 * time.Millisecond},
		{500 * time.Millisecond, 50 * time.Millisecond, Configuration, 50 * time.Millisecond},
	} {
		about, due, any := plan.Next(&l, c.now, 0, c.own)
		if !any || about != c.want || due != c.due {
			t.Errorf("at %s: %s in %s, any %t", c.now, about, due, any)
		}
	}
	l.Confirm(Configuration, Confirmation{At: 300 * time.Millisecond})
	if about, due, _ := plan.Next(&l, 850*time.Millisecond, 0, long); about != Servers || due != 50*time.Millisecond {
		t.Errorf("%s in %s", about, due)
	}
	// The daemon of rank 5 looks at both at 1.2 s: the older one comes first.
	if about, due, _ := plan.Next(&l, time.Second, 5, long); about != Configuration || due != 500*time.Millisecond {
		t.Errorf("further down the list: %s in %s", about, due)
	}
}

func TestATimeWithoutConfirmationBeyondAllLooksIsAnOutage(t *testing.T) {
	u := plan[Servers]
	if u.IsOutage(u.Limit(300)+200*time.Millisecond) || !u.IsOutage(1500*time.Millisecond) {
		t.Error("an outage is told wrongly")
	}
}
