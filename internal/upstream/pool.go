// Package upstream is an HTTP/1.1 client with a connection pool for backend servers.
// Unlike net/http's client it reports whether any part of a request was sent, and it
// skips responses that belong to earlier requests on the same connection.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/damaskrudder/damaskrudder/internal/checkedconn"
)

const (
	// dialTimeout is shorter than TCP's initial retransmission timeout of 1 s, because
	// trying another server is faster than waiting for the retransmission.
	dialTimeout = 400 * time.Millisecond
	// defaultKeepAlive is the idle timeout if the server's response states none.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the idle timeout of a server. A request sent
	// while the server closes the connection may or may not have run.
	keepAliveMargin = 800 * time.Millisecond
	// The kernel detects a dead peer after tcpKeepAliveIdle and tcpKeepAliveCount
	// unanswered probes, one per tcpKeepAliveInterval. It counts whole seconds.
	tcpKeepAliveIdle     = time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveCount    = 3
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2048
	// maxInlineBodyBytes is the largest request body that is written before the
	// response is read. A longer one is written concurrently, since a server may
	// respond early.
	maxInlineBodyBytes = 4096
	// maxUnmatchedResponses is the number of responses to other requests that are
	// skipped before a connection is closed.
	maxUnmatchedResponses = 2
	// maxUnmatchedBodyBytes bounds the body of a skipped response.
	maxUnmatchedBodyBytes = 64 << 10
)

// Reason classifies a failure.
type Reason string

// Reasons for which a call fails.
const (
	// Unreachable means that no connection could be opened.
	Unreachable Reason = "unreachable"
	// ConnectionLimit means that the maximum number of connections is open.
	ConnectionLimit Reason = "full"
	// ConnectionLost means that the connection ended before the response.
	ConnectionLost Reason = "broken"
	// InvalidResponse means that the received data is not a response to the request.
	InvalidResponse Reason = "garbled"
	// Canceled means that the context of the call was done.
	Canceled Reason = "canceled"
	// Withdrawn means that the call was not admitted any more when a connection was open.
	Withdrawn Reason = "withdrawn"
)

// Error is a failed call.
type Error struct {
	Reason Reason
	// Sent reports whether any part of the request may have been sent. If it is
	// false, the request has not run.
	Sent bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (sent %t): %v", e.Reason, e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool holds connections to backend servers. It is safe for concurrent use.
type Pool struct {
	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
	// open is the number of connections by address, idle ones included.
	open map[string]int
	// Dial opens connections. Set it before the first call to replace TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial is called before a connection is opened. Set it before the first call.
	OnDial func(address string)
	// OnRead is called after each read that returned data. Set it before the first
	// call.
	OnRead func(address string)
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}, open: map[string]int{}, Dial: dial, OnDial: func(string) {}, OnRead: func(string) {}}
}

type conn struct {
	*checkedconn.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	head    headLimit
	// expires is the time after which an idle connection must not be used.
	expires time.Time
	reused  bool
	closed  sync.Once
}

// Read implements io.Reader and calls OnRead. It fails at the limit of a head.
func (c *conn) Read(p []byte) (int, error) {
	allowed, err := c.head.allow(len(p))
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:allowed])
	c.head.record(n)
	if n > 0 {
		c.pool.OnRead(c.address)
	}
	return n, err
}

// discard closes the connection and removes it from the count of open ones. Further
// calls have no effect.
func (c *conn) discard() {
	c.closed.Do(func() {
		_ = c.Conn.Close() // an error has no consequence
		c.pool.mu.Lock()
		c.pool.open[c.address]--
		if c.pool.open[c.address] <= 0 {
			delete(c.pool.open, c.address)
		}
		c.pool.mu.Unlock()
	})
}

// Call is one request to a server.
type Call struct {
	Address string
	Request *http.Request
	// MaxConnections limits the connections to the address; 0 means no limit.
	MaxConnections int
	// ReuseOnly sends the request on an open connection or not at all.
	ReuseOnly bool
	// Match reports whether a response belongs to this request; nil accepts any. A
	// server may send a duplicate response to an earlier request first.
	Match func(*http.Response) bool
	// Admit reports whether the request may still be sent, once a connection is open; nil
	// always admits it.
	Admit func() bool
	// GrowHead is called with the number of bytes by which a long head grows, before they are read.
	// Its error fails the call; nil always permits them.
	GrowHead func(n int) error
}

// Do sends a request and returns its response once the header has been read. ctx
// applies until the body has been read. Closing the body earlier closes the
// connection, which makes the server cancel the request. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, call Call) (*http.Response, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	if call.Admit != nil && !call.Admit() {
		c.putIdle(c.remainingIdleTime())
		return nil, &Error{Withdrawn, false, errWithdrawn}
	}
	stop := context.AfterFunc(ctx, c.discard)
	written, err := send(c, call.Request)
	if err != nil {
		stop()
		c.discard()
		return nil, newError(ctx, ConnectionLost, true, err)
	}
	resp, err := receive(c, call)
	if err != nil {
		stop()
		c.discard()
		return nil, newError(ctx, classify(err), true, err)
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, resp: resp, stopCancel: stop, written: written}
	return resp, nil
}

// newError returns an error with the given reason, or with Canceled if ctx is done.
func newError(ctx context.Context, reason Reason, sent bool, err error) *Error {
	if ctx.Err() != nil {
		return &Error{Canceled, sent, context.Cause(ctx)}
	}
	return &Error{reason, sent, err}
}

