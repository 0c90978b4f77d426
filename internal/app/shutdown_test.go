package app

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/listenqueue/queuetest"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// pipeListener accepts in-memory connections. It implements net.Listener.
type pipeListener struct {
	connections chan net.Conn
	closed      context.Context
	close       context.CancelFunc
}

func newPipeListener() pipeListener {
	ctx, cancel := context.WithCancel(context.Background())
	return pipeListener{make(chan net.Conn), ctx, cancel}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error { l.close(); return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.connections <- server
	return client
}

// silentLog is a log service that never answers. It implements platform.Log.
type silentLog struct{ platform.Log }

func (silentLog) Read(ctx context.Context, _ string, _ uint64, _ int, _ time.Duration) (platform.Batch, error) {
	<-ctx.Done()
	return platform.Batch{}, ctx.Err()
}

// Guards against a daemon that ends while a request is being read, or while its response is being
// written, so that the caller gets no answer and no line is logged.
func TestShutdownEndsAfterRequestsOnConnections(t *testing.T) {
	const grace, late = time.Minute, 20 * time.Second
	const head = "POST /operator/v1/explain HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n"
	for name, tt := range map[string]struct {
		body, read time.Duration
		answered   bool
	}{
		"body comes late":        {late, 0, true},
		"response is read late":  {0, late, true},
		"body comes after grace": {2 * grace, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				callers, peers, lines := newPipeListener(), newPipeListener(), &bytes.Buffer{}
				s := settings.Defaults()
				s.ID, s.DrainTimeout = "d", settings.Duration(grace)
				n, err := StartWithListeners(s, demo.Secrets, log.New(lines), callers, peers, func(deps *daemon.Dependencies) { deps.Log = silentLog{} })
				if err != nil {
					t.Fatal(err)
				}
				client := callers.dial()
				if _, err := fmt.Fprintf(client, head, demo.Secrets.OperatorKey); err != nil {
					t.Fatal(err)
				}
				stopped := make(chan error)
				start := time.Now()
				go func() { stopped <- n.Shutdown(context.Background()) }()
				time.Sleep(time.Duration(s.EndpointTTL+s.DrainGrace) + tt.body)
				_, err = io.WriteString(client, "{}")
				time.Sleep(tt.read)
				resp, readErr := http.ReadResponse(bufio.NewReader(client), nil)
				if answered := err == nil && readErr == nil; answered != tt.answered {
					t.Errorf("answered %t: %v", answered, errors.Join(err, readErr))
				}
				if readErr == nil {
					if _, err := io.Copy(io.Discard, resp.Body); err != nil || !resp.Close {
						t.Errorf("response broke off: %v, closes %t", err, resp.Close)
					}
				}
				<-stopped
				if limit := time.Duration(s.EndpointTTL+s.DrainGrace) + grace; tt.answered && time.Since(start) >= limit {
					t.Errorf("stopped after %s", time.Since(start))
				}
				if logged := strings.Contains(lines.String(), "connection closed with a request on it"); logged == tt.answered {
					t.Errorf("lines:\n%s", lines)
				}
			})
		})
	}
}

// Guards against a listener that closes and resets the whole requests on connections in its queue.
func TestShutdownAnswersRequestsInQueue(t *testing.T) {
	files := newTestCA(t).issueFiles(t, t.TempDir(), 1)
	for name, config := range map[string]*settings.TLS{"plain": nil, "TLS": &files} {
		t.Run(name, func(t *testing.T) {
			callers := queuetest.Listen(t)
			s := settings.Defaults()
			s.ID, s.TLS, s.EndpointTTL, s.DrainGrace = "d", config, 0, 0
			n, err := StartWithListeners(s, demo.Secrets, log.New(io.Discard), callers, newPipeListener(), func(deps *daemon.Dependencies) { deps.Log = silentLog{} })
			if err != nil {
				t.Fatal(err)
			}
			var requests sync.WaitGroup
			for range 8 {
				client := callers.Dial(t)
				if config != nil {
					client = tls.Client(client, &tls.Config{InsecureSkipVerify: true})
				}
				requests.Go(func() {
					if _, err := io.WriteString(client, "GET /v1/endpoints HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						t.Error(err)
						return
					}
					if resp, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || !resp.Close {
						t.Errorf("no answer that closes the connection: %v", err)
					}
				})
			}
			if err := n.Shutdown(t.Context()); err != nil {
				t.Error(err)
			}
			requests.Wait()
		})
	}
}
