package freshness

import (
	"testing"
	"time"
)

func TestOlderConfirmationIgnored(t *testing.T) {
	var tr Tracker
	if _, known := tr.Age(Servers, time.Second); known {
		t.Error("an age without a confirmation")
	}
	if gap := tr.Confirm(Servers, Confirmation{At: 4 * time.Second, Source: "d2"}); gap != 0 {
		t.Errorf("gap of the first confirmation: %s", gap)
	}
	if gap := tr.Confirm(Servers, Confirmation{At: 5 * time.Second, Source: FromStore}); gap != time.Second {
		t.Errorf("gap: %s", gap)
	}
	if gap := tr.Confirm(Servers, Confirmation{At: 3 * time.Second, Source: "d2"}); gap != 0 {
		t.Errorf("gap of an older confirmation: %s", gap)
	}
	if c, _ := tr.Newest(Servers); c.At != 5*time.Second || c.Source != FromStore {
		t.Errorf("newest: %+v", c)
	}
	if age, known := tr.Age(Servers, 7*time.Second); !known || age != 2*time.Second {
		t.Errorf("age: %s, known: %t", age, known)
	}
	if _, known := tr.Age(Configuration, 7*time.Second); known {
		t.Error("a confirmation of one subject counts for another")
	}
}

func TestWithinLimit(t *testing.T) {
	var tr Tracker
	tr.Confirm(Configuration, Confirmation{At: time.Second, Source: FromStore})
	if !tr.ConfirmedWithin(Configuration, 2*time.Second, 1001*time.Millisecond) || tr.ConfirmedWithin(Configuration, 2*time.Second, time.Second) {
		t.Error("the limit is not exclusive")
	}
}

// Guards against daemons that poll the store because a confirmation has not reached them yet.
func TestPollsLeaveTimeForPropagation(t *testing.T) {
	const delay = 800 * time.Millisecond
	for subject, policy := range plan.WithPropagation(delay) {
		if gap := policy.RefreshAge(1000) - policy.RefreshAge(0); gap < delay {
			t.Errorf("%v: the last rank polls %s after the first", subject, gap)
		}
		if policy.RefreshAge(0) > plan[subject].RefreshAge(0) || policy.RefreshAge(1000) != plan[subject].RefreshAge(1000) {
			t.Errorf("%v: polls at %s to %s", subject, policy.RefreshAge(0), policy.RefreshAge(1000))
		}
	}
}