// remainingIdleTime returns how long a connection may stay idle that has not been used since it was
// acquired.
func (c *conn) remainingIdleTime() time.Duration {
	if c.reused {
		return time.Until(c.expires)
	}
	return defaultKeepAlive - keepAliveMargin
}

// ErrNoIdleConnection is the error of a call that may not open a connection. It tells nothing of the server.
var ErrNoIdleConnection = errors.New("no open connection, and new ones are not opened")

var errWithdrawn = errors.New("not admitted any more when a connection was open")

var errUnmatchedResponse = errors.New("received only responses to other requests")

// classify distinguishes a lost connection from an invalid response.
func classify(err error) Reason {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &netErr):
		return ConnectionLost
	}
	return InvalidResponse
}

// send writes the request. A request with a long body is written in the background;
// the returned channel, otherwise nil, then receives the result.
func send(c *conn, r *http.Request) (<-chan error, error) {
	w := bufio.NewWriterSize(c.Conn, maxInlineBodyBytes)
	write := func() error {
		if err := r.Write(w); err != nil {
			return err
		}
		return w.Flush()
	}
	if r.ContentLength <= maxInlineBodyBytes {
		return nil, write()
	}
	done := make(chan error, 1)
	go func() { done <- write() }()
	return done, nil
}

// receive reads responses until one matches the request.
func receive(c *conn, call Call) (*http.Response, error) {
	c.head = headLimit{grow: call.GrowHead}
	for unmatched := 0; unmatched <= maxUnmatchedResponses; {
		resp, err := c.readHead(call.Request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if call.Match == nil || call.Match(resp) {
			return resp, nil
		}
		unmatched++
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBodyBytes)); err != nil || n == maxUnmatchedBodyBytes || resp.Close {
			return nil, errUnmatchedResponse
		}
	}
	return nil, errUnmatchedResponse
}

// responseBody returns its connection to the pool after it has been read completely.
type responseBody struct {
	io.ReadCloser
	conn       *conn
	resp       *http.Response
	stopCancel func() bool
	written    <-chan error
	finished   bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(true)
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	notCanceled := b.stopCancel()
	if complete && notCanceled && !b.resp.Close && b.requestWritten() {
		b.conn.recycle(b.resp.Header)
		return
	}
	b.conn.discard()
}

// requestWritten reports whether the request has been written completely. After a partial
// one, the server would read the next request as the rest of the body.
func (b *responseBody) requestWritten() bool {
	if b.written == nil {
		return true
	}
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// recycle returns a connection to the pool for the idle timeout of the server, or
// discards it if it cannot be reused.
func (c *conn) recycle(header http.Header) {
	idleTimeout := keepAliveTimeout(header) - keepAliveMargin
	if idleTimeout <= 0 || c.reader.Buffered() > 0 || c.Err() != nil {
		c.discard()
		return
	}
	c.reused = true
	c.putIdle(idleTimeout)
}

// putIdle adds a connection to the idle ones.
func (c *conn) putIdle(idleTimeout time.Duration) {
	c.expires = time.Now().Add(idleTimeout)
	c.pool.mu.Lock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
	c.pool.mu.Unlock()
}

// keepAliveTimeout returns the idle timeout in a Keep-Alive header field.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultKeepAlive
}

// acquire returns a reusable idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, call Call) (*conn, error) {
	for {
		c := p.popIdle(call.Address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && isReusable(c.NetConn()) {
			return c, nil
		}
		c.discard()
	}
	if call.ReuseOnly {
		return nil, &Error{Unreachable, false, ErrNoIdleConnection}
	}
	p.mu.Lock()
	limitReached := call.MaxConnections > 0 && p.open[call.Address] >= call.MaxConnections
	if !limitReached {
		p.open[call.Address]++
	}
	p.mu.Unlock()
	if limitReached {
		return nil, &Error{ConnectionLimit, false, errors.New("too many connections to " + call.Address)}
	}
	return p.dial(ctx, call.Address)
}

// dial opens a connection that the caller has already counted in p.open.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	c := &conn{pool: p, address: address}
	p.OnDial(address)
	raw, err := p.Dial(ctx, address)
	if err != nil {
		p.mu.Lock()
		p.open[address]--
		p.mu.Unlock()
		return nil, newError(ctx, Unreachable, false, err)
	}
	c.Conn = checkedconn.New(raw)
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// Probe opens and closes a connection to check that a server accepts connections.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.OnDial(address)
	c, err := p.Dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// RefusesConnections reports whether the VM refuses connections to an address, which means
// that no process listens there. A successful connection is kept in the pool.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	p.mu.Lock()
	p.open[address]++
	p.mu.Unlock()
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.putIdle(defaultKeepAlive - keepAliveMargin)
	return false
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		delete(p.idle, address)
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// CloseIdleConnections closes the idle connections to an address. It is used after the server has
// restarted, when requests on them would be lost.
func (p *Pool) CloseIdleConnections(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.discard()
	}
}

// CloseExpiredConnections closes the idle connections that have expired.
func (p *Pool) CloseExpiredConnections(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

// isReusable reports whether an idle connection is open and has no unread data. Unread
// data would be a duplicate response, which the next request would read as its own.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
