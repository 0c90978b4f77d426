// Package enginetest simulates backend servers for tests in virtual time. They stream
// responses and crash on requests whose body begins with CrashPrefix, or whose prompt has a part from
// FirstCrashPart on.
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

// Engines is a set of simulated backend servers. A server that a request crashes restarts after
// RestartDelay under a new ID. It implements relay.Backend.
type Engines struct {
	// register writes a server's entry, or removes it if the value is nil.
	register func(id string, value []byte)

	mu sync.Mutex
	// running holds the servers by ID; crashes and sends hold times by what crashes the servers.
	running map[string]*engine
	crashes map[string][]time.Time
	sends   map[string][]time.Time
	// silent holds the servers that are silent, with a channel that is closed when they go on.
	silent map[string]chan struct{}
}

// engine is an incarnation of a server.
type engine struct {
	id string
	// stopped is closed when the server crashes.
	stopped chan struct{}
}

const (
	// CrashPrefix begins the request bodies that crash a server.
	CrashPrefix = "deadly"
	// FirstCrashPart is the ID from which parts of prompts crash a server.
	FirstCrashPart = 1 << 32
	// networkDelay is the one-way delay to a server.
	networkDelay = time.Millisecond
	// headerDelay is the time from the arrival of a request to its response header.
	headerDelay = 40 * time.Millisecond
	// crashDelay is the time from the response header to the crash.
	crashDelay = 100 * time.Millisecond
	// RestartDelay is the time from a crash to the server's restart.
	RestartDelay = 3500 * time.Millisecond
	// responseDuration is the time from the response header to the end of the body.
	responseDuration = 600 * time.Millisecond
)

// New starts a number of servers and registers them.
func New(servers int, register func(id string, value []byte)) *Engines {
	e := &Engines{register: register, running: map[string]*engine{}, crashes: map[string][]time.Time{}, sends: map[string][]time.Time{}, silent: map[string]chan struct{}{}}
	for i := range servers {
		e.start(fmt.Sprintf("e%d", i), 0)
	}
	return e
}

// Crashes returns the times of the crashes by their cause, a request body or a part of a prompt.
func (e *Engines) Crashes() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.crashes)
}

// Sends returns the times at which a request that crashes servers reached one, by
// cause.
func (e *Engines) Sends() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.sends)
}

func (e *Engines) start(name string, restarts int) {
	id := fmt.Sprint(name, ".", restarts)
	e.mu.Lock()
	e.running[id] = &engine{id: id, stopped: make(chan struct{})}
	e.mu.Unlock()
	e.register(id, []byte("ready"))
}

// crash stops a server, unless it is stopped already, and restarts it after RestartDelay.
func (e *Engines) crash(id, cause string) {
	e.mu.Lock()
	server := e.running[id]
	delete(e.running, id)
	if server != nil {
		e.crashes[cause] = append(e.crashes[cause], time.Now())
		close(server.stopped)
	}
	e.mu.Unlock()
	if server == nil {
		return
	}
	name, incarnation, _ := strings.Cut(id, ".")
	time.AfterFunc(RestartDelay, func() {
		var restarts int
		_, _ = fmt.Sscan(incarnation, &restarts)
		e.register(id, nil)
		e.start(name, restarts+1)
	})
}

func (e *Engines) lookup(id string) *engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id]
}

// Send implements relay.Backend.
func (e *Engines) Send(ctx context.Context, send relay.BackendRequest) (*relay.BackendResponse, error) {
	time.Sleep(networkDelay)
	server := e.lookup(send.Server.Incarnation.Name)
	if server == nil {
		return nil, &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ECONNREFUSED}
	}
	cause, crashes := crashCause(send.Call)
	if crashes {
		e.mu.Lock()
		e.sends[cause] = append(e.sends[cause], time.Now())
		e.mu.Unlock()
	}
	if err := e.await(ctx, server.id); err != nil {
		return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: err}
	}
	select {
	case <-time.After(headerDelay):
	case <-server.stopped:
		return nil, &upstream.Error{Reason: upstream.ConnectionLost, Sent: true, Err: io.EOF}
	case <-ctx.Done():
		return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.Cause(ctx)}
	}
	if crashes {
		// The server crashes even if the request is canceled.
		time.AfterFunc(crashDelay, func() { e.crash(server.id, cause) })
	}
	stream := &responseBody{engines: e, server: server, ctx: ctx, completeAt: time.Now().Add(responseDuration)}
	return &relay.BackendResponse{Status: http.StatusOK, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: -1, Body: stream}, nil
}

// crashCause returns what in a call crashes servers, if anything does: the body or a part of the
// prompt.
func crashCause(call *relay.Call) (cause string, crashes bool) {
	for _, part := range call.Prompt.Parts {
		if part.ID >= FirstCrashPart {
			return fmt.Sprint("part ", part.ID), true
		}
	}
	body := string(call.Body)
	return body, strings.HasPrefix(body, CrashPrefix)
}

// Probe implements relay.Backend.
func (e *Engines) Probe(ctx context.Context, server backend.Server, _ bool) error {
	if err := e.await(ctx, server.Incarnation.Name); err != nil {
		return err
	}
	if e.lookup(server.Incarnation.Name) == nil {
		return syscall.ECONNREFUSED
	}
	return nil
}

// RefusesConnections implements relay.Backend.
func (e *Engines) RefusesConnections(_ context.Context, address string) bool {
	time.Sleep(2 * networkDelay)
	return e.lookup(address) == nil
}

// CloseIdleConnections implements relay.Backend.
func (e *Engines) CloseIdleConnections(string) {}

// responseBody is a stream of one event. Reads fail if the server crashes before
// completeAt.
type responseBody struct {
	engines    *Engines
	server     *engine
	ctx        context.Context
	completeAt time.Time
	event      io.Reader
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.event != nil {
		return b.event.Read(p)
	}
	select {
	case <-time.After(time.Until(b.completeAt)):
		if err := b.engines.await(b.ctx, b.server.id); err != nil {
			return 0, err
		}
		b.event = strings.NewReader("id: 1\ndata: x\n\n")
		return b.event.Read(p)
	case <-b.server.stopped:
		return 0, io.ErrUnexpectedEOF
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
}

func (b *responseBody) Close() error { return nil }
