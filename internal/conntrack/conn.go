package conntrack

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
)

// firstRequestTime is how long a new connection may be silent before its first request while connections without
// a request are closed. With TLS it begins again with each part of the handshake.
const firstRequestTime = time.Second

// state is whether a connection has a request.
type state int

const (
	// accepted connections are new: nothing of a request has been read.
	accepted state = iota
	// idle connections have no request: nothing has been read since the last response.
	idle
	// active connections have a request of which something has been read, or whose response is not flushed.
	active
)

// conn is a connection below TLS. The tracker's mu guards its fields.
type conn struct {
	net.Conn
	tracker *Tracker
	state   state
	// encrypted is set with TLS: what is read from an accepted connection may be its handshake.
	encrypted bool
	// lastRead is when the connection was accepted or bytes were last read.
	lastRead time.Time
}

// Listen returns a listener whose connections are tracked. TLS must be above it.
func (t *Tracker) Listen(l net.Listener) net.Listener { return &listener{l, t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.add(c), nil
}

func (t *Tracker) add(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, tracker: t, lastRead: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
	if t.closing {
		t.expectRequest(c)
	}
	return c
}

// tracked returns the tracked connection of one that a server serves.
func tracked(c net.Conn) (*conn, bool) {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	found, ok := c.(*conn)
	return found, ok
}

// observeConn applies a state that the server reports. Callers hold mu.
func (t *Tracker) observeConn(served net.Conn, s http.ConnState) {
	c, ok := tracked(served)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		c.encrypted = served != net.Conn(c)
	case http.StateActive:
		t.setActive(c)
	case http.StateIdle:
		c.state = idle
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// Open returns the number of connections that the server has not closed.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// CloseIdle ends the connections that are or become idle, and new ones that stay silent. A request of which a
// byte has been read, or waits in the socket, is still read and served.
func (t *Tracker) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c := range t.conns {
		switch c.state {
		case accepted:
			t.expectRequest(c)
		case idle:
			c.interrupt()
		}
	}
}

// expectRequest makes an accepted connection idle once it is silent for too long. Callers hold mu.
func (t *Tracker) expectRequest(c *conn) {
	time.AfterFunc(time.Until(c.lastRead.Add(firstRequestTime)), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		switch {
		case c.state != accepted || !t.conns[c]:
		case time.Since(c.lastRead) < firstRequestTime:
			t.expectRequest(c)
		default:
			c.state = idle
			c.interrupt()
		}
	})
}

// interrupt makes a read that waits look whether it must end.
func (c *conn) interrupt() { _ = c.SetReadDeadline(time.Unix(1, 0)) } // fails only on a closed connection

// Read implements net.Conn. It returns either bytes or an error, so that the server gets every byte that has
// left the socket.
func (c *conn) Read(p []byte) (int, error) {
	n, err := 0, error(os.ErrDeadlineExceeded)
	if !c.tracker.ends(c) {
		n, err = c.Conn.Read(p)
	}
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.tracker.ends(c) && c.waits(listenqueue.Readable) {
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.tracker.recordRead(c)
	}
	return n, err
}

// ends reports whether a connection is closed because it has no request.
func (t *Tracker) ends(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing && c.state == idle
}

func (t *Tracker) recordRead(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.lastRead = time.Now()
	if c.state == idle || c.state == accepted && !c.encrypted {
		t.setActive(c)
	}
}

// setActive records that a connection has a request. Callers hold mu.
func (t *Tracker) setActive(c *conn) {
	if t.closing && c.state == idle {
		_ = c.SetReadDeadline(time.Time{}) // an interrupt was too late; fails only on a closed connection
	}
	c.state = active
}

// Close implements net.Conn. It logs bytes under which an idle connection is closed: they may be a request.
func (c *conn) Close() error {
	if c.tracker.ends(c) && c.waits(listenqueue.Unread) {
		c.tracker.log.Warn("idle connection closed as bytes came", "remote", c.RemoteAddr())
	}
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing. The server uses it so that unread bytes of a request do not
// reset the connection before the client has received the response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// waits applies a check of what waits in the socket. It is false for connections in memory.
func (c *conn) waits(check func(syscall.Conn) (bool, error)) bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	waits, err := check(socket)
	return err == nil && waits // else nothing waits, or the connection is closed
}
