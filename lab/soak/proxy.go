package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is how a proxy treats connections.
type proxyMode int

const (
	// modeForward hands bytes on.
	modeForward proxyMode = iota
	// modeDelay hands them on late.
	modeDelay
	// modeReset resets open and new connections.
	modeReset
	// modeBlackhole takes connections and hands nothing on, either way.
	modeBlackhole
	// modeDropResponses hands on what callers send and nothing of what is answered.
	modeDropResponses
	modeCount
)

// forwardDelay is how late a delaying proxy hands bytes on.
const forwardDelay = 150 * time.Millisecond

// proxy stands before one address.
type proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	mode   proxyMode
	closed bool
	conns  map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetConn closes a connection so that the other end sees a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a plain close is a fault as well
	}
	_ = c.Close() // nothing is left to do with it
}

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			resetConn(client)
			continue
		}
		go p.relay(client)
	}
}

func (p *proxy) relay(client net.Conn) {
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	p.track(client, upstream, true)
	defer p.track(client, upstream, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.copyBytes(upstream, client, modeBlackhole, modeBlackhole) })
	wg.Go(func() { p.copyBytes(client, upstream, modeBlackhole, modeDropResponses) })
	wg.Wait()
}

func (p *proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if open {
			p.conns[c] = true
			continue
		}
		delete(p.conns, c)
		_ = c.Close() // both directions have ended
	}
}

// copyBytes hands bytes on until an end closes. In the modes given it swallows them:
// what a connection lost while it was silent does not come later.
func (p *proxy) copyBytes(dst, src net.Conn, dropMode, otherDropMode proxyMode) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buf)
		if n > 0 {
			m := p.currentMode()
			dropped = dropped || m == dropMode || m == otherDropMode
			if m == modeDelay {
				time.Sleep(forwardDelay)
			}
			if !dropped {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && !dropped:
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the other direction goes on
			}
			return
		default:
			resetConn(dst)
			return
		}
	}
}

// takeDown ends what is behind the proxy for some time: connections are reset and new ones are
// refused, as by a VM on which nothing listens. Back is called right before it is there again.
func (p *proxy) takeDown(duration time.Duration, beforeListen func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	_ = p.listener.Close() // the listener has no error to tell
	for c := range p.conns {
		resetConn(c)
	}
	time.AfterFunc(duration, func() { p.relisten(beforeListen) })
}

func (p *proxy) relisten(beforeListen func()) {
	l, err := net.Listen("tcp4", p.listener.Addr().String())
	if err != nil {
		time.AfterFunc(relistenInterval, func() { p.relisten(beforeListen) })
		return
	}
	beforeListen()
	p.mu.Lock()
	p.listener, p.closed = l, false
	p.mu.Unlock()
	go p.accept(l)
}

// relistenInterval is the pause after a port could not be listened on.
const relistenInterval = 50 * time.Millisecond

func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close() // the soak is over
	p.mu.Unlock()
	p.setMode(modeReset)
}
