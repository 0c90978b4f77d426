package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// freezingProxy passes connections on to an address until freeze is called, and then drops all bytes.
func freezingProxy(t *testing.T, address string) (proxy string, freeze func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	frozen := make(chan struct{})
	pass := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			select {
			case <-frozen:
				n = 0
			default:
			}
			if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go pass(server, client)
			go pass(client, server)
		}
	}()
	return l.Addr().String(), sync.OnceFunc(func() { close(frozen) })
}

// Guards against requests that wait without end for a daemon whose connection has fallen silent, and
// against giving up a daemon that takes its time.
func TestForwardedRequestLeavesSilentConnection(t *testing.T) {
	for name, freezes := range map[string]bool{"silent": true, "slow": false} {
		t.Run(name, func(t *testing.T) {
			var freeze func()
			helper := peer.NewServer("key")
			peer.HandleStream(helper, stepKind, func(ctx context.Context, _ string, _ peer.ForwardedStep, send func(any) error) {
				if freezes {
					freeze()
					<-ctx.Done()
					return
				}
				time.Sleep(100 * time.Millisecond) // several probes
				_ = send(peer.ForwardResponse{Text: "a", Result: &peer.StepResult{Version: "v1"}})
			})
			server := httptest.NewServer(helper)
			defer server.Close()
			defer helper.Close()
			var proxy string
			proxy, freeze = freezingProxy(t, server.Listener.Addr().String())
			d := New(settings.Settings{ID: "d"}, settings.Secrets{PeerKey: "key"}, Dependencies{Metrics: tally.NoopScope, Logger: log.New(io.Discard)})
			defer d.peers.Close()
			d.helperProbe = probeTimes{interval: 5 * time.Millisecond, timeout: 5 * time.Second}
			if freezes {
				d.helperProbe.timeout = 100 * time.Millisecond
			}
			deadline := time.Now().Add(time.Minute)
			s := &step{requestID: "r", model: "m", body: map[string]json.RawMessage{}, deadline: deadline, retryState: &request.RetryState{Deadline: deadline}}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			res := &stepResult{}
			done, err := d.forwardStep(ctx, s, res, proxy)
			if !done || freezes != fault.Is(err, fault.EngineFailed) || !freezes && (err != nil || res.text.String() != "a") {
				t.Errorf("done %t, %q, %v", done, res.text.String(), err)
			}
		})
	}
}
