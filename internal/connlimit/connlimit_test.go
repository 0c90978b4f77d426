package connlimit

import (
	"testing"
	"time"
)

func TestMaxConnectionsLeavesDescriptorsForServers(t *testing.T) {
	for _, tt := range []struct {
		descriptors int
		memory      int64
		want        int
	}{
		{500, 160 << 20, 225},
		{3900, 284 << 20, 1755},
		{3900, 16 << 20, 256},
		{10, 0, minConnections},
		{0, 64 << 20, 1024},
	} {
		if got := MaxConnections(tt.descriptors, tt.memory); got != tt.want {
			t.Errorf("%d descriptors, %d bytes: %d, want %d", tt.descriptors, tt.memory, got, tt.want)
		}
	}
}

func TestVictimIsTheConnectionThatKeepsTheDaemonWaitingLongest(t *testing.T) {
	const now = time.Minute
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	for _, tt := range []struct {
		name  string
		conns []Connection
		want  int
	}{
		{"none", nil, -1},
		{"only requests", []Connection{{"a", Responding, at(1), 0}, {"a", Responding, at(2), 0}}, -1},
		{"longest idle", []Connection{{"a", Idle, at(3), 0}, {"a", Idle, at(2), 0}, {"a", Responding, at(1), 0}}, 1},
		{"idle before heads", []Connection{{"a", ReadingHead, at(1), 0}, {"a", Idle, at(50), 0}}, 1},
		{"heads before bodies", []Connection{{"a", ReadingBody, at(1), 0}, {"a", ReadingHead, at(50), 0}}, 1},
		{"bodies before other protocols", []Connection{{"a", Upgraded, at(1), 0}, {"a", ReadingBody, at(50), 0}}, 1},
		{"longest idle of other protocols", []Connection{{"a", Upgraded, at(3), 0}, {"a", Upgraded, at(2), 0}, {"a", Responding, at(1), 0}}, 1},
		{"bodies before responses", []Connection{{"a", Responding, at(1), at(1)}, {"a", ReadingBody, at(50), 0}}, 1},
		{"refused first", []Connection{{"a", Idle, at(1), 0}, {"a", Closing, at(50), 0}}, 1},
		{"longest unread response", []Connection{{"a", Responding, at(1), at(50)}, {"a", Responding, at(2), at(40)}}, 1},
		{"a response that was just written", []Connection{{"a", Responding, at(1), now - unreadTime/2}}, -1},
		{"crowd at another listener", []Connection{{"a", Idle, at(1), 0}, {"b", Idle, at(3), 0}, {"b", Idle, at(2), 0}}, 2},
		{"crowd of heads at another listener", []Connection{{"a", Idle, at(1), 0}, {"b", ReadingHead, at(3), 0}, {"b", ReadingHead, at(2), 0}}, 2},
		{"many requests are no crowd", []Connection{{"a", Responding, at(1), 0}, {"a", Responding, at(1), 0}, {"a", Idle, at(4), 0}, {"b", Idle, at(3), 0}, {"b", Idle, at(2), 0}}, 4},
	} {
		if got := Victim(tt.conns, now); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}
