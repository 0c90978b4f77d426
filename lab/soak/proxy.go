package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats connections.
type mode int

const (
	// passing hands bytes on.
	passing mode = iota
	// delaying hands them on late.
	delaying
	// resetting resets open and new connections.
	resetting
	// silent takes connections and hands nothing on, either way.
	silent
	// deaf hands on what callers send and nothing of what is answered.
	deaf
	modes
)

// delay is how late a delaying proxy hands bytes on.
const delay = 150 * time.Millisecond

// proxy stands before one address.
type proxy struct {
	target string
	l      net.Listener

	mu    sync.Mutex
	mode  mode
	away  bool
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, l: l, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.l.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != resetting {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a plain close is a fault as well
	}
	_ = c.Close() // nothing is left to do with it
}

func (p *proxy) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		if p.now() == resetting {
			reset(in)
			continue
		}
		go p.join(in)
	}
}

func (p *proxy) join(in net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.track(in, out, true)
	defer p.track(in, out, false)
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, silent, silent) })
	both.Go(func() { p.copy(in, out, silent, deaf) })
	both.Wait()
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

// copy hands bytes on until an end closes. In the modes given it swallows them:
// what a connection lost while it was silent does not come later.
func (p *proxy) copy(dst, src net.Conn, swallow, orSwallow mode) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := src.Read(buf)
		if n > 0 {
			m := p.now()
			lost = lost || m == swallow || m == orSwallow
			if m == delaying {
				time.Sleep(delay)
			}
			if !lost {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && !lost:
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the other direction goes on
			}
			return
		default:
			reset(dst)
			return
		}
	}
}

// down ends what is behind the proxy for some time: connections are reset and new ones are
// refused, as by a VM on which nothing listens. Back is called right before it is there again.
func (p *proxy) down(lasts time.Duration, back func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away {
		return
	}
	p.away = true
	_ = p.l.Close() // the listener has no error to tell
	for c := range p.conns {
		reset(c)
	}
	time.AfterFunc(lasts, func() { p.up(back) })
}

func (p *proxy) up(back func()) {
	l, err := net.Listen("tcp4", p.l.Addr().String())
	if err != nil {
		time.AfterFunc(listenAgain, func() { p.up(back) })
		return
	}
	back()
	p.mu.Lock()
	p.l, p.away = l, false
	p.mu.Unlock()
	go p.accept(l)
}

// listenAgain is the pause after a port could not be listened on.
const listenAgain = 50 * time.Millisecond

func (p *proxy) close() {
	p.mu.Lock()
	_ = p.l.Close() // the soak is over
	p.mu.Unlock()
	p.set(resetting)
}
