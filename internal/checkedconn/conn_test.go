package checkedconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/httpframing"
)

// resetConn is a connection that is reset while a request is written: the write gets the error, so that the
// read gets the end.
type resetConn struct {
	net.Conn
	response      *bytes.Reader
	writeAccepted int
	failed        chan struct{}
}

func (c *resetConn) Write(p []byte) (int, error) {
	if len(p) <= c.writeAccepted {
		c.writeAccepted -= len(p)
		return len(p), nil
	}
	close(c.failed)
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	if c.response.Len() == 0 {
		<-c.failed
	}
	return c.response.Read(p)
}

func (c *resetConn) Close() error { return nil }

// post sends a request with a long body on a connection, and returns the body of the response.
func post(t *testing.T, c net.Conn) ([]byte, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: Dialer(func(context.Context, string, string) (net.Conn, error) { return c, nil })}}
	resp, err := client.Post("http://a/", "text/plain", bytes.NewReader(make([]byte, 8<<20)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

// Guards against a part of a response that is taken for the whole, since the write of the request has got
// the error of the connection.
func TestEndOfAResetConnectionEndsNoResponse(t *testing.T) {
	c := &resetConn{response: bytes.NewReader([]byte("HTTP/1.1 200 OK\r\n\r\na part")), writeAccepted: 4096, failed: make(chan struct{})}
	checked := New(c)
	if _, err := checked.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 10000\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	written := make(chan error)
	go func() {
		_, err := checked.Write(make([]byte, 10000))
		written <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(checked), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	var incomplete *IncompleteRequestError
	if !errors.As(err, &incomplete) || !errors.Is(err, syscall.ECONNRESET) || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q, %v", body, err)
	}
	if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the write got %v", err)
	}
}

// Guards against a whole response that is refused because its server responds before it has read the request.
func TestServerMayRespondAndReadOn(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		}
		if err == nil {
			err = c.(*net.TCPConn).CloseWrite()
		}
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			t.Error(err)
		}
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if body, err := post(t, c); err != nil || string(body) != "whole" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against a read that waits for the rest of a request after the connection was closed.
func TestCloseEndsTheWaitForTheRequest(t *testing.T) {
	client, server := net.Pipe()
	checked := New(client)
	go func() {
		_, _ = server.Read(make([]byte, 4096)) // a part of the request
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\na part")
		_ = server.Close()
	}()
	if _, err := checked.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 10000\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if n, err := io.ReadFull(checked, make([]byte, len("HTTP/1.1 200 OK\r\n\r\na part"))); err != nil {
		t.Fatal(n, err)
	}
	ended := make(chan error)
	go func() {
		_, err := checked.Read(make([]byte, 1))
		ended <- err
	}()
	_ = checked.Close()
	if err := <-ended; err == nil || err == io.EOF {
		t.Errorf("got %v", err)
	}
}

// Guards against losing a whole response because of the bytes that follow it.
func TestBytesAfterAResponseAreReadApart(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
	failed := make(chan struct{})
	close(failed)
	c := New(&resetConn{response: bytes.NewReader([]byte(whole + "HTTP/1.1 000 OK\r\n\r\n")), failed: failed})
	p := make([]byte, 4096)
	if n, err := c.Read(p); err != nil || string(p[:n]) != whole || c.Err() == nil {
		t.Errorf("got %q, %v, then %v", p[:n], err, c.Err())
	}
	var malformed *httpframing.MalformedError
	if n, err := c.Read(p); n != 0 || !errors.As(err, &malformed) {
		t.Errorf("got %d bytes, %v", n, err)
	}
}

// Guards against bytes after a response that are taken for the response to the next request.
func TestUnsolicitedResponseIsTakenForNoOther(t *testing.T) {
	const response, request = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, tt := range map[string]struct {
		responses string
		rejects   bool
		err       error
	}{
		"one":                  {response, true, nil},
		"after an interim one": {"HTTP/1.1 100 Continue\r\n\r\n" + response, true, nil},
		"two":                  {response + response, true, ErrUnsolicited},
		"two, for the pool":    {response + response, false, nil},
		"one and other bytes":  {response + "a", true, ErrUnsolicited},
	} {
		client, server := net.Pipe()
		c := New(client)
		c.rejectsUnsolicited = tt.rejects
		go func() {
			_, _ = io.ReadFull(server, make([]byte, len(request)))
			_, _ = io.WriteString(server, tt.responses)
			_, _ = io.Copy(io.Discard, server)
		}()
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := io.WriteString(c, request); !errors.Is(err, tt.err) || !errors.Is(c.Err(), tt.err) {
			t.Errorf("%s: a further request is written with %v, %v", name, err, c.Err())
		}
		_, _ = server.Close(), c.Close()
	}
}
