package reachability

import "testing"

// Guards against running servers that are taken for terminated because of one daemon's links.
func TestTerminationNeedsRefusalOfServerAlone(t *testing.T) {
	for _, tt := range []struct {
		name   string
		own    Verdict
		others []Verdict
		want   bool
	}{
		{"alone, other servers accept", Refused, nil, true},
		{"alone, no server accepts", Unknown, nil, false},
		{"refused for all", Refused, []Verdict{Refused, Refused}, true},
		{"own links lost, refused for others", Unknown, []Verdict{Refused, Unknown}, true},
		{"others reach it", Refused, []Verdict{Refused, Connected}, false},
		{"all links lost", Unknown, []Verdict{Unknown, Unknown}, false},
		{"others do not know", Refused, []Verdict{Unknown, Unknown}, true},
		{"silent to another", Refused, []Verdict{Silent, Unknown}, false},
		{"silent to one, refused for another", Refused, []Verdict{Silent, Refused}, true},
	} {
		if got := Terminated(tt.own, tt.others); got != tt.want {
			t.Errorf("%s: terminated %t", tt.name, got)
		}
	}
}
