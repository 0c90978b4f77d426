// Package upstream keeps HTTP/1.1 connections to backend servers. It tells
// exactly whether anything of a request was sent, which net/http's client does
// not, and it finds the answer that belongs to a request among late ones.
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
)

const (
	// dialTimeout bounds the opening of a connection. Round trips are some
	// milliseconds; a dropped first packet is repeated after a second only, and
	// another server answers sooner than that.
	dialTimeout = 400 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if the server names no
	// time of its own.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is taken off a server's keep-alive time, stated in whole
	// seconds: a request sent as the server closes the connection would be
	// lost, and nobody could tell whether it ran.
	keepAliveMargin = 800 * time.Millisecond
	// tcpKeepAliveIdle, probeEvery and probeCount make the kernel notice within about
	// 2 s that the other end of a silent connection is gone.
	tcpKeepAliveIdle     = time.Second
	tcpKeepAliveInterval = 400 * time.Millisecond
	tcpKeepAliveCount    = 3
	// readBufferBytes is the size of a connection's read buffer in bytes: an answer
	// of a plain service or some events of a stream.
	readBufferBytes = 2048
	// maxInlineBodyBytes is the largest body written before the answer is read, in
	// bytes. A longer one is written beside, since a server may answer early.
	maxInlineBodyBytes = 4096
	// maxUnmatchedResponses bounds the answers to other requests passed over on one
	// connection before it is given up.
	maxUnmatchedResponses = 2
	// maxUnmatchedBodyBytes bounds the body of such an answer, in bytes.
	maxUnmatchedBodyBytes = 64 << 10
)

// Reason classifies a failure.
type Reason string

// The reasons for which a call fails.
const (
	// Unreachable: no connection could be opened.
	Unreachable Reason = "unreachable"
	// ConnectionLimit: the connections allowed to the server are all in use.
	ConnectionLimit Reason = "full"
	// ConnectionLost: the connection ended before an answer.
	ConnectionLost Reason = "broken"
	// InvalidResponse: what came is not an answer to the request.
	InvalidResponse Reason = "garbled"
	// Canceled: the caller of Do gave up.
	Canceled Reason = "canceled"
)

// Error is a failed call.
type Error struct {
	Reason Reason
	// Sent says whether any byte of the request left; if not, it has not run.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (sent %t): %v", e.Reason, e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool holds the connections of one daemon, by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
	// OnDial is called for every new connection.
	OnDial func(address string)
	// OnRead is called for every read that brought bytes from an address.
	OnRead func(address string)
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}, open: map[string]int{}, OnDial: func(string) {}, OnRead: func(string) {}}
}

type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// expires ends the connection's idle life.
	expires time.Time
	reused  bool
	closed  sync.Once
}

// Read implements io.Reader and reports life signs.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pool.OnRead(c.address)
	}
	return n, err
}

func (c *conn) close() {
	c.closed.Do(func() {
		_ = c.Conn.Close() // the connection is of no more use; there is nothing to do about an error
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
	// MaxConnections is the most connections to the address; zero is unbounded.
	MaxConnections int
	// Match tells whether an answer belongs to this request. A server may send a
	// second answer to an earlier request where ours is due.
	Match func(*http.Response) bool
}

// Do sends a request and returns the head of its answer. Closing the body before
// its end closes the connection, which cancels the run. The context bounds the
// whole exchange, body included.
func (p *Pool) Do(ctx context.Context, call Call) (*http.Response, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	written, err := send(c, call.Request)
	if err != nil {
		stop()
		c.close()
		return nil, newError(ctx, ConnectionLost, true, err)
	}
	resp, err := receive(c, call)
	if err != nil {
		stop()
		c.close()
		return nil, newError(ctx, classify(err), true, err)
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, resp: resp, stopCancel: stop, written: written}
	return resp, nil
}

func newError(ctx context.Context, r Reason, sent bool, err error) *Error {
	if ctx.Err() != nil {
		return &Error{Canceled, sent, context.Cause(ctx)}
	}
	return &Error{r, sent, err}
}

var errUnmatchedResponse = errors.New("only answers to other requests came")

// classify tells an end of the connection from bytes that are no answer.
func classify(err error) Reason {
	var network net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &network):
		return ConnectionLost
	}
	return InvalidResponse
}

