package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Server accepts calls from other daemons.
type Server struct {
	key      string
	handlers map[string]func(ctx context.Context, from string, body []byte) ([]byte, error)
	// OnRefused counts connections without the right key.
	OnRefused func()
	// OnBytes counts what was sent and received.
	OnBytes func(n int)

	mu     sync.Mutex
	conns  map[*websocket.Conn]bool
	closed bool
}

// NewServer returns a server that admits holders of the peer key.
func NewServer(key string) *Server {
	return &Server{key: key, handlers: map[string]func(context.Context, string, []byte) ([]byte, error){}, OnRefused: func() {}, OnBytes: func(int) {}, conns: map[*websocket.Conn]bool{}}
}

// Close ends every connection. The HTTP server does not: it no longer knows those
// that were upgraded, and a closed daemon would go on to answer probes on them.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.CloseNow()
	}
}

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

// Handle registers the handler of one kind of call.
func Handle[Q, A any](s *Server, kind string, h func(ctx context.Context, from string, q Q) (A, error)) {
	s.handlers[kind] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var q Q
		if err := decoder.Unmarshal(body, &q); err != nil {
			return nil, fault.New(fault.BadRequest, "undecodable %s", kind)
		}
		a, err := h(ctx, from, q)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(a)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, ok := verify(s.key, r.Header.Get("Authorization"), time.Now())
	if !ok || r.URL.Path != path {
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
	conn.SetReadLimit(maxMessage)
	s.serve(r.Context(), from, conn)
}

func (s *Server) serve(ctx context.Context, from string, conn *websocket.Conn) {
	var writing sync.Mutex
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		s.OnBytes(len(data))
		var e envelope
		if decoder.Unmarshal(data, &e) != nil {
			return
		}
		go func() {
			reply := s.answer(ctx, from, e)
			writing.Lock()
			defer writing.Unlock()
			if conn.Write(ctx, websocket.MessageBinary, reply) == nil {
				s.OnBytes(len(reply))
			}
		}()
	}
}

func (s *Server) answer(ctx context.Context, from string, e envelope) []byte {
	out := envelope{Seq: e.Seq}
	h := s.handlers[e.Kind]
	if h == nil {
		out.Error = "unknown call " + e.Kind
	} else if body, err := h(ctx, from, e.Body); err != nil {
		out.Error = err.Error()
	} else {
		out.Body = body
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}
