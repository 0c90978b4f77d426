package api

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// oneConnListener accepts one connection.
type oneConnListener struct{ conns chan net.Conn }

func (l oneConnListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l oneConnListener) Close() error   { return nil }
func (l oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a stalled body that holds its request, and the end of a drain, without end, and
// against a limit on bodies that ends requests whose body has come.
func TestStalledBodyIsAnswered(t *testing.T) {
	for name, tt := range map[string]struct {
		body          string
		status, later int
	}{
		"stalled": {"{", http.StatusRequestTimeout, 0},
		"whole":   {"{}", http.StatusNoContent, http.StatusNoContent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &API{logger: log.New(io.Discard)}
				a.daemon = daemon.New(settings.Settings{ID: "d", MaxBodyBytes: 100}, settings.Secrets{}, daemon.Dependencies{Metrics: tally.NoopScope, Logger: a.logger})
				e := echo.New()
				e.HTTPErrorHandler = a.handleError
				e.POST("/", func(c echo.Context) error {
					if _, err := a.readBody(c); err != nil {
						return err
					}
					time.Sleep(2 * bodyTimeout)
					if err := c.Request().Context().Err(); err != nil {
						return err
					}
					return c.NoContent(http.StatusNoContent)
				}, a.assignRequestID)
				client, conn := net.Pipe()
				l := oneConnListener{make(chan net.Conn, 1)}
				l.conns <- conn
				close(l.conns)
				server := &http.Server{Handler: e}
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
				responses := bufio.NewReader(client)
				send := func(body string) (status int, state string) {
					_ = client.SetDeadline(time.Now().Add(time.Hour))
					if _, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n%s", body); err != nil {
						return 0, ""
					}
					resp, err := http.ReadResponse(responses, nil)
					if err != nil {
						return 0, ""
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					return resp.StatusCode, resp.Header.Get(HeaderExecutionState)
				}
				status, state := send(tt.body)
				if status != tt.status || status == http.StatusRequestTimeout && state != string(fault.NotRun) {
					t.Errorf("status %d, %q", status, state)
				}
				if later, _ := send("{}"); later != tt.later {
					t.Errorf("status %d of the next request", later)
				}
			})
		})
	}
}
