package request

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a request that two servers get, or none, in any order of events.
func TestExactlyOneSendKeepsTheRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Handover
		other, taken := false, false
		steps := map[string]func(*rapid.T){
			"wait": func(*rapid.T) { h.Wait() },
			"contest": func(t *rapid.T) {
				if waits := h.Waiting(); h.Contest() {
					if other || taken || !waits {
						t.Fatal("a further send beside the other")
					}
					other = true
				}
			},
			"take": func(t *rapid.T) {
				if h.Take() {
					if !other {
						t.Fatal("taken by a send that is not under way")
					}
					other, taken = false, true
				}
			},
			"give up": func(*rapid.T) { h.GiveUp(); other = false },
			"proceed": func(t *rapid.T) {
				if h.Proceed() == taken {
					t.Fatalf("the first server goes on, taken %t", taken)
				}
				other = false
			},
		}
		t.Repeat(steps)
	})
}
