package enginetest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

const (
	// fallDuration is how long a server is down that has rejected too much.
	fallDuration = 3 * time.Second
	// runDuration is the time for which a request occupies a slot.
	runDuration = 100 * time.Millisecond
)

// Rejecting is a set of servers that terminate if they reject more requests in a second than they
// tolerate. It implements relay.Backend.
type Rejecting struct {
	// Slots is the number of requests that a server runs at a time, and Tolerance the number of
	// rejections in a second that it survives.
	Slots     int
	Tolerance float64

	mu sync.Mutex
	// room is the number of requests that may wait at a server, and states whether responses state
	// the tolerance.
	room               int
	states, terminates bool
	servers            map[string]*rejectingServer
	falls              int
	runs               int
}

type rejectingServer struct {
	running, waiting int
	rejections       []time.Time
	downUntil        time.Time
	// freed is closed when a slot gets free.
	freed chan struct{}
}

// NewRejecting starts and registers servers with room for some waiting requests.
func NewRejecting(servers, slots, room int, tolerance float64, register func(id string, value []byte)) *Rejecting {
	r := &Rejecting{Slots: slots, Tolerance: tolerance, room: room, servers: map[string]*rejectingServer{}}
	for i := range servers {
		id := fmt.Sprintf("e%d.0", i)
		r.servers[id] = &rejectingServer{freed: make(chan struct{})}
		register(id, []byte("ready"))
	}
	return r
}

// State makes all responses state the tolerance.
func (r *Rejecting) State() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = true
}

// Shrink sets the number of requests that may wait at a server. From now on servers terminate.
func (r *Rejecting) Shrink(room int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room, r.terminates = room, true
}

// Counts returns the number of servers that terminated and of requests that ran.
func (r *Rejecting) Counts() (falls, runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls, r.runs
}

// Send implements relay.Backend.
func (r *Rejecting) Send(ctx context.Context, send relay.BackendRequest) (*relay.BackendResponse, error) {
	time.Sleep(networkDelay)
	server, err := r.admit(send.Server.Incarnation.Name)
	if err != nil {
		return nil, err
	}
	if server == nil {
		time.Sleep(networkDelay)
		return r.response(http.StatusServiceUnavailable, true), nil
	}
	if !r.run(ctx, server) {
		return nil, &upstream.Error{Reason: upstream.ConnectionLost, Sent: true, Err: io.EOF}
	}
	time.Sleep(networkDelay)
	return r.response(http.StatusOK, false), nil
}

// admit adds a request to those that wait at a server, or returns nil if that rejects it.
func (r *Rejecting) admit(id string) (*rejectingServer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server, now := r.servers[id], time.Now()
	if now.Before(server.downUntil) {
		return nil, &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ECONNREFUSED}
	}
	if server.running+server.waiting < r.Slots+r.room {
		server.waiting++
		return server, nil
	}
	recent := server.rejections[:0]
	for _, at := range server.rejections {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	server.rejections = append(recent, now)
	if r.terminates && float64(len(server.rejections)) > r.Tolerance {
		r.falls++
		server.rejections, server.downUntil = nil, now.Add(fallDuration)
	}
	return nil, nil
}

// run waits for a slot and runs a request. It returns false if the server terminates meanwhile.
func (r *Rejecting) run(ctx context.Context, server *rejectingServer) bool {
	for {
		r.mu.Lock()
		if server.running < r.Slots {
			server.waiting--
			server.running++
			r.mu.Unlock()
			break
		}
		freed := server.freed
		r.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			r.mu.Lock()
			server.waiting--
			r.mu.Unlock()
			return false
		}
	}
	time.Sleep(runDuration)
	r.mu.Lock()
	defer r.mu.Unlock()
	server.running--
	close(server.freed)
	server.freed = make(chan struct{})
	if time.Now().Before(server.downUntil) {
		return false
	}
	r.runs++
	return true
}

func (r *Rejecting) response(status int, notRun bool) *relay.BackendResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	resp := &relay.BackendResponse{Status: status, Header: http.Header{}, NotRun: notRun, Authenticated: !notRun, Confidence: -1, ContentLength: 1, Body: io.NopCloser(strings.NewReader("x"))}
	if r.states {
		resp.Tolerance = serverstatus.Tolerance{Kind: serverstatus.Stated, PerSecond: r.Tolerance}
	}
	return resp
}

// Probe implements relay.Backend.
func (r *Rejecting) Probe(_ context.Context, server backend.Server, _ bool) error {
	if r.RefusesConnections(context.Background(), server.Incarnation.Name) {
		return syscall.ECONNREFUSED
	}
	return nil
}

// RefusesConnections implements relay.Backend.
func (r *Rejecting) RefusesConnections(_ context.Context, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.servers[address].downUntil)
}

// CloseIdleConnections implements relay.Backend.
func (r *Rejecting) CloseIdleConnections(string) {}
