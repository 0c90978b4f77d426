// Package checkedconn checks the responses that a client reads from an HTTP/1 connection, for all clients
// of both interfaces. net/http accepts heads that the grammar of HTTP/1.1 does not allow, and takes the end
// of a connection for the end of a response although the connection was reset.
package checkedconn

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/httpframing"
)

// Conn is a client's connection. A read fails at a malformed response, and at the end of a connection that
// does not end its response.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// progress is signaled when a write has returned and when the connection is closed.
	progress  *sync.Cond
	requests  httpframing.Requests
	responses httpframing.Responses
	// writing is set while a write has not returned.
	writing bool
	closed  bool
	// rejectsUnsolicited is set if bytes after the responses to all requests are an error.
	rejectsUnsolicited bool
	// readErr and writeErr are set once reading or writing has failed.
	readErr, writeErr error
}

// New returns a connection on which nothing was sent yet.
func New(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	out.progress = sync.NewCond(&out.mu)
	return out
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// ErrUnsolicited means that a server has sent bytes after the responses to all requests.
var ErrUnsolicited = errors.New("bytes after the responses to all requests")

// Err returns why responses cannot be read any more: an *httpframing.MalformedError, an
// *IncompleteRequestError or ErrUnsolicited.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// IncompleteRequestError means that a connection has ended, and with it a response of no other end, although
// the request could not be written completely. The kernel reports a reset to one call only: if that is the
// write, the read gets the end of the connection.
type IncompleteRequestError struct {
	// Err is why the request could not be written.
	Err error
}

// Error implements error.
func (e *IncompleteRequestError) Error() string {
	return fmt.Sprintf("the response ended with a connection on which its request was not written completely: %v", e.Err)
}

// Unwrap returns the cause, and io.ErrUnexpectedEOF.
func (e *IncompleteRequestError) Unwrap() []error { return []error{io.ErrUnexpectedEOF, e.Err} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if err := c.readErr; err != nil {
		c.mu.Unlock()
		return 0, err // net/http sends a request of which nothing was written on another connection
	}
	c.writing = true
	if !c.responses.Switched() {
		c.requests.Scan(p)
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.progress.Broadcast()
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	valid, malformed := c.scan(p[:n])
	switch {
	case malformed != nil:
		c.readErr = malformed
	case err == io.EOF && c.responses.UntilEnd():
		c.readErr = c.awaitRequest()
	}
	if c.readErr == nil {
		return n, err
	}
	if valid > 0 {
		return valid, nil // the next read returns the error
	}
	return 0, c.readErr
}

// scan returns the number of bytes of p that may be handed out, and an error if it is not all. Callers hold mu.
func (c *Conn) scan(p []byte) (valid int, err error) {
	for valid < len(p) {
		if c.rejectsUnsolicited && c.responses.Unsolicited(&c.requests) {
			return valid, ErrUnsolicited
		}
		n, err := c.responses.Next(p[valid:], c.requests.Last())
		if err != nil {
			return valid, err
		}
		valid += n
	}
	return valid, nil
}

// awaitRequest waits until the request is written. A server may respond, end its side of the connection and
// read on. Callers hold mu.
func (c *Conn) awaitRequest() error {
	for {
		switch {
		case c.writeErr != nil:
			return &IncompleteRequestError{c.writeErr}
		case !c.writing && c.requests.Complete():
			return nil
		case c.closed:
			return &IncompleteRequestError{net.ErrClosed}
		}
		c.progress.Wait()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.progress.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections with dial and checks them, for net/http's transport. That
// may take bytes after a response for the response to the next request, so that they are an error.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked := New(c)
		checked.rejectsUnsolicited = true
		return checked, nil
	}
}

// Transport returns a transport that checks its connections, with the proxy and the idle timeout of net/http's
// default one. The configuration of TLS may be nil.
func Transport(config *tls.Config) *http.Transport {
	return &http.Transport{
		Proxy:           http.ProxyFromEnvironment,
		DialContext:     Dialer((&net.Dialer{}).DialContext),
		DialTLSContext:  Dialer((&tls.Dialer{Config: config}).DialContext),
		IdleConnTimeout: idleTimeout,
	}
}

// idleTimeout is how long Transport keeps a connection without a request.
const idleTimeout = 90 * time.Second
