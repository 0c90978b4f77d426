// Package httplimit bounds what clients can make a daemon hold through its HTTP servers: the size of
// request heads, the time in which a head must arrive, and the memory that heads take. All listeners of a daemon share one Group, so that their bounds hold together.
package httplimit

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

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
	// DefaultHeadBytes and defaultHeadTimeout are the limits where none are stated.
	DefaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	// headBytesSlack is added to the limit of a head: clients need not count its line ends.
	headBytesSlack = 4 << 10
	// headTimeoutFactor is how many times the stated time a head may take to arrive: parts of it may
	// be lost on the way and sent again.
	headTimeoutFactor = 2
	// minIdleTimeout is the least time for which a connection may be without a request, and
	// maxSilentTime that before its first one.
	minIdleTimeout = 90 * time.Second
	maxSilentTime  = 20 * time.Second
	// serverTimeout is the limit of net/http, beyond those of this package.
	serverTimeout = time.Hour
	// serverHeadBytes is the limit of net/http on a head, beyond those of this package.
	serverHeadBytes = 1 << 30
)

// headBytes is the longest head that is accepted.
func (l Limits) headBytes() int {
	if l.HeadBytes <= 0 {
		return DefaultHeadBytes + headBytesSlack
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
	// GrowHeads accounts for n bytes, or returns the refusal.
	GrowHeads(n int64) *fault.Error
	// ReleaseHeads ends the account of n bytes.
	ReleaseHeads(n int64)
}

// Config is the configuration of a Group.
type Config struct {
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
	config Config
	report *reporter
}

// New returns a group without servers.
func New(config Config) *Group {
	return &Group{config: config, report: newReporter(config.Scope, config.Logger)}
}

// Listen returns a listener whose connections are bounded. It must be above TLS and above other
// listeners that wrap connections. The name is for log lines.
func (g *Group) Listen(name string, l net.Listener) net.Listener { return &listener{l, g, name} }

// Attach bounds a server, which must serve listeners of Listen. Hooks that the server has already get
// the connections below those of Listen.
func (g *Group) Attach(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = serverTimeout, serverTimeout, serverHeadBytes
	observe, withConn, handler := s.ConnState, s.ConnContext, s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		bounded, ok := c.(*conn)
		if ok {
			bounded.observe(state)
			c = bounded.Conn
		}
		if observe != nil {
			observe(c, state)
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

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, group: l.group, listener: l.name}, nil
}
