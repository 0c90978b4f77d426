package conntrack

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
)

// Guards against connections that are closed without a log line of their request, or with a wrong phase.
func TestRequestsOnConnectionsByPhase(t *testing.T) {
	tracker := New(log.New(io.Discard))
	read, serving, end := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		read <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off ends as well
		serving <- struct{}{}
		<-end
	}))
	idle := make(chan struct{})
	tracker.Attach(server.Config)
	observe := server.Config.ConnState
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		observe(c, state)
		if state == http.StateIdle {
			close(idle)
		}
	}
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	check := func(want string) {
		t.Helper()
		var got []string
		for _, r := range tracker.Requests() {
			got = append(got, r.Method+" "+r.Path+" "+string(r.Phase))
		}
		if strings.Join(got, ",") != want {
			t.Errorf("requests %q, want %q", got, want)
		}
	}
	check("")
	send := func(s string) {
		t.Helper()
		if _, err := io.WriteString(conn, s); err != nil {
			t.Fatal(err)
		}
	}
	send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
	<-read
	check("POST /x reading")
	send("{}")
	<-serving
	check("POST /x serving")
	close(end)
	<-idle
	check("")
}
