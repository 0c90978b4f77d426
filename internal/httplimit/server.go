// Package httplimit bounds what clients can make a daemon hold through its HTTP servers: the number of
// their connections, the size of request heads, the time in which a head must arrive, and the memory
// that heads take. All listeners of a daemon share one Group, so that their bounds hold together.
package httplimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/connlimit"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Limits bound what a client may send, and how long it may take. Zero means the default.
type Limits struct {
	// HeadBytes is the longest head of a request in bytes, HeadTimeout the time in which it must
	// arrive, and IdleTimeout how long a connection may be without a request.
	HeadBytes                int
	HeadTimeout, IdleTimeout time.Duration
}

const (
	// defaultHeadBytes and defaultHeadTimeout are the limits where none are stated.
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	// headBytesSlack is added to the limit of a head: clients need not count its line ends.
	headBytesSlack = 4 << 10
	// headTimeoutFactor is how many times the stated time a head may take to arrive: parts of it may
	// be lost on the way and sent again.
	headTimeoutFactor = 2
	// minIdleTimeout is the least time for which a connection may be without a request, and
	// firstRequestTimeout how long it may be before its first one.
	minIdleTimeout      = 90 * time.Second
	firstRequestTimeout = 20 * time.Second
	// serverTimeout is the limit of net/http, beyond those of this package.
	serverTimeout = time.Hour
	// serverHeadBytes is the limit of net/http on a head, beyond those of this package.
	serverHeadBytes = 1 << 30
)

// headBytes is the longest head that is accepted.
func (l Limits) headBytes() int {
	if l.HeadBytes <= 0 {
		return defaultHeadBytes + headBytesSlack
	}
	return l.HeadBytes + headBytesSlack
}

// headTimeout is the longest time that a head may take.
func (l Limits) headTimeout() time.Duration {
	if l.HeadTimeout <= 0 {
		return defaultHeadTimeout
	}
	return l.HeadTimeout * headTimeoutFactor
}

// idleTimeout is the longest time without a request.
func (l Limits) idleTimeout() time.Duration { return max(l.IdleTimeout, minIdleTimeout) }

// Account grants the memory that heads of requests take.
type Account interface {
	// GrowHeads accounts for n more bytes of a head that is charged with some already, or returns the
	// refusal.
	GrowHeads(charged, n int64) *fault.Error
	// ReleaseHeads ends the account of n bytes.
	ReleaseHeads(n int64)
}

// Config is the configuration of a Group.
type Config struct {
	// MaxConnections is the largest number of open connections of all listeners.
	MaxConnections int
	// Limits returns the limits in force. It is called for each request.
	Limits func() Limits
	// Account is charged with the heads of requests.
	Account Account
	// IDHeader is the name of the field that identifies a request in log lines and refusals.
	IDHeader string
	// Refusal returns the response that refuses a request, without its framing. The ID is empty if
	// it is not known.
	Refusal func(id string, e *fault.Error) *http.Response
	Logger  *log.Logger
	Scope   tally.Scope
}

