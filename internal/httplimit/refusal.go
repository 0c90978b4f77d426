package httplimit

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/connlimit"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/logs"
)

// reason is why a client is refused or its connection closed.
type reason string

// All reasons. They are values of metrics.
const (
	reasonConnections reason = "connections"
	reasonEvicted     reason = "evicted"
	reasonHead        reason = "head_too_large"
	reasonEmptyLines  reason = "empty_lines"
	reasonHeadTimeout reason = "head_timeout"
	reasonMemory      reason = "memory"
)

const (
	// refusalTimeout bounds the write of a refusal, and lingerTime the wait until its client has
	// closed the connection: bytes that are unread at the close would reset it.
	refusalTimeout = 100 * time.Millisecond
	lingerTime     = 500 * time.Millisecond
	// maxLingerBytes is the largest number of bytes that are read from a client that was refused.
	maxLingerBytes = 256 << 10
	// maxIDBytes is the longest ID of a request that is logged or returned.
	maxIDBytes = 128
)

// refusal is a client that is refused.
type refusal struct {
	why reason
	// id is the ID of its request, empty if that is not known.
	id  string
	err error
}

// refuse answers the request whose head is being read, and ends the connection.
func (c *conn) refuse(e *fault.Error, why reason) {
	r := refusal{why, findField(c.pending, c.group.config.IDHeader), e}
	c.group.report.refused(c, r)
	c.refused, c.pending, c.released, c.unscanned = true, nil, 0, 0
	c.release()
	c.setActivity(connlimit.Closing)
	c.markAnswered()
	if err := c.respond(r.id, e); err != nil {
		return // the client reads nothing
	}
	_ = c.CloseWrite()                                                 // fails only on a closed connection
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))             // fails only on a closed connection
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // ends with the deadline or the connection
}

// respond writes a refusal.
func (c *conn) respond(id string, e *fault.Error) error {
	response := c.group.config.Refusal(id, e)
	response.ProtoMajor, response.ProtoMinor, response.Close = 1, 1, true
	var out bytes.Buffer
	if err := response.Write(&out); err != nil {
		return err
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return err
	}
	_, err := c.Conn.Write(out.Bytes())
	return err
}

// markAnswered tells a connection below that the request on it is answered.
func (c *conn) markAnswered() {
	if below, ok := c.Conn.(interface{ MarkAnswered() }); ok {
		below.MarkAnswered()
	}
}

// evict ends a connection that was claimed for its eviction in an activity.
func (c *conn) evict(activity connlimit.Activity) {
	c.group.report.refused(c, refusal{why: reasonEvicted})
	switch activity {
	case connlimit.ReadingBody:
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends a read that waits; fails only on a closed connection
		return
	case connlimit.Idle, connlimit.ReadingHead:
		c.markAnswered() // no request is lost
	}
	go func() { _ = c.Conn.Close() }() // fails only if it is closed already
}

// findField returns the value of a field in a part of a head, or "".
func findField(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		field, value, ok := bytes.Cut(line, []byte{':'})
		if ok && strings.EqualFold(string(field), name) {
			value = bytes.TrimSpace(value)
			return string(value[:min(len(value), maxIDBytes)])
		}
	}
	return ""
}

// reporter counts and logs refusals. It logs a bounded number of lines.
type reporter struct {
	scope tally.Scope
	log   *log.Logger

	mu      sync.Mutex
	reasons map[[2]string]*reasonReport
}

// reasonReport is the report of one reason at one listener.
type reasonReport struct {
	count tally.Counter
	lines *logs.Limiter
}

func newReporter(scope tally.Scope, logger *log.Logger) *reporter {
	return &reporter{scope: scope, log: logger, reasons: map[[2]string]*reasonReport{}}
}

// refused reports a client that is refused.
func (r *reporter) refused(c *conn, what refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]string{c.listener, string(what.why)}
	report := r.reasons[key]
	if report == nil {
		tagged := r.scope.Tagged(map[string]string{"listener": c.listener, "reason": string(what.why)})
		report = &reasonReport{count: tagged.Counter("clients_refused"), lines: logs.NewLimiter()}
		r.reasons[key] = report
	}
	report.count.Inc(1)
	if allowed, omitted := report.lines.Allow(); allowed {
		r.log.Warn("client refused", "listener", c.listener, "why", what.why, "client", c.RemoteAddr(), "request", what.id, "err", what.err, "omitted", omitted)
	}
}
