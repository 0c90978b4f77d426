package node

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Guards against confirmations of near positions that are dropped because peers far ahead came first.
func TestNearConfirmationIsKeptWhenPeersAreFarAhead(t *testing.T) {
	var d deferredConfirmations
	for i := range maxDeferred {
		d.add(freshness.Configuration, feed.Position(30+i), freshness.Confirmation{At: time.Second})
	}
	d.add(freshness.Configuration, 12, freshness.Confirmation{At: 2 * time.Second})
	if _, found := d.take(freshness.Configuration, 12); !found {
		t.Error("no confirmation at the position that was read")
	}
}

// Guards against a daemon that is confirmed late at a position because earlier confirmations of the same
// position displace the newest one.
func TestNewestConfirmationOfPositionIsKept(t *testing.T) {
	var d deferredConfirmations
	for i := range 2 * maxDeferred {
		d.add(freshness.Configuration, 30, freshness.Confirmation{At: time.Duration(i) * time.Second})
	}
	if c, _ := d.take(freshness.Configuration, 30); c.At != (2*maxDeferred-1)*time.Second {
		t.Errorf("confirmed at %s", c.At)
	}
}
