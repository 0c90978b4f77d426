package app

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

const wholeRequest = "GET /v1/endpoints HTTP/1.1\r\nHost: h\r\n\r\n"

// startOn starts a daemon whose drain ends at once.
func startOn(t *testing.T, callers net.Listener, config *settings.TLS) *Node {
	t.Helper()
	s := settings.Defaults()
	s.ID, s.TLS, s.EndpointTTL, s.DrainGrace = "d", config, 0, 0
	n, err := StartWithListeners(s, demo.Secrets, log.New(io.Discard), callers, newPipeListener(), func(deps *daemon.Dependencies) { deps.Log = silentLog{} })
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// encrypt returns a TLS connection after its handshake, or the same connection if there is no configuration.
func encrypt(t *testing.T, c net.Conn, config *settings.TLS) net.Conn {
	t.Helper()
	if config == nil {
		return c
	}
	encrypted := tls.Client(c, &tls.Config{InsecureSkipVerify: true})
	if err := encrypted.Handshake(); err != nil {
		t.Error(err)
	}
	return encrypted
}

// expectAnswer reads the answer to a request that is on its way. It must say whether it is the last one.
func expectAnswer(t *testing.T, name string, c net.Conn, last bool) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s: no answer: %v", name, err)
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close != last {
		t.Errorf("%s: response broke off: %v, closes %t", name, err, resp.Close)
	}
}

func expectEnd(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection without a request: %v", err)
	}
}

func send(t *testing.T, c net.Conn, request string) {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		t.Error(err)
	}
}

// Guards against requests that are read while a daemon stops, on connections without one before, and dropped.
func TestShutdownAnswersFirstRequestOfConnection(t *testing.T) {
	files := newTestCA(t).issueFiles(t, t.TempDir(), 1)
	for name, config := range map[string]*settings.TLS{"plain": nil, "TLS": &files} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				callers := newPipeListener()
				n := startOn(t, callers, config)
				silent, whole, part := callers.dial(), encrypt(t, callers.dial(), config), encrypt(t, callers.dial(), config)
				handshake, kept, idle := callers.dial(), encrypt(t, callers.dial(), config), encrypt(t, callers.dial(), config)
				for _, c := range []net.Conn{kept, idle} {
					send(t, c, wholeRequest)
					expectAnswer(t, "request before", c, false)
				}
				send(t, kept, wholeRequest[:8])
				synctest.Wait()
				var clients sync.WaitGroup // they read all the time: a close with TLS writes
				clients.Go(func() { expectAnswer(t, "request on a kept connection", kept, true) })
				clients.Go(func() { expectEnd(t, idle) })
				stopped := make(chan error)
				go func() { stopped <- n.Shutdown(context.Background()) }()
				time.Sleep(time.Second / 2)
				send(t, part, wholeRequest[:8])
				send(t, whole, wholeRequest)
				expectAnswer(t, "whole request", whole, true)
				send(t, part, wholeRequest[8:])
				expectAnswer(t, "request in parts", part, true)
				send(t, kept, wholeRequest[8:])
				handshake = encrypt(t, handshake, config)
				send(t, handshake, wholeRequest)
				expectAnswer(t, "request after a late handshake", handshake, true)
				if err := <-stopped; err != nil {
					t.Error(err)
				}
				expectEnd(t, silent)
				clients.Wait()
			})
		})
	}
}

// Guards against requests that are dropped with an idle connection because nothing was read from its socket since
// they began: their first bytes came before the response to the request before was complete, or in a TLS record
// that was read before.
func TestShutdownAnswersRequestReadAhead(t *testing.T) {
	const post = "POST /operator/v1/explain HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n"
	begun, rest := wholeRequest[:8], wholeRequest[8:]
	files := newTestCA(t).issueFiles(t, t.TempDir(), 1)
	for name, tt := range map[string]struct {
		tls  *settings.TLS
		sent []string
	}{
		"with the request before":          {nil, []string{wholeRequest + begun}},
		"before the response is read":      {nil, []string{wholeRequest, begun}},
		"with the body before":             {nil, []string{fmt.Sprintf(post, demo.Secrets.OperatorKey), "{}" + begun}},
		"TLS, with the request before":     {&files, []string{wholeRequest + begun}},
		"TLS, before the response is read": {&files, []string{wholeRequest, begun}},
		"TLS, with the body before":        {&files, []string{fmt.Sprintf(post, demo.Secrets.OperatorKey), "{}" + begun}},
		"first, in parts":                  {nil, []string{begun}},
		"TLS, first, in parts":             {&files, []string{begun}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				callers := newPipeListener()
				n := startOn(t, callers, tt.tls)
				client := encrypt(t, callers.dial(), tt.tls)
				var sender sync.WaitGroup
				sender.Go(func() {
					for _, part := range tt.sent {
						send(t, client, part)
					}
				})
				synctest.Wait()
				if tt.sent[0] != begun {
					expectAnswer(t, "request before", client, false)
				}
				sender.Wait()
				synctest.Wait()
				stopped := make(chan error)
				go func() { stopped <- n.Shutdown(context.Background()) }()
				time.Sleep(2 * time.Second)
				send(t, client, rest)
				expectAnswer(t, "request in parts", client, true)
				if err := <-stopped; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against the same over TCP, where requests come at any moment of the shutdown. A request is only sent on a
// connection that the daemon has not closed.
func TestShutdownAnswersRequestsOnOpenSockets(t *testing.T) {
	files := newTestCA(t).issueFiles(t, t.TempDir(), 1)
	for name, config := range map[string]*settings.TLS{"plain": nil, "TLS": &files} {
		t.Run(name, func(t *testing.T) {
			callers, err := listenqueue.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			n := startOn(t, callers, config)
			var sockets, clients []net.Conn
			for range 20 {
				socket, err := net.Dial("tcp4", callers.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer socket.Close()
				sockets, clients = append(sockets, socket), append(clients, encrypt(t, socket, config))
			}
			stopped := make(chan error)
			go func() { stopped <- n.Shutdown(context.Background()) }()
			n.listeners.Wait(t.Context())
			for i, client := range clients {
				time.Sleep(time.Millisecond)
				if closed(t, sockets[i]) {
					continue
				}
				send(t, client, wholeRequest)
				expectAnswer(t, fmt.Sprint("connection ", i), client, true)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// closed reports whether the daemon has closed a connection.
func closed(t *testing.T, socket net.Conn) bool {
	t.Helper()
	readable, err := listenqueue.Readable(socket.(syscall.Conn))
	if err != nil {
		t.Fatal(err)
	}
	return readable
}
