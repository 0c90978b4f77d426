// Package clientconns tracks the connections of clients to an HTTP server: whether they are idle, or
// a request on them is being read, served or answered.
package clientconns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
	"github.com/damaskrudder/damaskrudder/internal/logs"
)

// State is the state of a connection.
type State int

const (
	// Accepted connections are new: nothing has been read. Their clients are about to send.
	Accepted State = iota
	// Idle connections have no request: nothing has been read since the last answer.
	Idle
	// Reading connections have a request of which only a part has been read.
	Reading
	// Serving connections have a request that has been read and is being handled.
	Serving
	// Flushing connections have a request whose handler has returned. Some of the answer may not have
	// been written to the connection yet.
	Flushing
	// States is the number of states.
	States
)

// String returns the state's name in log lines and metrics.
func (s State) String() string {
	return [States]string{"accepted", "idle", "reading", "serving", "flushing"}[s]
}

// hasRequest reports whether a connection in the state has a request of which something has been read.
func (s State) hasRequest() bool { return s != Accepted && s != Idle }

// Counts is the number of connections in each state.
type Counts [States]int

// Pending is the number of connections with a request or about to have one.
func (c Counts) Pending() int { return c[Accepted] + c[Reading] + c[Serving] + c[Flushing] }

// firstByteTime is how long after it was accepted a new connection counts as new while idle ones are closed.
const firstByteTime = 250 * time.Millisecond

// reasonServer is the reason of a close that nothing in this package has asked for.
const reasonServer = "the server closed it"

// reasonCrossed is the reason of a close without a request, under which bytes have come.
const reasonCrossed = "bytes came as it was closed"

// Tracker tracks the connections of one server.
type Tracker struct {
	// Listeners are the listeners of the connections, and those that close with them.
	Listeners *listenqueue.Group

	log       *log.Logger
	requestID func(*http.Request) string
	gauges    [States]tally.Gauge
	closed    [States]tally.Counter

	mu     sync.Mutex
	conns  map[*conn]bool
	counts Counts
	// stopped are the states in which nothing more is read, and cut is set once Cut was called.
	stopped [States]bool
	cut     bool
}

// New returns a tracker. RequestID returns the ID of a request in log lines.
func New(scope tally.Scope, logger *log.Logger, requestID func(*http.Request) string) *Tracker {
	t := &Tracker{Listeners: listenqueue.NewGroup(scope, logger), log: logger, requestID: requestID, conns: map[*conn]bool{}}
	for s := range States {
		tagged := scope.Tagged(map[string]string{"state": s.String()})
		t.gauges[s], t.closed[s] = tagged.Gauge("client_connections"), tagged.Counter("client_connections_cut")
	}
	return t
}

// Counts returns the number of connections in each state.
func (t *Tracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Track makes a server report to the tracker. It must serve the listener that Listen returns.
func (t *Tracker) Track(s *http.Server) {
	s.Handler = t.handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if tracked, ok := c.(*conn); ok {
			t.observe(tracked, state)
		}
	}
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Listen returns a listener whose connections are tracked.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	return &listener{t.Listeners.Add("clients", l), t}
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.add(accepted), nil
}

func (t *Tracker) add(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, tracker: t, since: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
	t.count(Accepted, 1)
	if t.stopped[Idle] {
		t.expectFirstByte(c)
	}
	return c
}

// CloseIdle ends the idle connections and those that become idle, and new ones that stay silent. A request
// of which a byte has been read, or waits in the socket, is still read and answered.
func (t *Tracker) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopReading(Idle)
	for c := range t.conns {
		if c.state == Accepted {
			t.expectFirstByte(c)
		}
	}
}

// expectFirstByte makes a connection idle unless it sends something in time. Callers hold mu.
func (t *Tracker) expectFirstByte(c *conn) {
	time.AfterFunc(time.Until(c.since.Add(firstByteTime)), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if c.state == Accepted {
			t.set(c, Idle)
			_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		}
	})
}

// StopReading makes the reads of requests that are not complete or have not begun fail as if they timed out.
func (t *Tracker) StopReading() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopReading(Accepted)
	t.stopReading(Reading)
}

// stopReading makes present and further reads in a state fail. The read returns either bytes or the error,
// so that the server handles every byte that has left the socket's buffer. Callers hold mu.
func (t *Tracker) stopReading(s State) {
	t.stopped[s] = true
	for c := range t.conns {
		if c.state == s {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		}
	}
}

// Cut closes all connections, and returns the number in each state before. Those with a request are
// logged with the reason.
func (t *Tracker) Cut(why string) Counts {
	t.mu.Lock()
	t.cut = true
	counts := t.counts
	var open []*conn
	for c := range t.conns {
		if c.state.hasRequest() {
			t.logCut(c, why)
		} else if c.hasUnread() {
			t.logCut(c, reasonCrossed)
		}
		c.closing = true
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		_ = c.Conn.Close() // fails only if it is closed already
	}
	return counts
}

// observe applies a state that the server reports.
func (t *Tracker) observe(c *conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateActive:
		t.beginRequest(c)
	case http.StateIdle:
		next := Idle
		if c.readAhead {
			next = Reading
		}
		c.readAhead, c.unread, c.request = false, false, ""
		t.set(c, next)
	case http.StateClosed, http.StateHijacked:
		if t.conns[c] {
			delete(t.conns, c)
			t.count(c.state, -1)
		}
	}
}

// beginRequest records that a part of a request has been read. Callers hold mu.
func (t *Tracker) beginRequest(c *conn) {
	if c.state.hasRequest() {
		return
	}
	if t.stopped[Idle] {
		_ = c.SetReadDeadline(time.Time{}) // the interrupt was too late; fails only on a closed connection
	}
	t.set(c, Reading)
}

// set changes the state of a connection. Callers hold mu.
func (t *Tracker) set(c *conn, s State) {
	if t.conns[c] {
		t.count(c.state, -1)
		t.count(s, 1)
	}
	c.state, c.since = s, time.Now()
}

// count changes the number of connections in a state. Callers hold mu.
func (t *Tracker) count(s State, change int) {
	t.counts[s] += change
	t.gauges[s].Update(float64(t.counts[s]))
}

// handler returns h with its requests tracked.
func (t *Tracker) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		tracked := *r // net/http keeps using its own request and body
		hasBody := r.Body != nil && r.Body != http.NoBody
		if hasBody {
			tracked.Body = &body{r.Body, c}
		}
		t.begin(c, t.requestID(r), hasBody)
		aborted := true
		defer func() { t.end(c, aborted) }()
		h.ServeHTTP(w, &tracked)
		aborted = false
	})
}

func (t *Tracker) begin(c *conn, request string, hasBody bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.request = request
	if hasBody {
		t.set(c, Reading)
	} else {
		t.set(c, Serving)
	}
}

func (t *Tracker) end(c *conn, aborted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if aborted {
		return
	}
	c.unread = c.state == Reading
	t.set(c, Flushing)
}

// logCut logs and counts the close of a connection with a request. Callers hold mu.
func (t *Tracker) logCut(c *conn, why string) {
	t.closed[c.state].Inc(1)
	t.log.Warn("connection closed with a request", "request", logs.Bounded(c.request), "state", c.state, "state_ms", time.Since(c.since).Milliseconds(), "client", c.RemoteAddr(), "why", why)
}
