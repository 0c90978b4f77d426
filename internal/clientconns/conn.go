package clientconns

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
)

// lingerTime bounds the wait for a client whose request was answered before it was read to its end.
const lingerTime = 500 * time.Millisecond

// conn is a connection of a client. The tracker's mu guards its fields.
type conn struct {
	net.Conn
	tracker *Tracker
	state   State
	since   time.Time
	// request is the ID of the request on the connection.
	request string
	// readAhead is set if bytes have been read after the request on the connection.
	readAhead bool
	// unread is set if the handler has returned before the whole request was read.
	unread bool
	// left is set if the client has closed the connection, and closing if this daemon has.
	left, closing bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.tracker.closesBetweenRequests(c) && c.readable() {
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
		n, err = c.Conn.Read(p)
	}
	c.tracker.recordRead(c, n, err)
	return n, err
}

// read reads unless reading has been stopped.
func (c *conn) read(p []byte) (int, error) {
	if c.tracker.readingStopped(c) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// readable reports whether a read of the socket returns at once. It is false for connections in memory.
func (c *conn) readable() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	readable, err := listenqueue.Readable(socket)
	return err == nil && readable // else the connection is closed
}

// hasUnread reports whether bytes wait in the socket. It is false for connections in memory.
func (c *conn) hasUnread() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	unread, err := listenqueue.Unread(socket)
	return err == nil && unread // else nothing waits, or the connection is closed
}

func (t *Tracker) readingStopped(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped[c.state]
}

// closesBetweenRequests reports whether a connection is closed because no request is on it. It is not if
// one has come that the server has not read.
func (t *Tracker) closesBetweenRequests(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped[c.state] && !c.state.hasRequest()
}

func (t *Tracker) recordRead(c *conn, n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 {
		switch c.state {
		case Accepted, Idle:
			t.beginRequest(c)
		case Serving, Flushing:
			c.readAhead = c.readAhead || !c.unread // else it is the rest of the request
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.left = true
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.tracker.beginClose(c) {
		c.discardUnread()
	}
	return c.Conn.Close()
}

// discardUnread reads until the client closes the connection: bytes that are unread at the close, or
// come later, would reset the connection and drop an answer on its way.
func (c *conn) discardUnread() {
	_ = c.CloseWrite()                                     // fails only on a closed connection
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	_, _ = io.Copy(io.Discard, c.Conn)                     // ends with the deadline or the connection
}

// beginClose logs the close of a connection with a request that was not handled to its end. It reports
// whether the close must wait for the client, because the request is answered and not read to its end.
func (t *Tracker) beginClose(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case c.closing || c.left:
	case c.state == Reading || c.state == Serving:
		t.logCut(c, reasonServer)
	case !c.state.hasRequest() && c.hasUnread():
		t.logCut(c, reasonCrossed)
	}
	linger := c.unread && !c.closing && !c.left && !t.cut
	c.closing = true
	return linger
}

// CloseWrite closes the connection for writing. The server uses it so that unread bytes of a request
// do not reset the connection before the client has received the answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// body is the body of a request on a connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.tracker.recordBody(b.conn)
	}
	return n, err
}

// MarkAnswered records that what came on the connection was answered without the server, so that its close
// cuts nothing.
func (c *conn) MarkAnswered() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.closing = true
}

// recordBody records that the whole request has been read.
func (t *Tracker) recordBody(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.state == Reading {
		t.set(c, Serving)
	}
}
