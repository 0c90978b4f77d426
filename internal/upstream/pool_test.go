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

// startServer answers each request on each connection by a function that writes to it
// and says whether the connection goes on.
func startServer(t *testing.T, answer func(n int, r *http.Request, w io.Writer) bool) string {
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
					_, _ = io.Copy(io.Discard, req.Body) // the test's own request
					if !answer(n, req, c) {
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
	n := 0
	p.OnDial = func(string) { n++ }
	return &n
}

func TestConnectionsAreReused(t *testing.T) {
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeResponse(w, r.Header.Get("Id"), "ok")
		return true
	})
	p := NewPool()
	opened := countDials(p)
	for i := range 5 {
		if body, err := do(p, address, fmt.Sprint(i)); err != nil || body != "ok" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if *opened != 1 {
		t.Errorf("opened %d connections for 5 requests in turn", *opened)
	}
}

// Symptom: a caller got the answer to another caller's request.
// Sequence: a server sends a second answer to a request; the next request on the
// connection meets it where its own answer is due.
// Cause: answers were matched by their place alone.
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

// Symptom: as above, with bytes that came before the next request was sent.
func TestConnectionWithPendingBytesIsNotReused(t *testing.T) {
	strayed := make(chan struct{})
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeResponse(w, r.Header.Get("Id"), "own")
		_, _ = io.WriteString(w, "stray") // the pool must notice
		strayed <- struct{}{}
		return true
	})
	p := NewPool()
	for i := range 3 {
		if body, err := do(p, address, fmt.Sprint(i)); err != nil || body != "own" {
			t.Fatalf("request %d: got %q, %v", i, body, err)
		}
		<-strayed // or the next request might be sent before these bytes are
	}
}

func TestErrorsReportReasonAndSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	_ = l.Close()
	closes := startServer(t, func(int, *http.Request, io.Writer) bool { return false })
	garbles := startServer(t, func(_ int, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "what is this\r\n\r\n")
		return false
	})
	for address, want := range map[string]Error{
		nobody: {Reason: Unreachable, Sent: false}, closes: {Reason: ConnectionLost, Sent: true}, garbles: {Reason: InvalidResponse, Sent: true},
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
		t.Fatalf("took %q for whole", body)
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
		_, _ = p.Do(ctx, Call{Address: address, Request: req, MaxConnections: 1}) // ends by the context
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

// Symptom: servers worked on for callers who had left, before the first byte of an answer
// and in the middle of a stream.
// Sequence: a caller leaves while its request waits at a server, or while events come.
// Cause: a server stops a run only when its connection ends.
func TestCancelClosesTheConnection(t *testing.T) {
	for _, begun := range []bool{false, true} {
		running, ended := make(chan struct{}), make(chan error, 1)
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
				ended <- err
				return
			}
			if begun {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			}
			close(running)
			_, err = io.Copy(io.Discard, r) // returns when the connection ends
			ended <- err
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
		<-running
		cancel()
		<-ended
		if err := <-done; err == nil {
			t.Errorf("begun %t: the call ended well though it was given up", begun)
		}
	}
}