// Group is a set of servers whose bounds hold together. It is safe for concurrent use.
type Group struct {
	config  Config
	started time.Time
	open    tally.Gauge
	report  *reporter

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a group without servers.
func New(config Config) *Group {
	return &Group{config: config, started: time.Now(), open: config.Scope.Gauge("inbound_connections"), report: newReporter(config.Scope, config.Logger), conns: map[*conn]bool{}}
}

// now is the time of the group's clock. It is never zero.
func (g *Group) now() time.Duration { return time.Since(g.started) + 1 }

// Listen returns a listener whose connections are bounded. It must be above TLS and above other
// listeners that wrap connections. The name is for log lines.
func (g *Group) Listen(name string, l net.Listener) net.Listener { return &listener{l, g, name} }

// Attach bounds a server, which must serve listeners of Listen. Hooks that the server has already get
// the connections below those of Listen. Their connections are active from the first byte of a request on, also
// if it was read before the response to the request before was complete.
func (g *Group) Attach(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = serverTimeout, serverTimeout, serverHeadBytes
	observe, withConn, handler := s.ConnState, s.ConnContext, s.Handler
	if observe == nil {
		observe = func(net.Conn, http.ConnState) {}
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		bounded, ok := c.(*conn)
		if !ok {
			observe(c, state)
			return
		}
		bounded.observe(state)
		if state == http.StateNew {
			bounded.hook = observe
		}
		observe(bounded.Conn, state)
		if state == http.StateIdle && bounded.readAhead() {
			bounded.beginRequest()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, c)
		if bounded, ok := c.(*conn); ok {
			c = bounded.Conn
		}
		if withConn != nil {
			ctx = withConn(ctx, c)
		}
		return ctx
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if bounded, ok := r.Context().Value(connKey{}).(*conn); ok && bounded.closesAfterRequest {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

type listener struct {
	net.Listener
	group *Group
	name  string
}

// Accept implements net.Listener. The server closes a connection for which there is no room as soon as it
// reads from it.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, group: l.group, listener: l.name}
	c.activity.kind.Store(uint32(connlimit.Idle))
	c.activity.since.Store(int64(l.group.now()))
	victim, activity, admitted := l.group.admit(c)
	if victim != nil {
		victim.evict(activity)
	}
	if !admitted {
		c.refused = true
		c.markAnswered()
		l.group.report.refused(c, refusal{why: reasonConnections})
	}
	return c, nil
}

// admit adds a connection if there is room, and returns the one that must be evicted for it and its activity.
func (g *Group) admit(c *conn) (victim *conn, activity connlimit.Activity, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.config.MaxConnections {
		if victim, activity = g.claimVictim(); victim == nil {
			return nil, 0, false
		}
		if activity != connlimit.ReadingBody { // else it closes after its answer, or for the next connection
			g.remove(victim)
		}
	}
	g.conns[c] = true
	g.open.Update(float64(len(g.conns)))
	return victim, activity, true
}

// claimVictim returns the connection to evict for a new one, or nil, and its activity. From then on, no request
// on it is handled that was not before. Callers hold mu.
func (g *Group) claimVictim() (*conn, connlimit.Activity) {
	for {
		conns, states := make([]*conn, 0, len(g.conns)), make([]connlimit.Connection, 0, len(g.conns))
		for c := range g.conns {
			conns, states = append(conns, c), append(states, c.state())
		}
		i := connlimit.Victim(states, g.now())
		if i < 0 {
			return nil, 0
		}
		if conns[i].claim(states[i].Activity) {
			return conns[i], states[i].Activity
		}
	}
}

// remove removes a connection that is closed. Callers hold mu.
func (g *Group) remove(c *conn) {
	delete(g.conns, c)
	g.open.Update(float64(len(g.conns)))
}

func (g *Group) closed(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
}

// activity is what a connection is used for, and since when. It is read while the connection is used.
type activity struct {
	kind atomic.Uint32
	// since is that of connlimit.Connection, and writing is when a write began that has not ended; zero
	// if there is none.
	since, writing atomic.Int64
}

// setActivity sets the activity. It returns false if the connection is being closed.
func (c *conn) setActivity(a connlimit.Activity) bool {
	for {
		before := c.activity.kind.Load()
		if before == uint32(connlimit.Closing) && a != connlimit.Closing {
			return false
		}
		if c.activity.kind.CompareAndSwap(before, uint32(a)) {
			c.activity.since.Store(int64(c.group.now()))
			return true
		}
	}
}

// claim claims the connection for its eviction, unless its activity is another one by now: a request that is
// complete meanwhile is handled.
func (c *conn) claim(a connlimit.Activity) bool {
	return c.activity.kind.CompareAndSwap(uint32(a), uint32(connlimit.Closing))
}

// closing reports whether the connection is refused or evicted.
func (c *conn) closing() bool { return c.activity.kind.Load() == uint32(connlimit.Closing) }

// state returns the connection for the choice of a victim.
func (c *conn) state() connlimit.Connection {
	return connlimit.Connection{
		Listener: c.listener, Activity: connlimit.Activity(c.activity.kind.Load()),
		Since: time.Duration(c.activity.since.Load()), Unread: time.Duration(c.activity.writing.Load()),
	}
}
