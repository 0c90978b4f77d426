package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// beatInterval is how often a server writes its entry.
const beatInterval = 1200 * time.Millisecond

// server is a backend server of a plain service. It runs requests in the order of their arrival on a
// number of slots, queues a few and sheds the rest.
type server struct {
	id, service, version, zone, address string
	store                               *store
	http                                *http.Server
	slots                               chan struct{}

	mu       sync.Mutex
	sequence int
	waiting  int
	// onRun is called when a request begins to run, and onEnd with the status of its answer.
	onRun func(id string, s *server)
	onEnd func(id string, s *server, status int)
}

const (
	serverSlots = 6
	serverQueue = 24
	workMean    = 15 * time.Millisecond
)

// startServer starts a server on a free port and registers it.
func startServer(st *store, id, service, version, zone, ip string, onRun func(string, *server), onEnd func(string, *server, int)) (*server, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, version: version, zone: zone, address: l.Addr().String(), store: st, slots: make(chan struct{}, serverSlots), onRun: onRun, onEnd: onEnd}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // until the server is stopped
	s.beat()
	go func() { // until the process ends
		for range time.Tick(beatInterval) {
			s.beat()
		}
	}()
	return s, nil
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.store.put(name["servers"], s.id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready","cold_ms":0,"sequence":%d}`,
		s.service, s.address, s.zone, s.version, serverSlots, s.sequence))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name["attempt"])
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set(name["attempt"], id)
	h.Set(name["instance"], s.id)
	switch {
	case r.URL.Path == "/healthz":
		return
	case r.Header.Get(name["expect"]) != "" && r.Header.Get(name["expect"]) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !s.enter():
		h.Set(name["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.onRun(id, s)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(workMean)))
	h.Set(name["seal"], "seal."+s.id+"."+id)
	s.onEnd(id, s, http.StatusOK)
	fmt.Fprintf(w, "answer of %s to %s", s.id, id)
}

// enter takes a slot, and reports whether there was room in the queue.
func (s *server) enter() bool {
	s.mu.Lock()
	full := s.waiting >= serverQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	s.slots <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}
