// Package conntrack tracks the connections of an HTTP server that have a request on them: one that is
// being read or served, or whose response is not flushed yet. Unlike clientconns it does not wrap
// connections, since net/http must see those with TLS as they are.
package conntrack

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

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
	mu       sync.Mutex
	requests map[net.Conn]*Request
}

// Attach makes the tracker observe a server. It must be called before the server serves.
func (t *Tracker) Attach(s *http.Server) {
	t.requests = map[net.Conn]*Request{}
	s.ConnState = t.observe
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.Handler = t.handler(s.Handler)
}

type connKey struct{}

// observe removes the request of a connection that has none any more.
func (t *Tracker) observe(c net.Conn, state http.ConnState) {
	if state == http.StateActive || state == http.StateNew {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
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
