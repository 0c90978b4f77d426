package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

// serverLink is the network between one daemon and the servers.
type serverLink struct {
	mu   sync.Mutex
	cut  bool
	hang bool
	open []net.Conn
}

// set cuts the link, so that open connections are reset and new ones refused, or hang, or restores it.
func (l *serverLink) set(cut, hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.hang = cut, hang
	if !cut {
		return
	}
	for _, c := range l.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	l.open = nil
}

func (l *serverLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	cut, hang := l.cut, l.hang
	l.mu.Unlock()
	if hang {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
	}
	if cut {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err == nil {
		l.mu.Lock()
		l.open = append(l.open, c)
		l.mu.Unlock()
	}
	return c, err
}

// newClusterWithLink starts daemons, the first of which reaches the servers over the link.
func newClusterWithLink(t *testing.T, daemons int) (*demo.Cluster, *serverLink) {
	t.Helper()
	link := &serverLink{}
	started := 0
	cluster, err := demo.NewCluster(daemons, func(s settings.Settings, secrets settings.Secrets) (demo.Node, error) {
		started++
		if started > 1 {
			return startDemoNode(s, secrets)
		}
		return Start(s, secrets, NewLogger(io.Discard, s.ID, s.LogLevel), func(deps *daemon.Dependencies) { deps.DialServer = link.dial })
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster, link
}

// Guards against a daemon that refuses requests because it reaches no server, while others do.
func TestDaemonCutOffFromEnginesServesRequests(t *testing.T) {
	for name, hang := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			cluster, link := newClusterWithLink(t, 3)
			key := demo.APIKey(demo.Goldfields)
			sent := 0
			send := func(path, body string, header http.Header) (bool, string) {
				sent++
				status, _, answer := post(t, cluster.Addresses[0], path, key, header, body)
				return status == http.StatusOK, fmt.Sprint(status, " ", answer)
			}
			requests := map[string]func() (bool, string){
				"chat": func() (bool, string) { return send("/v1/chat/completions", lookupBody, nil) },
				"stream": func() (bool, string) {
					ok, answer := send("/v1/chat/completions", strings.Replace(lookupBody, "{", `{"stream":true,`, 1), nil)
					return ok && strings.Contains(answer, "[DONE]"), answer
				},
				"call": func() (bool, string) {
					return send("/v1/services/confirm", fmt.Sprintf(`{"n":%d}`, sent), http.Header{"Idempotency-Key": {fmt.Sprint("key-", sent)}})
				},
			}
			for kind, request := range requests {
				if ok, answer := request(); !ok {
					t.Fatalf("%s before the cut: %s", kind, answer)
				}
			}
			runs := countServiceRuns(cluster)
			link.set(true, hang)
			for kind, request := range requests {
				waitUntil(t, kind+" is served", func() bool { ok, _ := request(); return ok })
				for range 5 {
					if ok, answer := request(); !ok {
						t.Errorf("%s: %s", kind, answer)
					}
				}
			}
			if held := listHolds(t, cluster, 0); len(held) > 0 {
				t.Errorf("requests are held: %v", held)
			}
			if more := countServiceRuns(cluster) - runs; more < 6 {
				t.Errorf("the service ran %d calls", more)
			}
		})
	}
}
