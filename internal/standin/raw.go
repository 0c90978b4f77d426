package standin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
)

// RawServer is a fake backend server that answers each request with bytes, which need not be a response,
// and closes the connection.
type RawServer struct {
	// Answer returns the bytes that answer a request.
	Answer func(r *http.Request) string
	// SkipsBody makes the server answer once it has the head of a request. It closes the connection with the
	// body unread, which resets the connection.
	SkipsBody bool
}

// Start starts the server and returns its address. It runs until ctx is done.
func (s *RawServer) Start(ctx context.Context) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() }) // an error has no consequence
	go s.accept(l)
	return l.Addr().String(), nil
}

func (s *RawServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.Serve(c)
	}
}

// Serve answers the request on a connection and closes it.
func (s *RawServer) Serve(c net.Conn) {
	defer func() { _ = c.Close() }() // an error has no consequence
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // the connection was opened without a request
	}
	if !s.SkipsBody {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			log.Printf("raw server: read request: %v", err)
			return
		}
	}
	if _, err := io.WriteString(c, s.Answer(r)); err != nil && !errors.Is(err, net.ErrClosed) {
		log.Printf("raw server: write answer: %v", err)
	}
}
