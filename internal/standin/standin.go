// Package standin implements fakes of the external systems for tests and the demo: the
// platform's services, model engines and backend servers. They serve the published HTTP
// protocols on real sockets and support fault injection.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Server is the HTTP server of a fake.
type Server struct {
	// Address is the listen address as ip:port.
	Address string
	// URL is the base URL, http://Address.
	URL        string
	httpServer *http.Server
}

// headerTimeout is the time a client has to send a request header.
const headerTimeout = 10 * time.Second

// Serve listens on a free loopback port and serves h until Close.
func Serve(h http.Handler) (*Server, error) { return ServeAt("127.0.0.1:0", h) }

// ServeAt listens on a given address and serves h until Close.
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

// Close closes the listener and all connections immediately, as if the VM were lost.
func (s *Server) Close() { _ = s.httpServer.Close() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
