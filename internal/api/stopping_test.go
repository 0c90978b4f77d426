package api

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// Guards against a daemon that has stopped and waits for the bodies of requests that it will refuse,
// or refuses them on connections that it then closes unannounced.
func TestStoppedDaemonRefusesBeforeBody(t *testing.T) {
	logger := log.New(io.Discard)
	d := daemon.New(settings.Settings{ID: "d"}, settings.Secrets{}, daemon.Dependencies{Metrics: tally.NoopScope, Logger: logger})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.Drain(ctx)
	server := httptest.NewServer(New(d, logger, http.NotFoundHandler()))
	defer server.Close()
	for _, path := range []string{"/v1/chat/completions", "/v1/services/s", "/v1/keys"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\n", path); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || !strings.Contains(string(body), string(fault.ShuttingDown)) || resp.Header.Get(HeaderExecutionState) != string(fault.NotRun) || !resp.Close {
			t.Errorf("%s: %q, closes %t, %v", path, body, resp.Close, err)
		}
		_ = conn.Close()
	}
}
