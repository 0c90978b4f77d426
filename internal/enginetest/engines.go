// Package enginetest has backend servers for tests in virtual time: they serve streams, and end
// by requests that say so.
package enginetest

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// Engines are backend servers that end when they run a request whose body begins with Deadly,
// and are back some seconds later under another id. They implement relay.Backend.
type Engines struct {
	// register writes a server's entry, or removes it.
	register func(id string, value []byte)

	mu      sync.Mutex
	running map[string]*engine
	crashes map[string][]time.Time
	sends   map[string][]time.Time
}

// engine is one run of a server.
type engine struct {
	id string
	// stopped is closed at its end.
	stopped chan struct{}
}

const (
	// CrashPrefix begins the bodies that end a server.
	CrashPrefix = "deadly"
	// networkDelay is the time to a server.
	networkDelay = time.Millisecond
	// headerDelay is the time to the head of an answer, untilEnd the time from there to the
	// end of a server that runs a deadly body, and BackAfter the time until it is back.
	headerDelay  = 40 * time.Millisecond
	crashDelay   = 100 * time.Millisecond
	RestartDelay = 3500 * time.Millisecond
	// responseDuration is the time from the head to the end of an answer.
	responseDuration = 600 * time.Millisecond
)

// New starts some servers and writes their entries.
func New(servers int, register func(id string, value []byte)) *Engines {
	e := &Engines{register: register, running: map[string]*engine{}, crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}}
	for i := range servers {
		e.start(fmt.Sprintf("e%d", i), 0)
	}
	return e
}

// Crashes returns when servers ended by each deadly body.
func (e *Engines) Crashes() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.crashes)
}

// Sends returns when each deadly body reached a server.
func (e *Engines) Sends() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.sends)
}

func (e *Engines) start(name string, life int) {
	id := fmt.Sprint(name, ".", life)
	e.mu.Lock()
	e.running[id] = &engine{id: id, stopped: make(chan struct{})}
	e.mu.Unlock()
	e.register(id, []byte("ready"))
}

// crash ends a run of a server by a body, once.
func (e *Engines) crash(id, body string) {
	e.mu.Lock()
	run := e.running[id]
	delete(e.running, id)
	if run != nil {
		e.crashes[body] = append(e.crashes[body], time.Now())
		close(run.stopped)
	}
	e.mu.Unlock()
	if run == nil {
		return
	}
	name, life, _ := strings.Cut(id, ".")
	time.AfterFunc(RestartDelay, func() {
		var n int
		_, _ = fmt.Sscan(life, &n)
		e.register(id, nil)
		e.start(name, n+1)
	})
}

func (e *Engines) lookup(id string) *engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id]
}

// Send implements relay.Backend.
func (e *Engines) Send(ctx context.Context, s relay.BackendRequest) (*relay.BackendResponse, error) {
	time.Sleep(networkDelay)
	run, body := e.lookup(s.Server.Incarnation.Name), string(s.Call.Body)
	if run == nil {
		return nil, &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ECONNREFUSED}
	}
	if strings.HasPrefix(body, CrashPrefix) {
		e.mu.Lock()
		e.sends[body] = append(e.sends[body], time.Now())
		e.mu.Unlock()
	}
	select {
	case <-time.After(headerDelay):
	case <-run.stopped:
		return nil, &upstream.Error{Reason: upstream.ConnectionLost, Sent: true, Err: io.EOF}
	case <-ctx.Done():
		return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.Cause(ctx)}
	}
	if strings.HasPrefix(body, CrashPrefix) {
		// A run that has begun ends its server also if it is cancelled.
		time.AfterFunc(crashDelay, func() { e.crash(run.id, body) })
	}
	answer := &responseBody{server: run, ctx: ctx, completeAt: time.Now().Add(responseDuration)}
	return &relay.BackendResponse{Status: http.StatusOK, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: -1, Body: answer}, nil
}

// Alive implements relay.Backend.
func (e *Engines) Alive(_ context.Context, s backend.Server, _ bool) error {
	if e.lookup(s.Incarnation.Name) == nil {
		return syscall.ECONNREFUSED
	}
	return nil
}

// Refuses implements relay.Backend.
func (e *Engines) Refuses(_ context.Context, address string) bool {
	time.Sleep(2 * networkDelay)
	return e.lookup(address) == nil
}

// Forget implements relay.Backend.
func (e *Engines) Forget(string) {}

// responseBody is a stream of one event that ends when it is whole, or broken off with its server.
type responseBody struct {
	server     *engine
	ctx        context.Context
	completeAt time.Time
	event      io.Reader
}

func (a *responseBody) Read(p []byte) (int, error) {
	if a.event != nil {
		return a.event.Read(p)
	}
	select {
	case <-time.After(time.Until(a.completeAt)):
		a.event = strings.NewReader("id: 1\ndata: x\n\n")
		return a.event.Read(p)
	case <-a.server.stopped:
		return 0, io.ErrUnexpectedEOF
	case <-a.ctx.Done():
		return 0, context.Cause(a.ctx)
	}
}

func (a *responseBody) Close() error { return nil }
