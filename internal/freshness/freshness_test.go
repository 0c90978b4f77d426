package freshness

import (
	"testing"
	"time"
)

func TestOlderConfirmationChangesNothing(t *testing.T) {
	var l Tracker
	if _, known := l.Age(Servers, time.Second); known {
		t.Error("confirmed before any reading")
	}
	if gap := l.Confirm(Servers, Confirmation{At: 4 * time.Second, Source: "d2"}); gap != 0 {
		t.Errorf("a gap of %s before the first", gap)
	}
	if gap := l.Confirm(Servers, Confirmation{At: 5 * time.Second, Source: FromStore}); gap != time.Second {
		t.Errorf("a gap of %s", gap)
	}
	if gap := l.Confirm(Servers, Confirmation{At: 3 * time.Second, Source: "d2"}); gap != 0 {
		t.Errorf("a gap of %s before an older one", gap)
	}
	if c, _ := l.Newest(Servers); c.At != 5*time.Second || c.Source != FromStore {
		t.Errorf("the newest is %+v", c)
	}
	if age, known := l.Age(Servers, 7*time.Second); !known || age != 2*time.Second {
		t.Errorf("age %s, known %t", age, known)
	}
	if _, known := l.Age(Configuration, 7*time.Second); known {
		t.Error("a confirmation of servers counts for the configuration")
	}
}

func TestConfirmationIsWithinItsLimitOnly(t *testing.T) {
	var l Tracker
	l.Confirm(Configuration, Confirmation{At: time.Second, Source: FromStore})
	if !l.Within(Configuration, 2*time.Second, 1001*time.Millisecond) || l.Within(Configuration, 2*time.Second, time.Second) {
		t.Error("the limit is not kept")
	}
}
