package engine

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// resetConn is a connection that is reset while a request is written: the write gets the error, so that the
// read, which returns before it, gets the end.
type resetConn struct {
	net.Conn
	response      *strings.Reader
	reset, atEnd  chan struct{}
	writeAccepted int
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.writeAccepted -= len(p); c.writeAccepted >= 0 {
		return len(p), nil
	}
	close(c.reset)
	<-c.atEnd
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err == io.EOF {
		<-c.reset
		close(c.atEnd)
	}
	return n, err
}

func (c *resetConn) Close() error { return nil }

// Guards against a part of a response that is taken for the whole, if the server resets the connection while
// the request is written.
func TestResponseCutBesideALongRequestIsIncomplete(t *testing.T) {
	c := NewClient(time.Minute, func(context.Context, string, string) (net.Conn, error) {
		return &resetConn{response: strings.NewReader("HTTP/1.1 200 OK\r\n\r\na part"), writeAccepted: 8 << 10, reset: make(chan struct{}), atEnd: make(chan struct{})}, nil
	})
	if status, data, err := c.Call(context.Background(), "a:1", "r", make([]byte, 1<<20)); err == nil {
		t.Errorf("got %d %q", status, data)
	}
}
