package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// exchanges are the exchanges with a backend server, with the body of a sound response to each.
var exchanges = map[string]struct {
	body string
	do   func(c *Client, address string) error
}{
	"call": {"{}", func(c *Client, address string) error {
		_, _, err := c.Call(context.Background(), address, "r", []byte("{}"))
		return err
	}},
	"run": {lastEvent, func(c *Client, address string) error {
		return readStream(c.Start(context.Background(), address, Run{ID: "r"}))
	}},
	"resumed run": {lastEvent, func(c *Client, address string) error {
		return readStream(c.Resume(context.Background(), address, "r", 1))
	}},
	"load report": {"{}", func(c *Client, address string) error {
		_, err := c.Load(context.Background(), address)
		return err
	}},
	"cancellation": {"", func(c *Client, address string) error { return c.Cancel(address, "r") }},
}

// lastEvent is a stream that consists of the end of a run.
const lastEvent = "id: 2\ndata: {\"run\":\"r\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"

// readStream reads a stream to the end of the run.
func readStream(s *Stream, err error) error {
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if f, err := s.Next(); err != nil || f.End {
			return err
		}
	}
}

// Guards against responses with a malformed head that are taken for those of a server.
func TestMalformedHeadsAreRefused(t *testing.T) {
	for name, head := range map[string]string{
		"sound":                "HTTP/1.1 200 OK\r\n",
		"status 000":           "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n",
		"blank in a name":      "HTTP/1.1 200 OK\r\nA B: c\r\n",
		"blank before a colon": "HTTP/1.1 200 OK\r\nA : c\r\n",
	} {
		for exchange, tt := range exchanges {
			answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(tt.body), tt.body)
			address, err := (&standin.RawServer{Answer: func(*http.Request) string { return answer }}).Start(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if err := tt.do(NewClient(time.Minute, nil), address); (err == nil) != (name == "sound") {
				t.Errorf("%s, %s: %v", name, exchange, err)
			}
		}
	}
}

// resetConn is a connection that is reset while a request is written: the write gets the error, so that the
// read, which returns before it, gets the end.
type resetConn struct {
	net.Conn
	response      *strings.Reader
	reset, atEnd  chan struct{}
	writeAccepted int
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.writeAccepted -= len(p); c.writeAccepted >= 0 {
		return len(p), nil
	}
	close(c.reset)
	<-c.atEnd
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err == io.EOF {
		<-c.reset
		close(c.atEnd)
	}
	return n, err
}

func (c *resetConn) Close() error { return nil }

// Guards against a part of a response that is taken for the whole, if the server resets the connection while
// the request is written.
func TestResponseCutBesideALongRequestIsIncomplete(t *testing.T) {
	c := NewClient(time.Minute, func(context.Context, string, string) (net.Conn, error) {
		return &resetConn{response: strings.NewReader("HTTP/1.1 200 OK\r\n\r\na part"), writeAccepted: 8 << 10, reset: make(chan struct{}), atEnd: make(chan struct{})}, nil
	})
	if status, data, err := c.Call(context.Background(), "a:1", "r", make([]byte, 1<<20)); err == nil {
		t.Errorf("got %d %q", status, data)
	}
}
