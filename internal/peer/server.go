package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// writeTimeout bounds the wait for a client that does not read.
const writeTimeout = 30 * time.Second

// callHandler handles a call and returns its encoded response.
type callHandler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Memory grants the memory that messages take.
type Memory interface {
	// GrowMessages accounts for n bytes, and reports whether there is room.
	GrowMessages(n int64) bool
	// ReleaseMessages ends the account of n bytes.
	ReleaseMessages(n int64)
}

// Server accepts connections from other daemons and dispatches their calls.
type Server struct {
	key      string
	handlers map[string]callHandler
	// streamHandlers handle requests whose response is a stream.
	streamHandlers map[string]func(ctx context.Context, from string, body []byte, send func(envelope) error)
	// OnRefused is called for each connection without a valid signature.
	OnRefused func()
	// OnBytes is called with the size of each message sent or received.
	OnBytes func(n int)
	// OnPanic is called with the recovered panic of a handler of a kind. By default it panics again,
	// which ends the process.
	OnPanic func(kind string, recovered any)
	// Memory accounts for the messages that are read, handled or written; nil if they are not bounded.
	Memory Memory
	// OnOverload is called for each connection that is closed because there is no room for a message.
	OnOverload func(from string)

	// streams is the number of requests whose response is a stream that has not ended.
	streams atomic.Int64

	mu     sync.Mutex
	conns  map[*websocket.Conn]bool
	closed bool
}

// NewServer returns a server that accepts clients with the peer key.
func NewServer(key string) *Server {
	return &Server{key: key, handlers: map[string]callHandler{}, streamHandlers: map[string]func(context.Context, string, []byte, func(envelope) error){}, OnRefused: func() {}, OnOverload: func(string) {}, OnBytes: func(int) {}, OnPanic: func(_ string, recovered any) { panic(recovered) }, conns: map[*websocket.Conn]bool{}}
}

// Close closes all connections and rejects new ones. http.Server.Close does not close
// upgraded connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.CloseNow()
	}
}

// ActiveStreams returns the number of requests that have been read whose response is a stream, and
// whose last message has not been written to the connection.
func (s *Server) ActiveStreams() int { return int(s.streams.Load()) }

// track adds an open connection or removes a closed one, and reports whether the server is open.
func (s *Server) track(c *websocket.Conn, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		delete(s.conns, c)
	} else if !s.closed {
		s.conns[c] = true
	}
	return !s.closed
}

// Handle registers the handler of a kind of call. It must not be called while serving.
func Handle[Q, A any](s *Server, kind string, handler func(ctx context.Context, from string, req Q) (A, error)) {
	s.handlers[kind] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var req Q
		if err := decMode.Unmarshal(body, &req); err != nil {
			return nil, fault.New(fault.BadRequest, "undecodable %s", kind)
		}
		resp, err := handler(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, ok := verify(s.key, r.Header.Get("Authorization"), time.Now())
	if !ok || r.URL.Path != endpointPath {
		s.OnRefused()
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	defer s.track(conn, false)
	if !s.track(conn, true) {
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	s.serveConn(r.Context(), from, conn)
}

func (s *Server) serveConn(ctx context.Context, from string, conn *websocket.Conn) {
	streamCtx, cancelStreams := context.WithCancel(ctx)
	defer cancelStreams()
	c := &serverConn{server: s, from: from, ws: conn}
	for {
		message, err := c.read(ctx)
		if err != nil {
			message.release()
			return
		}
		s.OnBytes(len(message.data))
		var request envelope
		if decMode.Unmarshal(message.data, &request) != nil {
			message.release()
			return
		}
		if handler := s.streamHandlers[request.Kind]; handler != nil {
			send := func(message envelope) error {
				data, err := cbor.Marshal(message)
				if err != nil {
					return err
				}
				return c.write(streamCtx, data)
			}
			s.streams.Add(1)
			go func() {
				defer message.release()
				defer s.streams.Add(-1)
				defer s.recoverStream(request.Kind, send)
				handler(streamCtx, from, request.Body, send)
			}()
			continue
		}
		go func() {
			defer message.release()
			_ = c.write(ctx, s.dispatch(ctx, from, request)) // the client has disconnected
		}()
	}
}

func (s *Server) dispatch(ctx context.Context, from string, request envelope) []byte {
	reply := envelope{Seq: request.Seq}
	handler := s.handlers[request.Kind]
	if handler == nil {
		reply.Error = "unknown call " + request.Kind
	} else if body, err := s.call(ctx, handler, from, request); err != nil {
		reply.Error = err.Error()
	} else {
		reply.Body = body
	}
	data, err := cbor.Marshal(reply)
	if err != nil {
		return nil
	}
	return data
}

// errPanicked is the response to a call whose handler panicked.
var errPanicked = errors.New("internal error")

// call calls a handler and returns an error if it panics.
func (s *Server) call(ctx context.Context, handler callHandler, from string, request envelope) (body []byte, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.OnPanic(request.Kind, recovered)
			err = errPanicked
		}
	}()
	return handler(ctx, from, request.Body)
}

// recoverStream recovers a panic of the handler of a stream. It ends the stream as incomplete: an
// error would state that the request was not handled.
func (s *Server) recoverStream(kind string, send func(envelope) error) {
	if recovered := recover(); recovered != nil {
		s.OnPanic(kind, recovered)
		_ = send(envelope{}) // the client has disconnected
	}
}
