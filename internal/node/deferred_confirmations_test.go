package node

import (
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Guards against a daemon that others never confirm while servers register all the time, as some
// peer has always read further: a confirmation holds once its position is read, the newest first.
func TestDeferredConfirmations(t *testing.T) {
	var d deferredConfirmations
	for i := range 3 {
		d.add(freshness.Servers, feed.Position(10*i+10), freshness.Confirmation{At: time.Duration(i) * time.Second})
	}
	if _, found := d.take(freshness.Servers, 9); found {
		t.Error("a confirmation holds before its position")
	}
	if c, found := d.take(freshness.Servers, 20); !found || c.At != time.Second {
		t.Errorf("%+v, %t", c, found)
	}
	if c, found := d.take(freshness.Servers, 30); !found || c.At != 2*time.Second {
		t.Errorf("%+v, %t", c, found)
	}
	if _, found := d.take(freshness.Servers, 100); found {
		t.Error("a confirmation is returned twice")
	}
}
