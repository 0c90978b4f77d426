package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// startServer runs a server that calls a handler for the nth request of each connection
// and closes the connection if it returns false. It returns the server's address.
func startServer(t *testing.T, handle func(n int, r *http.Request, w io.Writer) bool) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body) // the test controls the body
					if !handle(n, req, c) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func do(p *Pool, address, id string) (string, error) {
	req := &http.Request{
		Method: "POST", URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {id}},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: 1, Body: io.NopCloser(strings.NewReader("b")),
	}
	resp, err := p.Do(context.Background(), Call{
		Address: address, Request: req,
		Match: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func writeResponse(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func countDials(p *Pool) *int {
	dials := 0
	p.OnDial = func(string) { dials++ }
	return &dials
}

func TestConnectionsAreReused(t *testing.T) {
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeResponse(w, r.Header.Get("Id"), "ok")
		return true
	})
	p := NewPool()
	dials := countDials(p)
	for i := range 5 {
		if body, err := do(p, address, fmt.Sprint(i)); err != nil || body != "ok" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if *dials != 1 {
		t.Errorf("opened %d connections for 5 sequential requests", *dials)
	}
}

// Guards against returning a duplicate response to an earlier request on the same
// connection.
func TestUnmatchedResponseIsSkipped(t *testing.T) {
	address := startServer(t, func(n int, r *http.Request, w io.Writer) bool {
		if n == 1 {
			writeResponse(w, "0", "late")
		}
		writeResponse(w, r.Header.Get("Id"), "own")
		return true
	})
	p := NewPool()
	for i := range 3 {
		if body, err := do(p, address, fmt.Sprint(i)); err != nil || body != "own" {
			t.Fatalf("request %d: got %q, %v", i, body, err)
		}
	}
}

// Guards against sending a request on a connection that holds unread data.
func TestConnectionWithPendingBytesIsNotReused(t *testing.T) {
	sent := make(chan struct{})
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeResponse(w, r.Header.Get("Id"), "own")
		_, _ = io.WriteString(w, "stray") // unread data that the pool must detect
		sent <- struct{}{}
		return true
	})
	p := NewPool()
	for i := range 3 {
		if body, err := do(p, address, fmt.Sprint(i)); err != nil || body != "own" {
			t.Fatalf("request %d: got %q, %v", i, body, err)
		}
		<-sent // ensures that the data precedes the next request
	}
}

func TestErrorsReportReasonAndSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := l.Addr().String()
	_ = l.Close()
	closing := startServer(t, func(int, *http.Request, io.Writer) bool { return false })
	invalid := startServer(t, func(_ int, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "what is this\r\n\r\n")
		return false
	})
	for address, want := range map[string]Error{
		refusing: {Reason: Unreachable, Sent: false}, closing: {Reason: ConnectionLost, Sent: true}, invalid: {Reason: InvalidResponse, Sent: true},
	} {
		_, err := do(NewPool(), address, "1")
		var e *Error
		if !errors.As(err, &e) || e.Reason != want.Reason || e.Sent != want.Sent {
			t.Errorf("got %v, want %s, sent %t", err, want.Reason, want.Sent)
		}
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", r.Header.Get("Id"))
		return false
	})
	if body, err := do(NewPool(), address, "1"); err == nil {
		t.Fatalf("truncated body %q returned without error", body)
	}
}

func TestMaxConnections(t *testing.T) {
	block := make(chan struct{})
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool { <-block; return false })
	defer close(block)
	p := NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	busy := make(chan struct{})
	p.OnDial = func(string) { close(busy) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		req := &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Host: "h", Header: http.Header{}}
		_, _ = p.Do(ctx, Call{Address: address, Request: req, MaxConnections: 1}) // returns when ctx is canceled
	}()
	<-busy
	_, err := p.Do(context.Background(), Call{Address: address, Request: &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}}, MaxConnections: 1})
	var e *Error
	if !errors.As(err, &e) || e.Reason != ConnectionLimit || e.Sent {
		t.Fatalf("got %v", err)
	}
	cancel()
	<-done
}

// Guards against a connection that stays open after a cancellation before or within a
// response: servers stop a run only when its connection is closed.
func TestCancelClosesTheConnection(t *testing.T) {
	for _, responseStarted := range []bool{false, true} {
		received, closed := make(chan struct{}), make(chan error, 1)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err != nil {
				closed <- err
				return
			}
			if responseStarted {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			}
			close(received)
			_, err = io.Copy(io.Discard, r) // returns when the connection is closed
			closed <- err
		}()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			req := &http.Request{Method: "GET", URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
			resp, err := NewPool().Do(ctx, Call{Address: l.Addr().String(), Request: req})
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			done <- err
		}()
		<-received
		cancel()
		<-closed
		if err := <-done; err == nil {
			t.Errorf("response started %t: canceled call returned no error", responseStarted)
		}
	}
}

// Guards against sending a request that was withdrawn, and against losing its connection.
func TestWithdrawnCallSendsNothing(t *testing.T) {
	received := make(chan string, 8)
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		received <- r.Header.Get("Id")
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1\r\n\r\na", r.Header.Get("Id"))
		return true
	})
	p := NewPool()
	dials := 0
	p.OnDial = func(string) { dials++ }
	for range 3 {
		req := &http.Request{Method: "POST", URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {"withdrawn"}}}
		_, err := p.Do(context.Background(), Call{Address: address, Request: req, Admit: func() bool { return false }})
		var e *Error
		if !errors.As(err, &e) || e.Reason != Withdrawn || e.Sent {
			t.Fatalf("got %v", err)
		}
	}
	if body, err := do(p, address, "next"); err != nil || body != "a" || dials != 1 {
		t.Errorf("got %q, %v after %d dials", body, err, dials)
	}
	if id := <-received; id != "next" {
		t.Errorf("the server received %q", id)
	}
}
