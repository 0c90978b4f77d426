package ctl

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Guards against responses of a daemon with a malformed head, which are shown as its state.
func TestMalformedHeadOfADaemonIsRefused(t *testing.T) {
	for name, fields := range map[string]string{"sound": "A: b", "blank in a name": "A B: c", "blank before a colon": "A : b"} {
		answer := "HTTP/1.1 200 OK\r\n" + fields + "\r\nContent-Length: 2\r\n\r\n{}"
		address, err := (&standin.RawServer{Answer: func(*http.Request) string { return answer }}).Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		c, err := newClient(address, "k", "")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.config(t.Context()); (err == nil) != (name == "sound") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a response without end, of which all is kept until memory ends.
func TestLongResponseOfADaemonIsRefused(t *testing.T) {
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}") // a failure shows below
		for space := bytes.Repeat([]byte(" "), 1<<20); sent <= 2*maxResponseBytes; sent += len(space) {
			if _, err := w.Write(space); err != nil {
				return // the client has closed the connection
			}
		}
	}))
	c, err := newClient(server.URL, "k", "")
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.config(t.Context())
	server.Close() // waits for the handler
	if !errors.Is(err, errResponseTooLong) || sent > 2*maxResponseBytes {
		t.Errorf("%d bytes sent: %v", sent, err)
	}
}
