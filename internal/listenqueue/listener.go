// Package listenqueue closes listeners without resetting the connections that wait to be accepted, on
// which clients may have written whole requests.
package listenqueue

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

const (
	// handshakeTime is the time in which a handshake that has begun can finish.
	handshakeTime = 150 * time.Millisecond
	// pollInterval is how long a closing listener whose queue is not empty accepts before the next look at it.
	pollInterval = 5 * time.Millisecond
)

// Listen listens on a TCP address. Listeners of multipath TCP, which net.Listen opens, take no filter.
func Listen(network, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), network, address)
}

// Group is a set of listeners that are closed together. It is safe for concurrent use.
type Group struct {
	log            *log.Logger
	accepted, left tally.Counter
	unfiltered     sync.Once
	mu             sync.Mutex
	listeners      []*listener
}

// NewGroup returns an empty group.
func NewGroup(scope tally.Scope, logger *log.Logger) *Group {
	return &Group{log: logger, accepted: scope.Counter("connections_accepted_while_closing"), left: scope.Counter("connections_left_in_queue")}
}

// Add adds a listener, and returns the one that must be used instead of it. The name is for log lines.
func (g *Group) Add(name string, l net.Listener) net.Listener {
	added := &listener{Listener: l, group: g, name: name}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, added)
	return added
}

// Close begins to close all listeners and does not wait. They accept connections until none waits or is
// about to, at the latest until a time. Further calls have no effect.
func (g *Group) Close(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		l.beginClose(until)
	}
}

// Open returns the number of listeners from which a further connection may come.
func (g *Group) Open() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		if l.open() {
			n++
		}
	}
	return n
}

// Wait returns when no further connection may come, or the context ends.
func (g *Group) Wait(ctx context.Context) {
	for g.Open() > 0 && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// socket is a listener with a queue in the kernel.
type socket interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// listener is a listener of a group.
type listener struct {
	net.Listener
	group *Group
	name  string

	mu sync.Mutex
	// accepting is set from the first call of Accept until it fails because the listener is closed.
	accepting bool
	// closing is set once the listener begins to close, and closed once it accepts nothing.
	closing, closed bool
	// begun is when the listener began to close, and until the latest time at which it is closed.
	begun, until time.Time
	// accepted is the number of connections accepted while the listener was closing.
	accepted int
	// filtered is set if new handshakes are dropped.
	filtered bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.setAccepting(true)
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.recordAccepted()
			return c, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			l.closeIfEmpty()
		case errors.Is(err, net.ErrClosed):
			l.setAccepting(false)
			return nil, err
		default:
			return nil, err
		}
	}
}

func (l *listener) setAccepting(accepting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = accepting
}

func (l *listener) recordAccepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		l.accepted++
		l.group.accepted.Inc(1)
	}
}

// open reports whether a call of Accept may still return a connection, or has returned one that its caller
// has not taken over: the caller calls Accept again after that.
func (l *listener) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed || l.accepting
}

// Close implements net.Listener. It closes the listener at once.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing, l.closed = true, true
	return l.Listener.Close()
}

// beginClose makes Accept close the listener once its queue is empty. If nothing calls Accept, the listener
// is closed at the latest time.
func (l *listener) beginClose(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return
	}
	l.closing, l.begun, l.until = true, time.Now(), until
	s, ok := l.Listener.(socket)
	if !ok { // in memory: it has no queue
		l.closed = true
		_ = l.Listener.Close() // fails only if it is closed already
		return
	}
	err := dropNewHandshakes(s)
	l.filtered = err == nil
	if err != nil {
		l.group.unfiltered.Do(func() { l.group.log.Warn("new handshakes not held off", "err", err) })
	}
	_ = s.SetDeadline(l.begun.Add(handshakeTime)) // fails only if it is closed already
	time.AfterFunc(time.Until(until), l.closeAtLimit)
}

// closeIfEmpty closes the listener if no connection waits or the latest time has come. Otherwise Accept
// can go on. The goroutine of Accept must call it: while another one is in Accept, a close takes effect
// only once that has been scheduled, and connections that come meanwhile are lost.
func (l *listener) closeIfEmpty() {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.Listener.(socket)
	if l.closed || !ok {
		return
	}
	now := time.Now()
	waiting, err := Readable(s)
	if waiting && now.Before(l.until) {
		_ = s.SetDeadline(now.Add(pollInterval)) // fails only if it is closed already
		return
	}
	l.closeSocket(s, waiting, err)
}

func (l *listener) closeAtLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.Listener.(socket); ok && !l.closed {
		waiting, err := Readable(s)
		l.closeSocket(s, waiting, err)
	}
}

// closeSocket closes the listener and logs what it leaves. Callers hold mu.
func (l *listener) closeSocket(s socket, waiting bool, err error) {
	left := 0
	if waiting {
		left = l.countLeft(s)
	}
	l.closed = true
	_ = s.Close() // fails only if it is closed already
	l.group.left.Inc(int64(left))
	fields := []any{"listener", l.name, "after_ms", time.Since(l.begun).Milliseconds(), "accepted", l.accepted, "left", left, "filtered", l.filtered}
	if left > 0 || err != nil {
		l.group.log.Warn("listener closed", append(fields, "err", err)...)
		return
	}
	l.group.log.Info("listener closed", fields...)
}

// countLeft returns the number of connections in a queue that is not empty.
func (l *listener) countLeft(s socket) int {
	n, err := queued(s)
	if err != nil {
		l.group.log.Warn("queue of listener not counted", "listener", l.name, "err", err)
	}
	return max(n, 1)
}
