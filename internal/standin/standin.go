// Package standin holds small stand-ins for what surrounds the system: the
// platform's services, model engines and plain services. They serve the
// published HTTP protocols over real sockets and can be told to fail.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Server is a stand-in's listening socket.
type Server struct {
	// Address is ip:port.
	Address string
	// URL is http://Address.
	URL        string
	httpServer *http.Server
}

// headerTimeout bounds how long a client may take over its header.
const headerTimeout = 10 * time.Second

// Serve listens on a free loopback port and serves h until Close.
func Serve(h http.Handler) (*Server, error) { return ServeAt("127.0.0.1:0", h) }

// ServeAt listens on a given address.
func ServeAt(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), httpServer: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}}
	s.URL = "http://" + s.Address
	go func() { _ = s.httpServer.Serve(l) }()
	return s, nil
}

// Close ends the listener and every connection at once, as a lost VM does.
func (s *Server) Close() { _ = s.httpServer.Close() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
