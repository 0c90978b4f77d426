package reachability

import (
	"testing"
	"time"
)

// Guards against a service that counts as out of reach because of a single server.
func TestServiceIsLostWhenSeveralServersAreOutOfReach(t *testing.T) {
	for _, tt := range []struct {
		name    string
		servers int
		events  []string
		want    bool
	}{
		{"one server of three, again and again", 3, []string{"-a", "-a", "-a"}, false},
		{"two servers of three", 3, []string{"-a", "-b"}, true},
		{"contact in between", 3, []string{"-a", "+", "-b"}, false},
		{"the only server", 1, []string{"-a"}, true},
		{"contact afterwards", 3, []string{"-a", "-b", "+"}, false},
		{"lost again", 2, []string{"-a", "-b", "+", "-a", "-b"}, true},
	} {
		tracker := NewTracker()
		for i, event := range tt.events {
			if event == "+" {
				tracker.Reached("app", time.Duration(i))
				continue
			}
			tracker.Unreached("app", event, tt.servers, time.Duration(i))
		}
		if got := tracker.Lost("app"); got != tt.want {
			t.Errorf("%s: lost %t, want %t", tt.name, got, tt.want)
		}
		if tracker.Lost("lm") {
			t.Errorf("%s: another service is lost", tt.name)
		}
	}
}

// Guards against changes that are reported more than once, and wrong times.
func TestLossAndReturnAreReportedOnce(t *testing.T) {
	tracker := NewTracker()
	lost := 0
	for i, server := range []string{"a", "b", "c", "a"} {
		if tracker.Unreached("app", server, 3, time.Duration(i)*time.Second) {
			lost++
		}
	}
	regained, lostFor := tracker.Reached("app", 11*time.Second)
	if again, _ := tracker.Reached("app", 12*time.Second); lost != 1 || !regained || lostFor != 10*time.Second || again {
		t.Errorf("lost %d times, regained %t after %s, again %t", lost, regained, lostFor, again)
	}
}
