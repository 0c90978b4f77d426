// Package conntrack tracks the connections of an HTTP server and the requests on them: those that are being
// read or served, or whose response is not flushed yet. It closes connections without a request. Unlike
// clientconns it is for connections with or without TLS, and wraps them below it: net/http must see TLS as it is.
package conntrack

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// pollInterval is the time between looks at the connections that are left.
const pollInterval = 5 * time.Millisecond

// Phase is what a request waits for.
type Phase string

// All phases.
const (
	// Reading requests have a body that has not been read to its end.
	Reading Phase = "reading"
	// Serving requests have been read and their handler runs.
	Serving Phase = "serving"
	// Flushing requests have a response that is not flushed to the connection.
	Flushing Phase = "flushing"
)

// Request is a request on an open connection.
type Request struct {
	Remote, Method, Path string
	Phase                Phase
	Since                time.Time
}

// Tracker tracks the connections of one server. It is safe for concurrent use.
type Tracker struct {
	log *log.Logger

	mu       sync.Mutex
	requests map[net.Conn]*Request
	// conns are the connections of Listen that are open.
	conns map[*conn]bool
	// closing is set once connections without a request are closed.
	closing bool
}

// New returns a tracker.
func New(logger *log.Logger) *Tracker {
	return &Tracker{log: logger, requests: map[net.Conn]*Request{}, conns: map[*conn]bool{}}
}

// Attach makes the tracker observe a server. It must be called before the server serves.
func (t *Tracker) Attach(s *http.Server) {
	s.ConnState = t.observe
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.Handler = t.handler(s.Handler)
}

type connKey struct{}

// observe applies the state of a connection, and removes its request if it has none any more.
func (t *Tracker) observe(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeConn(c, state)
	if state == http.StateActive || state == http.StateNew {
		return
	}
	delete(t.requests, c)
}

func (t *Tracker) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		phase := Serving
		if r.ContentLength != 0 {
			phase = Reading
			r.Body = &trackedBody{r.Body, func() { t.setPhase(c, Serving) }}
		}
		t.mu.Lock()
		t.requests[c] = &Request{r.RemoteAddr, r.Method, r.URL.Path, phase, time.Now()}
		t.mu.Unlock()
		defer t.setPhase(c, Flushing)
		h.ServeHTTP(w, r)
	})
}

func (t *Tracker) setPhase(c net.Conn, phase Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[c]; r != nil {
		r.Phase = phase
	}
}

// Requests returns the requests on open connections.
func (t *Tracker) Requests() (out []Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		out = append(out, *r)
	}
	return out
}

// Wait returns when all connections of Listen are closed, or the context ends.
func (t *Tracker) Wait(ctx context.Context) {
	for t.Open() > 0 && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// trackedBody calls onEnd once a body has been read to its end.
type trackedBody struct {
	io.ReadCloser
	onEnd func()
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.onEnd()
	}
	return n, err
}
