package engine

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessBytes is the number of bytes that stands for no end.
const endlessBytes = 8 << 20

// endlessClient returns a client whose servers respond with a prefix and then a pattern without end,
// and the number of bytes that were taken of that.
func endlessClient(prefix, pattern string) (*Client, *atomic.Int64) {
	var taken atomic.Int64
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }() // the client has closed it
			_, err := http.ReadRequest(bufio.NewReader(server))
			for p := []byte(prefix); err == nil && taken.Load() < endlessBytes; p = []byte(strings.Repeat(pattern, 4096/len(pattern))) {
				var n int
				n, err = server.Write(p)
				taken.Add(int64(n))
			}
		}()
		return client, nil
	}
	return NewClient(time.Minute, dial), &taken
}

// Guards against responses of servers without end, and against one of which a part is taken for the
// whole.
func TestResponseWithoutEndIsBounded(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	load := func(c *Client) error { _, err := c.Load(context.Background(), "a"); return err }
	call := func(c *Client) error { _, _, err := c.Call(context.Background(), "a", "r", nil); return err }
	stream := func(c *Client) error {
		s, err := c.Start(context.Background(), "a", Run{})
		if err != nil {
			return err
		}
		defer s.Close()
		for err == nil {
			_, err = s.Next()
		}
		return err
	}
	for name, tt := range map[string]struct {
		prefix, pattern string
		read            func(*Client) error
		limit           int64
	}{
		"status line":       {"HTTP/1.1 200 ", "a", call, 128 << 10},
		"field":             {head + "A: ", "a", stream, 128 << 10},
		"fields":            {head, "A: b\r\n", load, 128 << 10},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", call, 128 << 10},
		"body of call":      {head + "\r\n", "a", call, 2 << 20},
		"chunks of call":    {chunked, "1\r\na\r\n", call, 7 << 20},
		"body of report":    {head + "\r\n", "a", load, 2 << 20},
		"line of stream":    {head + "\r\n", "a", stream, 2 << 20},
		"event of stream":   {head + "\r\n", "data: " + strings.Repeat("a", 1000) + "\n", stream, 2 << 20},
		"events of stream":  {head + "\r\n", "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("a", 1000) + "\"}}]}\n\n", stream, 6 << 20},
		"body of error":     {"HTTP/1.1 500 No\r\n\r\n", "a", stream, 128 << 10},
	} {
		c, taken := endlessClient(tt.prefix, tt.pattern)
		if err := tt.read(c); err == nil || taken.Load() > tt.limit {
			t.Errorf("%s: got %v after %d bytes", name, err, taken.Load())
		}
	}
}
