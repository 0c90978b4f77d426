// Package queuetest has a listener whose connections stay in its queue, for tests.
package queuetest

import (
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
)

// Listener is a TCP listener that accepts nothing until somebody begins to close it.
type Listener struct {
	*net.TCPListener
	closing chan struct{}
	begin   func()
}

// Listen listens on a free port.
func Listen(t *testing.T) *Listener {
	l, err := listenqueue.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closing := make(chan struct{})
	return &Listener{l.(*net.TCPListener), closing, sync.OnceFunc(func() { close(closing) })}
}

// Dial puts a connection into the queue.
func (l *Listener) Dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	<-l.closing
	return l.TCPListener.Accept()
}

// SyscallConn implements syscall.Conn. A graceful close begins with it.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	l.begin()
	return l.TCPListener.SyscallConn()
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	defer l.begin()
	return l.TCPListener.Close()
}
