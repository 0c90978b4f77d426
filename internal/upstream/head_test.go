package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/checkedconn"
)

// endlessConn is a connection that yields a prefix and then a pattern without end, up to a number of
// bytes beyond all limits.
type endlessConn struct {
	net.Conn
	prefix, pattern string
	taken           int
	closed          bool
}

// endlessBytes is the number of bytes that stands for no end.
const endlessBytes = 4 << 20

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.taken >= endlessBytes {
		return 0, io.EOF
	}
	for i := range p {
		if at := c.taken + i; at < len(c.prefix) {
			p[i] = c.prefix[at]
		} else {
			p[i] = c.pattern[(at-len(c.prefix))%len(c.pattern)]
		}
	}
	c.taken += len(p)
	return len(p), nil
}

func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *endlessConn) Close() error                { c.closed = true; return nil }

// callOn makes a call on a connection and reads the response to its end.
func callOn(c net.Conn) error { return callWith(c, nil) }

func callWith(c net.Conn, growHead func(n int) error) error {
	p := NewPool()
	p.Dial = func(context.Context, string) (net.Conn, error) { return c, nil }
	req := &http.Request{Method: "GET", URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, err := p.Do(context.Background(), Call{Address: "a", Request: req, GrowHead: growHead, Match: func(r *http.Response) bool { return r.Header.Get("Id") == "1" }})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the response has been read
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against heads without end, which take memory until the deadline.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	const unmatched = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
	for name, c := range map[string]*endlessConn{
		"status line":             {prefix: "HTTP/1.1 200 ", pattern: "a"},
		"field name":              {prefix: "HTTP/1.1 200 OK\r\n", pattern: "a"},
		"field value":             {prefix: "HTTP/1.1 200 OK\r\nA: ", pattern: "a"},
		"folded field":            {prefix: "HTTP/1.1 200 OK\r\nA: b\r\n", pattern: " b\r\n"},
		"fields":                  {prefix: "HTTP/1.1 200 OK\r\n", pattern: "A: b\r\n"},
		"interim responses":       {pattern: "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim fields":          {prefix: "HTTP/1.1 103 Early Hints\r\n", pattern: "A: b\r\n"},
		"fields after unmatched":  {prefix: unmatched + "HTTP/1.1 200 OK\r\n", pattern: "A: b\r\n"},
		"interim after unmatched": {prefix: unmatched, pattern: "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		err := callOn(c)
		var e *Error
		var tooLong *HeadTooLongError
		if !errors.As(err, &e) || e.Reason != InvalidResponse || !e.Sent || !errors.As(err, &tooLong) || !c.closed || c.taken > 2*maxHeadBytes {
			t.Errorf("%s: got %.80v, closed %t, after %d bytes", name, err, c.closed, c.taken)
		}
	}
}

// Guards against framing without end around a body, and against skipping responses without end.
func TestFramingWithoutEndIsBounded(t *testing.T) {
	const chunked, other = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]*endlessConn{
		"chunk size":           {prefix: chunked, pattern: "0"},
		"chunk extension":      {prefix: chunked + "1;", pattern: "a"},
		"chunk extensions":     {prefix: chunked, pattern: "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n"},
		"trailer":              {prefix: chunked + "0\r\nA: ", pattern: "a"},
		"trailers":             {prefix: chunked + "0\r\n", pattern: "A: b\r\n"},
		"unmatched responses":  {pattern: other + "0\r\n\r\n"},
		"unmatched body":       {prefix: other, pattern: "1\r\na\r\n"},
		"unmatched until EOF":  {prefix: "HTTP/1.1 200 OK\r\n\r\n", pattern: "a"},
		"unmatched trailers":   {prefix: other + "0\r\n", pattern: "A: b\r\n"},
		"unmatched chunk size": {prefix: other, pattern: "0"},
	} {
		if err := callOn(c); err == nil || !c.closed || c.taken > 512<<10 {
			t.Errorf("%s: got %v, closed %t, after %d bytes", name, err, c.closed, c.taken)
		}
	}
}

// Guards against a limit that differs between long heads and many, and against one that counts bodies.
func TestLimitOfHeads(t *testing.T) {
	respondTo := func(field int) error {
		head := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 262144\r\nA: " + strings.Repeat("a", field) + "\r\n\r\n"
		return callOn(&endlessConn{prefix: head, pattern: "b"})
	}
	if err := respondTo(maxHeadBytes - 1024); err != nil {
		t.Errorf("a head within the limit: %v", err)
	}
	if err := respondTo(maxHeadBytes); err == nil {
		t.Error("a head beyond the limit was read")
	}
}

// Guards against reading on in a response without end that is refused by its head.
func TestClosedBodyIsNotRead(t *testing.T) {
	c := &endlessConn{prefix: "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n", pattern: "1\r\na\r\n"}
	p := NewPool()
	p.Dial = func(context.Context, string) (net.Conn, error) { return c, nil }
	resp, err := p.Do(context.Background(), Call{Address: "a", Request: &http.Request{Method: "GET", URL: &url.URL{Opaque: "/x"}, Header: http.Header{}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil || !c.closed || c.taken > readBufferBytes {
		t.Errorf("got %v, closed %t, after %d bytes", err, c.closed, c.taken)
	}
}

// BenchmarkLongHead measures the memory for the longest head with the shortest fields.
func BenchmarkLongHead(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\n")
	for i := 0x1000; len(text) < maxHeadBytes-8; i++ {
		text = fmt.Appendf(text, "%X:\n", i)
	}
	text = append(text, '\n')
	b.ReportAllocs()
	for b.Loop() {
		if _, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(text), readBufferBytes), nil); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against memory for long heads that is used before it is granted, or granted for short ones.
func TestLongHeadIsReadOnlyIfItsMemoryIsGranted(t *testing.T) {
	errFull := errors.New("full")
	c := &endlessConn{prefix: "HTTP/1.1 200 OK\r\n", pattern: "A: b\r\n"}
	granted := readBufferBytes
	err := callWith(c, func(n int) error {
		if c.taken != granted || granted == 4*readBufferBytes {
			return errFull
		}
		granted += n
		return nil
	})
	if !errors.Is(err, errFull) || !c.closed || c.taken != 4*readBufferBytes {
		t.Errorf("got %v after %d bytes of %d", err, c.taken, granted)
	}
	short := &endlessConn{prefix: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 262144\r\n\r\n", pattern: "b"}
	if err := callWith(short, func(int) error { return errFull }); err != nil {
		t.Errorf("a short head: %v", err)
	}
}

// Guards against heads of any form that are read beyond the limit or cause a panic.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "A: b\n", "\x00 \t:\r\r\n"} {
		f.Add(seed, "A: b\r\n")
	}
	f.Fuzz(func(t *testing.T, prefix, pattern string) {
		raw := &endlessConn{prefix: prefix, pattern: pattern + "\n"}
		c := &conn{Conn: checkedconn.New(raw), pool: NewPool()}
		c.reader = bufio.NewReaderSize(c, readBufferBytes)
		for range 1000 {
			if _, err := c.readHead(nil); err != nil {
				break
			}
		}
		if raw.taken > maxHeadBytes {
			t.Errorf("%d bytes were taken", raw.taken)
		}
	})
}
