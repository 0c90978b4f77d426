package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// proxyMode selects how a proxy handles connections.
type proxyMode int

const (
	// modeForward forwards data in both directions.
	modeForward proxyMode = iota
	// modeDelay forwards data after forwardDelay.
	modeDelay
	// modeReset resets existing and new connections.
	modeReset
	// modeBlackhole accepts connections and drops data in both directions.
	modeBlackhole
	// modeDropResponses forwards requests and drops responses.
	modeDropResponses
	modeCount
	// modeSilent accepts connections and holds data in both directions until the mode changes.
	// The data is then forwarded. It is no fault, so it is not among the modeCount modes of faults.
	modeSilent
	// modeBroken answers requests on new connections with broken answers, and resets existing ones.
	modeBroken
)

const forwardDelay = 150 * time.Millisecond

// proxy is a TCP proxy to one target address with injectable faults.
type proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	mode   proxyMode
	closed bool
	// broken answers requests in modeBroken.
	broken *standin.RawServer
	conns  map[net.Conn]bool
	// modeChanged is signaled, under mu, when the mode changes.
	modeChanged *sync.Cond
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := newUnboundProxy(target)
	p.listener = l
	go p.accept(l)
	return p, nil
}

// newUnboundProxy returns a proxy that does not listen.
func newUnboundProxy(target string) *proxy {
	p := &proxy{target: target, conns: map[net.Conn]bool{}}
	p.modeChanged = sync.NewCond(&p.mu)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.modeChanged.Broadcast()
	if mode != modeReset && mode != modeBroken {
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

// awaitSpeech returns the mode once it is not modeSilent.
func (p *proxy) awaitSpeech() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.mode == modeSilent {
		p.modeChanged.Wait()
	}
	return p.mode
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // on error the connection is closed normally
	}
	_ = c.Close() // the connection is discarded
}

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		switch p.currentMode() {
		case modeReset:
			resetConn(client)
		case modeBroken:
			go p.broken.Serve(client)
		default:
			go p.relay(client)
		}
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
	wg.Go(func() { p.copy(upstream, client, modeBlackhole, modeBlackhole) })
	wg.Go(func() { p.copy(client, upstream, modeBlackhole, modeDropResponses) })
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

// copy forwards data until either side closes. Once data was dropped in one of the given
// modes, all later data of the connection is dropped too, so that the peer never receives a
// stream with a gap.
func (p *proxy) copy(dst, src net.Conn, dropMode, otherDropMode proxyMode) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buf)
		mode := p.awaitSpeech() // the end of a connection is held like data
		if n > 0 {
			dropped = dropped || mode == dropMode || mode == otherDropMode
			if mode == modeDelay {
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
				_ = t.CloseWrite() // the other direction stays open
			}
			return
		default:
			resetConn(dst)
			return
		}
	}
}

// takeDown simulates an outage of the target: connections are reset and new ones refused
// for the duration. beforeListen is called just before the proxy listens again.
func (p *proxy) takeDown(duration time.Duration, beforeListen func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	_ = p.listener.Close() // the proxy listens again later
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

// relistenInterval is the delay before another attempt to listen.
const relistenInterval = 50 * time.Millisecond

func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close() // shutting down
	p.mu.Unlock()
	p.setMode(modeReset)
}
