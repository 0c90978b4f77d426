package relay

import (
	"testing"
	"time"
)

// Guards against gaps that look short because the daemon was late to read the event before.
func TestGapAfterLateReadIsIgnored(t *testing.T) {
	var g eventGaps
	at := time.Time{}
	read := func(after time.Duration, events int) time.Duration {
		at = at.Add(after)
		return g.record(events, at)
	}
	read(0, 1)
	for range gapsPerWindow - 1 {
		read(20*time.Millisecond, 1)
	}
	read(39*time.Millisecond, 2)
	read(time.Millisecond, 1)
	if got := read(22*time.Millisecond, 1); got != 20*time.Millisecond {
		t.Errorf("shortest gap %s, want 20ms", got)
	}
}
