package gossip

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against daemons that are taken for unable to serve because they were silent lately, and
// against requests for those that state that they cannot.
func TestDaemonsToForwardToAreLikelyOrInDoubt(t *testing.T) {
	for _, tt := range []struct {
		name             string
		message          Message
		silence          time.Duration
		callFailed       bool
		likely, doubtful bool
	}{
		{"ready", Message{Ready: true}, 0, false, true, false},
		{"silent", Message{Ready: true}, 2 * minLivenessTimeout, false, false, true},
		{"silent for long", Message{Ready: true}, 2 * doubtfulContact, false, false, false},
		{"call failed", Message{Ready: true}, 0, true, false, true},
		{"not ready", Message{}, 0, false, false, true},
		{"leaving", Message{Ready: true, Leaving: true}, 0, false, false, false},
		{"out of reach", Message{Ready: true, OutOfReach: true}, 0, false, false, false},
		{"out of reach and silent", Message{Ready: true, OutOfReach: true}, 2 * minLivenessTimeout, false, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newTestMembers()
			tt.message.Incarnation, tt.message.Name = "a/1", "a"
			m.Receive("a:1", tt.message)
			m.members["a:1"].lastCallFailed = tt.callFailed
			time.Sleep(tt.silence)
			likely, doubtful, _ := m.ForwardTargets()
			if slices.Contains(likely, "a:1") != tt.likely || slices.Contains(doubtful, "a:1") != tt.doubtful {
				t.Errorf("%s: likely %v, doubtful %v", tt.name, likely, doubtful)
			}
		})
	}
}
