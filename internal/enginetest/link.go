package enginetest

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// LinkState is the state of the network between one daemon and all servers.
type LinkState int

const (
	// LinkUp delivers everything.
	LinkUp LinkState = iota
	// LinkReset resets open connections and refuses new ones.
	LinkReset
	// LinkSilent delivers nothing, so that open and new connections hang.
	LinkSilent
	// LinkNoNew refuses new connections and keeps open ones.
	LinkNoNew
)

// dialTimeout is how long a new connection waits on a silent link.
const dialTimeout = 400 * time.Millisecond

// Link is one daemon's network to the servers. It implements relay.Backend.
type Link struct {
	*Engines

	mu    sync.Mutex
	state LinkState
	// changed is closed when the state changes.
	changed chan struct{}
	// open is the number of idle open connections, and sent that of requests that reached a server.
	open, sent int
}

// NewLink returns a link that is up.
func (e *Engines) NewLink() *Link { return &Link{Engines: e, changed: make(chan struct{})} }

// Set changes the state of the link.
func (l *Link) Set(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
}

// Sent returns the number of requests that reached a server over this link.
func (l *Link) Sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

func (l *Link) current() (LinkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// connect takes an open connection or opens one.
func (l *Link) connect(ctx context.Context, server string, reuseOnly bool) error {
	l.mu.Lock()
	state, reused := l.state, l.open > 0
	if reused {
		l.open--
	}
	l.mu.Unlock()
	switch {
	case reused && state == LinkReset:
		// The reset arrives in response to the request.
		return &upstream.Error{Reason: upstream.ConnectionLost, Sent: true, Err: syscall.ECONNRESET}
	case reused:
		return nil
	case reuseOnly:
		return &upstream.Error{Reason: upstream.Unreachable, Err: upstream.ErrNoIdleConnection}
	}
	if err := dial(ctx, state); err != nil {
		return err
	}
	return l.accept(ctx, server)
}

func dial(ctx context.Context, state LinkState) error {
	switch state {
	case LinkReset, LinkNoNew:
		time.Sleep(networkDelay)
		return &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ECONNREFUSED}
	case LinkSilent:
		select {
		case <-time.After(dialTimeout):
			return &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ETIMEDOUT}
		case <-ctx.Done():
			return &upstream.Error{Reason: upstream.Canceled, Err: context.Cause(ctx)}
		}
	}
	return nil
}

// Send implements relay.Backend.
func (l *Link) Send(ctx context.Context, send relay.BackendRequest) (*relay.BackendResponse, error) {
	if err := l.connect(ctx, send.Server.Incarnation.Name, send.ReuseOnly); err != nil {
		return nil, err
	}
	state, _ := l.current()
	if state == LinkSilent {
		<-ctx.Done()
		return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.Cause(ctx)}
	}
	l.mu.Lock()
	l.sent++
	l.mu.Unlock()
	resp, err := l.Engines.Send(ctx, send)
	if err != nil {
		return nil, err
	}
	resp.Body = &linkBody{link: l, ctx: ctx, rest: resp.Body}
	return resp, nil
}

// Probe implements relay.Backend.
func (l *Link) Probe(ctx context.Context, server backend.Server, engine bool) error {
	state, _ := l.current()
	if err := dial(ctx, state); err != nil {
		return err
	}
	return l.Engines.Probe(ctx, server, engine)
}

// RefusesConnections implements relay.Backend.
func (l *Link) RefusesConnections(ctx context.Context, address string) bool {
	switch state, _ := l.current(); state {
	case LinkReset, LinkNoNew:
		time.Sleep(2 * networkDelay)
		return true
	case LinkSilent:
		<-ctx.Done()
		return false
	}
	return l.Engines.RefusesConnections(ctx, address)
}

// linkBody is a response body that the link delivers.
type linkBody struct {
	link *Link
	ctx  context.Context
	rest io.ReadCloser
}

type readResult struct {
	n   int
	err error
}

// Read implements io.Reader. It fails when the link is reset and blocks while it is silent.
func (b *linkBody) Read(p []byte) (int, error) {
	done := make(chan readResult, 1)
	go func() {
		n, err := b.rest.Read(p)
		done <- readResult{n, err}
	}()
	var result *readResult
	for {
		state, changed := b.link.current()
		switch {
		case state == LinkReset:
			return 0, syscall.ECONNRESET
		case result != nil && state != LinkSilent:
			return result.n, result.err
		}
		select {
		case r := <-done:
			result = &r
		case <-changed:
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
}

// Close implements io.Closer.
func (b *linkBody) Close() error {
	b.link.mu.Lock()
	b.link.open++
	b.link.mu.Unlock()
	return b.rest.Close()
}
