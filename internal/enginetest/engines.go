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
	ends    map[string][]time.Time
	sends   map[string][]time.Time
}

// engine is one run of a server.
type engine struct {
	id string
	// ended is closed at its end.
	ended chan struct{}
}

const (
	// Deadly begins the bodies that end a server.
	Deadly = "deadly"
	// oneWay is the time to a server.
	oneWay = time.Millisecond
	// untilHead is the time to the head of an answer, untilEnd the time from there to the
	// end of a server that runs a deadly body, and BackAfter the time until it is back.
	untilHead = 40 * time.Millisecond
	untilEnd  = 100 * time.Millisecond
	BackAfter = 3500 * time.Millisecond
	// wholeAnswer is the time from the head to the end of an answer.
	wholeAnswer = 600 * time.Millisecond
)

// New starts some servers and writes their entries.
func New(servers int, register func(id string, value []byte)) *Engines {
	e := &Engines{register: register, running: map[string]*engine{}, ends: map[string][]time.Time{}, sends: map[string][]time.Time{}}
	for i := range servers {
		e.start(fmt.Sprintf("e%d", i), 0)
	}
	return e
}

// Ends returns when servers ended by each deadly body.
func (e *Engines) Ends() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.ends)
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
	e.running[id] = &engine{id: id, ended: make(chan struct{})}
	e.mu.Unlock()
	e.register(id, []byte("ready"))
}

// end ends a run of a server by a body, once.
func (e *Engines) end(id, body string) {
	e.mu.Lock()
	run := e.running[id]
	delete(e.running, id)
	if run != nil {
		e.ends[body] = append(e.ends[body], time.Now())
		close(run.ended)
	}
	e.mu.Unlock()
	if run == nil {
		return
	}
	name, life, _ := strings.Cut(id, ".")
	time.AfterFunc(BackAfter, func() {
		var n int
		_, _ = fmt.Sscan(life, &n)
		e.register(id, nil)
		e.start(name, n+1)
	})
}

func (e *Engines) find(id string) *engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id]
}

// Send implements relay.Backend.
func (e *Engines) Send(ctx context.Context, s relay.BackendRequest) (*relay.BackendResponse, error) {
	time.Sleep(oneWay)
	run, body := e.find(s.Server.Incarnation.Name), string(s.Call.Body)
	if run == nil {
		return nil, &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ECONNREFUSED}
	}
	if strings.HasPrefix(body, Deadly) {
		e.mu.Lock()
		e.sends[body] = append(e.sends[body], time.Now())
		e.mu.Unlock()
	}
	select {
	case <-time.After(untilHead):
	case <-run.ended:
		return nil, &upstream.Error{Reason: upstream.Broken, Sent: true, Err: io.EOF}
	case <-ctx.Done():
		return nil, &upstream.Error{Reason: upstream.Canceled, Sent: true, Err: context.Cause(ctx)}
	}
	if strings.HasPrefix(body, Deadly) {
		// A run that has begun ends its server also if it is cancelled.
		time.AfterFunc(untilEnd, func() { e.end(run.id, body) })
	}
	answer := &answerOf{run: run, ctx: ctx, whole: time.Now().Add(wholeAnswer)}
	return &relay.BackendResponse{Status: http.StatusOK, Header: http.Header{}, Authenticated: true, Confidence: -1, ContentLength: -1, Body: answer}, nil
}

// Alive implements relay.Backend.
func (e *Engines) Alive(_ context.Context, s backend.Server, _ bool) error {
	if e.find(s.Incarnation.Name) == nil {
		return syscall.ECONNREFUSED
	}
	return nil
}

// Refuses implements relay.Backend.
func (e *Engines) Refuses(_ context.Context, address string) bool {
	time.Sleep(2 * oneWay)
	return e.find(address) == nil
}

// Forget implements relay.Backend.
func (e *Engines) Forget(string) {}

// answerOf is a stream of one event that ends when it is whole, or broken off with its server.
type answerOf struct {
	run   *engine
	ctx   context.Context
	whole time.Time
	text  io.Reader
}

func (a *answerOf) Read(p []byte) (int, error) {
	if a.text != nil {
		return a.text.Read(p)
	}
	select {
	case <-time.After(time.Until(a.whole)):
		a.text = strings.NewReader("id: 1\ndata: x\n\n")
		return a.text.Read(p)
	case <-a.run.ended:
		return 0, io.ErrUnexpectedEOF
	case <-a.ctx.Done():
		return 0, context.Cause(a.ctx)
	}
}

func (a *answerOf) Close() error { return nil }
