package peer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// streamWriteTimeout bounds the wait for a client that does not read its stream.
const streamWriteTimeout = 30 * time.Second

// Server accepts connections from other daemons and dispatches their calls.
type Server struct {
	key      string
	handlers map[string]func(ctx context.Context, from string, body []byte) ([]byte, error)
	// streamHandlers handle requests whose response is a stream.
	streamHandlers map[string]func(ctx context.Context, from string, body []byte, send func(envelope) error)
	// OnRefused is called for each connection without a valid signature.
	OnRefused func()
	// OnBytes is called with the size of each message sent or received.
	OnBytes func(n int)

	// streams is the number of requests whose response is a stream that has not ended.
	streams atomic.Int64

	mu     sync.Mutex
	conns  map[*websocket.Conn]bool
	closed bool
}

// NewServer returns a server that accepts clients with the peer key.
func NewServer(key string) *Server {
	return &Server{key: key, handlers: map[string]func(context.Context, string, []byte) ([]byte, error){}, streamHandlers: map[string]func(context.Context, string, []byte, func(envelope) error){}, OnRefused: func() {}, OnBytes: func(int) {}, conns: map[*websocket.Conn]bool{}}
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
	var writeMu sync.Mutex
	streamCtx, cancelStreams := context.WithCancel(ctx)
	defer cancelStreams()
	write := func(ctx context.Context, data []byte) error {
		writeMu.Lock()
		defer writeMu.Unlock()
		err := conn.Write(ctx, websocket.MessageBinary, data)
		if err == nil {
			s.OnBytes(len(data))
		}
		return err
	}
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		s.OnBytes(len(data))
		var request envelope
		if decMode.Unmarshal(data, &request) != nil {
			return
		}
		if handler := s.streamHandlers[request.Kind]; handler != nil {
			s.streams.Add(1)
			go func() {
				defer s.streams.Add(-1)
				handler(streamCtx, from, request.Body, func(message envelope) error {
					data, err := cbor.Marshal(message)
					if err != nil {
						return err
					}
					writeCtx, cancel := context.WithTimeout(streamCtx, streamWriteTimeout)
					defer cancel()
					return write(writeCtx, data)
				})
			}()
			continue
		}
		go func() {
			_ = write(ctx, s.dispatch(ctx, from, request)) // the client has disconnected
		}()
	}
}

func (s *Server) dispatch(ctx context.Context, from string, request envelope) []byte {
	reply := envelope{Seq: request.Seq}
	handler := s.handlers[request.Kind]
	if handler == nil {
		reply.Error = "unknown call " + request.Kind
	} else if body, err := handler(ctx, from, request.Body); err != nil {
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
