package listenqueue

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// newGroup returns a group with a listener and three connections in its queue.
func newGroup(t *testing.T) (*Group, net.Listener, *bytes.Buffer) {
	raw, err := Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lines := &bytes.Buffer{}
	g := NewGroup(tally.NoopScope, log.New(lines))
	l := g.Add("test", raw)
	t.Cleanup(func() { _ = l.Close() })
	for range 3 {
		c, err := net.Dial("tcp4", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	return g, l, lines
}

// Guards against closes that reset connections in the queue, and against a listener that counts as closed
// while its last connection is on its way to the server.
func TestCloseAcceptsQueue(t *testing.T) {
	g, l, lines := newGroup(t)
	g.Close(time.Now().Add(time.Hour))
	for range 3 {
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		if g.Open() != 1 {
			t.Fatal("closed with a connection on its way")
		}
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	if want := "accepted=3 left=0 filtered=true"; g.Open() != 0 || !strings.Contains(lines.String(), want) {
		t.Errorf("%d open; want %q:\n%s", g.Open(), want, lines)
	}
}

// Guards against connections that are reset in a queue without a line, and against closes without a limit.
func TestCloseCountsWhatIsLeft(t *testing.T) {
	g, l, lines := newGroup(t)
	g.Close(time.Now())
	for g.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	if want := "WARN listener closed listener=test after_ms="; !strings.Contains(lines.String(), want) || !strings.Contains(lines.String(), "left=3") {
		t.Errorf("want a warning with left=3:\n%s", lines)
	}
}
