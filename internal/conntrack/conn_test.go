package conntrack

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
)

// socketPair is a client, and its connection as an idle one of a tracker.
func socketPair(t *testing.T, tracker *Tracker) (*net.TCPConn, *conn) {
	t.Helper()
	l, err := listenqueue.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	served, err := tracker.Listen(l).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = served.Close() })
	tracker.observe(served, http.StateIdle)
	return client.(*net.TCPConn), served.(*conn)
}

// sendWaiting writes bytes and returns once they wait in the socket of the connection.
func sendWaiting(t *testing.T, client net.Conn, c *conn) {
	t.Helper()
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	for !c.waits(listenqueue.Unread) {
		runtime.Gosched()
	}
}

// Guards against requests that wait in the socket of a kept connection when it is closed as idle.
func TestCloseIdleReadsWhatWaits(t *testing.T) {
	tracker := New(log.New(io.Discard))
	client, c := socketPair(t, tracker)
	sendWaiting(t, client, c)
	tracker.CloseIdle()
	if n, err := c.Read(make([]byte, 8)); n != 3 || c.state != active {
		t.Errorf("read %d bytes: %v, state %v", n, err, c.state)
	}
}

// Guards against requests that cross the close of a kept connection without a line.
func TestCloseIdleLogsBytesThatCross(t *testing.T) {
	lines := &bytes.Buffer{}
	tracker := New(log.New(lines))
	client, c := socketPair(t, tracker)
	tracker.CloseIdle()
	if n, err := c.Read(make([]byte, 8)); n > 0 || err == nil {
		t.Errorf("read %d bytes: %v", n, err)
	}
	sendWaiting(t, client, c)
	_ = c.Close() // the line is what counts
	if want := "idle connection closed as bytes came"; strings.Count(lines.String(), want) != 1 {
		t.Errorf("want %q:\n%s", want, lines)
	}
}

// Guards against a response that is lost by a reset because its request was not read to the end.
func TestCloseWriteKeepsReading(t *testing.T) {
	client, c := socketPair(t, New(log.New(io.Discard)))
	if err := c.CloseWrite(); err != nil {
		t.Error(err)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Error(err)
	}
	if n, err := c.Read(make([]byte, 8)); n != 3 {
		t.Errorf("read %d bytes: %v", n, err)
	}
}