// send writes the request. A long body is written beside the reading; the
// channel then tells its end.
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

// receive reads heads until the one that answers the request.
func receive(c *conn, call Call) (*http.Response, error) {
	for stray := 0; stray <= maxUnmatchedResponses; {
		resp, err := http.ReadResponse(c.reader, call.Request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if call.Match == nil || call.Match(resp) {
			return resp, nil
		}
		stray++
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBodyBytes)); err != nil || n == maxUnmatchedBodyBytes || resp.Close {
			return nil, errUnmatchedResponse
		}
	}
	return nil, errUnmatchedResponse
}

// responseBody gives the connection back when it was read to its end.
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

func (b *responseBody) finish(whole bool) {
	if b.finished {
		return
	}
	b.finished = true
	alive := b.stopCancel()
	if whole && alive && !b.resp.Close && b.requestWritten() {
		b.conn.recycle(b.resp.Header)
		return
	}
	b.conn.close()
}

// requestWritten reports whether the whole request was sent. A server that answered
// before it read all would take our next request for the rest of the body.
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

// recycle puts a connection among the idle ones for as long as the server keeps it.
func (c *conn) recycle(h http.Header) {
	life := keepAliveTimeout(h) - keepAliveMargin
	if life <= 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.reused = true
	c.putIdle(life)
}

// putIdle puts a connection among the idle ones for some time.
func (c *conn) putIdle(life time.Duration) {
	c.expires = time.Now().Add(life)
	c.pool.mu.Lock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
	c.pool.mu.Unlock()
}

func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultKeepAlive
}

// acquire returns an idle connection that is still good, or a new one.
func (p *Pool) acquire(ctx context.Context, call Call) (*conn, error) {
	for {
		c := p.popIdle(call.Address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && isReusable(c.Conn) {
			return c, nil
		}
		c.close()
	}
	p.mu.Lock()
	full := call.MaxConnections > 0 && p.open[call.Address] >= call.MaxConnections
	if !full {
		p.open[call.Address]++
	}
	p.mu.Unlock()
	if full {
		return nil, &Error{ConnectionLimit, false, errors.New("too many connections to " + call.Address)}
	}
	return p.dial(ctx, call.Address)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	c := &conn{pool: p, address: address}
	p.OnDial(address)
	raw, err := dial(ctx, address)
	if err != nil {
		p.mu.Lock()
		p.open[address]--
		p.mu.Unlock()
		return nil, newError(ctx, Unreachable, false, err)
	}
	c.Conn = raw
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

// Probe opens and closes a connection, to learn whether a server answers at all.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.OnDial(address)
	c, err := dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// ConnectionRefused reports whether the VM at an address refuses connections: no process listens
// there. A connection that it takes instead is kept for the next call.
func (p *Pool) ConnectionRefused(ctx context.Context, address string) bool {
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
	list := p.idle[address]
	if len(list) == 0 {
		delete(p.idle, address)
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// CloseIdle closes the idle connections to an address: the server there has started again,
// and what is sent on one of them is lost.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// CloseExpired closes idle connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	var over []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		good := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				good = append(good, c)
			} else {
				over = append(over, c)
			}
		}
		if len(good) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = good
		}
	}
	p.mu.Unlock()
	for _, c := range over {
		c.close()
	}
}

// isReusable reports whether an idle connection is open and has no bytes waiting.
// Bytes there belong to no request: a second answer, or the end of the
// connection. Our next request would meet them in place of its own answer.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && clean
}
