package standin

import (
	"bufio"
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

// Serve serves the connections of a listener until it is closed.
func (s *RawServer) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *RawServer) serve(c net.Conn) {
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
