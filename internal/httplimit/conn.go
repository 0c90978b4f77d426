package httplimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/connlimit"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
	"github.com/damaskrudder/damaskrudder/internal/httpframing"
)

const (
	// readBytes is the size of a read of a head that did not come with the first one.
	readBytes = 4 << 10
	// lateReadTime is how long a read waits for what has arrived when a timeout is noticed late.
	lateReadTime = 100 * time.Millisecond
	// maxEmptyLines is the number of empty lines that may precede a request.
	maxEmptyLines = 2
)

// conn is a connection of a client. It hands out the bytes of one request at a time, and those of a head
// only once all of it has come and the account has room for it. Its server reads from it in one
// goroutine at a time.
type conn struct {
	net.Conn
	group    *Group
	listener string
	activity activity
	// hook is that of the server for its connections' states.
	hook func(net.Conn, http.ConnState)

	// head and body follow the present request; inBody is set between the two.
	head   httpframing.Head
	body   httpframing.Body
	inBody bool
	// pending holds bytes that the server has not got: the first released of them are for it, and the last
	// unscanned ones have not been looked at.
	pending             []byte
	released, unscanned int
	// charged is the number of bytes in the account.
	charged int64
	// serving is set from the end of a head until the response is complete.
	serving bool
	// upgraded is set once the connection is no longer one of requests.
	upgraded bool
	// closesAfterRequest is set if it is not known where the present request ends.
	closesAfterRequest bool
	// answered is set once a response was complete, and refused once the client was refused or the
	// connection is being closed: the server reads the end then.
	answered, refused bool

	// deadlines guards the fields below. The read deadline is the earlier one.
	deadlines sync.Mutex
	// server is the read deadline that the server has set, and own the one of this package.
	server, own time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for len(p) > 0 {
		switch {
		case c.refused || c.closesAfterRequest && !c.serving:
			return 0, io.EOF
		case c.released > 0:
			return c.handOut(p), nil
		case c.upgraded:
			return c.readUpgraded(p)
		case c.inBody:
			return c.readBody(p)
		}
		n, err := c.readHead(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
	return 0, nil
}

// handOut copies released bytes.
func (c *conn) handOut(p []byte) int {
	n := copy(p, c.pending[:c.released])
	c.released -= n
	c.pending = c.pending[n:]
	if len(c.pending) == 0 {
		c.pending = nil
	}
	return n
}

// readUpgraded reads bytes of another protocol.
func (c *conn) readUpgraded(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.activity.since.Store(int64(c.group.now()))
	return n, err
}

// readBody reads bytes of the body, and keeps those of the next request. On a connection that is evicted, it
// fails as if the body did not arrive in time, so that its request is answered.
func (c *conn) readBody(p []byte) (int, error) {
	if c.closing() {
		return 0, os.ErrDeadlineExceeded
	}
	p = p[:min(int64(len(p)), c.body.Remaining())]
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	used := c.scanBody(p[:n])
	c.keep(p[used:n])
	if c.refused {
		return 0, os.ErrDeadlineExceeded
	}
	return used, nil // the next read returns the error again
}

// scanBody returns the number of bytes that belong to the body, and ends the request with it.
func (c *conn) scanBody(p []byte) int {
	n := c.body.Scan(p)
	switch {
	case c.body.Done():
		c.inBody, c.head = false, httpframing.Head{}
		c.refused = !c.setActivity(connlimit.Responding)
	case !c.body.Known():
		c.closesAfterRequest = true
		fallthrough
	default:
		c.inBody = true
		c.refused = !c.setActivity(connlimit.ReadingBody)
	}
	return n
}

// keep keeps bytes of the next request.
func (c *conn) keep(p []byte) {
	if len(p) > 0 {
		c.pending = append(c.pending, p...)
		c.unscanned = len(p)
	}
}

// readHead reads a part of a head. It returns bytes if the whole head is in p, and none if there is more to do.
func (c *conn) readHead(p []byte) (int, error) {
	switch {
	case len(c.pending) == 0:
		return c.readWholeHead(p)
	case c.serving: // the server looks for the next request with a single byte
		c.head.Scan(c.pending[:1])
		c.unscanned, c.released = c.unscanned-1, 1
		return 0, nil
	case c.unscanned == 0:
		if err := c.readMore(); err != nil {
			return 0, err
		}
	}
	part := c.pending[len(c.pending)-c.unscanned:]
	used, done := c.head.Scan(part)
	c.unscanned -= used
	if !c.checkHead() || !done {
		return 0, nil
	}
	if !c.endHead(c.pending[:len(c.pending)-c.unscanned]) {
		return 0, nil
	}
	c.unscanned -= c.scanBody(c.pending[len(c.pending)-c.unscanned:])
	c.released = len(c.pending) - c.unscanned
	return 0, nil
}

// readWholeHead reads a head into p, and returns it with what came of its body. If it is not complete, it
// is kept, except for a single byte: with that, the server looks for the next request during a response.
func (c *conn) readWholeHead(p []byte) (int, error) {
	n, err := c.readWithin(p)
	if n == 0 {
		return 0, err
	}
	used, done := c.head.Scan(p[:n])
	switch {
	case !c.checkHead():
		return 0, nil
	case !done && len(p) == 1:
		return n, nil
	case !done:
		c.pending = append(c.pending, p[:n]...)
		return 0, nil
	case !c.endHead(p[:used]):
		return 0, nil
	}
	used += c.scanBody(p[used:n])
	c.keep(p[used:n])
	if c.refused {
		return 0, io.EOF
	}
	return used, nil
}

// readMore reads more of a head into pending.
func (c *conn) readMore() error {
	if len(c.pending) == cap(c.pending) {
		if refusal := c.charge(readBytes); refusal != nil {
			c.refuse(refusal, reasonMemory)
			return io.EOF
		}
		c.pending = append(make([]byte, 0, len(c.pending)+readBytes), c.pending...)
	}
	n, err := c.readWithin(c.pending[len(c.pending):cap(c.pending)])
	c.pending, c.unscanned = c.pending[:len(c.pending)+n], n
	if n > 0 {
		return nil
	}
	return err
}

// checkHead refuses a head that exceeds the limits, and reports whether it does not.
func (c *conn) checkHead() bool {
	switch limit := c.group.config.Limits().headBytes(); {
	case c.head.Bytes > limit:
		c.refuse(fault.New(fault.HeadTooLarge, "the head is longer than %d bytes", limit), reasonHead)
	case c.head.EmptyLines > maxEmptyLines:
		c.refuse(fault.New(fault.BadRequest, "more than %d empty lines precede the request", maxEmptyLines), reasonEmptyLines)
	default:
		return true
	}
	return false
}

// endHead charges a complete head, and reports whether there is room for it.
func (c *conn) endHead(head []byte) bool {
	c.limitRead(time.Time{})
	c.release()
	if refusal := c.charge(flowcontrol.HeadCost(c.head.Bytes, c.head.Lines)); refusal != nil {
		c.pending = head
		c.refuse(refusal, reasonMemory)
		return false
	}
	c.body, c.serving = httpframing.ParseBody(head), true
	return true
}

// charge charges the account, or returns the refusal.
func (c *conn) charge(n int64) *fault.Error {
	refusal := c.group.config.Account.GrowHeads(c.charged, n)
	if refusal == nil {
		c.charged += n
	}
	return refusal
}

// release ends the charge.
func (c *conn) release() {
	c.group.config.Account.ReleaseHeads(c.charged)
	c.charged = 0
}

// readWithin reads bytes of a head within the time limits.
func (c *conn) readWithin(p []byte) (int, error) {
	if c.serving {
		return c.Conn.Read(p)
	}
	began := c.head.Bytes > 0
	if began && c.ownDeadline().IsZero() || !began {
		c.limitRead(time.Now().Add(c.waitLimit(began)))
	}
	n, err := c.Conn.Read(p)
	if n == 0 && c.late(err) {
		c.limitRead(time.Now().Add(lateReadTime))
		n, err = c.Conn.Read(p)
	}
	switch {
	case n > 0 && !began:
		c.beginRequest()
		c.limitRead(time.Time{})
	case n == 0 && began && c.late(err):
		c.refuse(fault.New(fault.HeadTimeout, "the head did not arrive within %s", c.waitLimit(began)), reasonHeadTimeout)
		return 0, io.EOF
	}
	return n, err
}

// beginRequest records that a part of a request has been read.
func (c *conn) beginRequest() {
	c.refused = !c.setActivity(connlimit.ReadingHead)
	c.hook(c.Conn, http.StateActive)
}

// readAhead reports whether a part of the next request has been read.
func (c *conn) readAhead() bool {
	return !c.closesAfterRequest && (c.head.Bytes > 0 || len(c.pending) > 0)
}

// waitLimit is how long the client may take for a head that has begun, or to begin one.
func (c *conn) waitLimit(began bool) time.Duration {
	limits := c.group.config.Limits()
	switch {
	case began:
		return limits.headTimeout()
	case c.answered:
		return limits.idleTimeout()
	}
	return firstRequestTimeout
}

// late reports whether a read failed because of the deadline of this package.
func (c *conn) late(err error) bool {
	own := c.ownDeadline()
	return errors.Is(err, os.ErrDeadlineExceeded) && !own.IsZero() && !time.Now().Before(own)
}

func (c *conn) ownDeadline() time.Time {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	return c.own
}

// limitRead sets the read deadline of this package; zero for none.
func (c *conn) limitRead(t time.Time) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.own.IsZero() && t.IsZero() {
		return
	}
	c.own = t
	c.applyDeadline()
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.server = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// applyDeadline sets the earlier deadline. Callers hold deadlines.
func (c *conn) applyDeadline() error {
	t := c.server
	if t.IsZero() || !c.own.IsZero() && c.own.Before(t) {
		t = c.own
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.activity.writing.Store(int64(c.group.now()))
	defer c.activity.writing.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite closes the connection for writing. The server uses it so that unread bytes of a request do
// not reset the connection before the client has received the response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// observe applies a state that the server reports.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.closesAfterRequest = c.closesAfterRequest || c.inBody
		c.serving, c.answered = false, true
		c.release()
		if !c.readAhead() { // else a new connection could evict the request
			c.setActivity(connlimit.Idle)
		}
	case http.StateHijacked:
		c.upgraded, c.released = true, len(c.pending)
		c.limitRead(time.Time{})
		c.release()
		c.setActivity(connlimit.Upgraded)
	case http.StateClosed:
		c.release()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.group.closed(c)
	return c.Conn.Close()
}
