package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/damaskrudder/damaskrudder/internal/peer"
)

// Guards against drains that end on a look which a request has passed: one that is being read, one
// whose answer is not written, one admitted between the look and the refusal of further ones.
func TestDrainEndsOnlyAfterLastRequest(t *testing.T) {
	const limit = 7700 * time.Millisecond
	for _, c := range []struct {
		name string
		view drainView
		want drainStep
	}{
		{"too early", drainView{elapsed: minDrainTime - 1, sinceAdmission: time.Hour}, keepServing},
		{"clients still send", drainView{elapsed: minDrainTime, sinceAdmission: minIdleTime}, keepServing},
		{"a request is served", drainView{elapsed: minDrainTime, sinceAdmission: time.Hour, serving: 1}, keepServing},
		{"clients send for long", drainView{elapsed: refuseLongAfter, sinceAdmission: minIdleTime}, refuseLong},
		{"a request is read", drainView{elapsed: minDrainTime, sinceAdmission: time.Hour, pending: 1}, refuseAll},
		{"a connection may come", drainView{elapsed: minDrainTime, listeners: 1, refusing: true}, finishPending},
		{"no connection comes", drainView{elapsed: minDrainTime, idle: 1, pending: 1, refusing: true}, closeIdle},
		{"connections come for long", drainView{elapsed: limit - responseMargin, listeners: 1, refusing: true}, closeIdle},
		{"read at refusal", drainView{elapsed: minDrainTime, pending: 1, refusing: true, closingIdle: true}, finishPending},
		{"admitted before refusal", drainView{elapsed: minDrainTime, serving: 1, refusing: true, closingIdle: true}, finishPending},
		{"an idle connection is not closed", drainView{elapsed: minDrainTime, idle: 1, refusing: true, closingIdle: true}, finishPending},
		{"nothing left", drainView{elapsed: minDrainTime, refusing: true, closingIdle: true}, endDrain},
		{"listeners have some time", drainView{elapsed: limit - refuseMargin, serving: 1, pending: 1}, refuseAll},
		{"answers have some time", drainView{elapsed: limit - responseMargin, serving: 1, pending: 1}, refuseAll},
		{"a request is read for long", drainView{elapsed: limit - responseMargin, pending: 1, refusing: true, closingIdle: true}, stopReading},
		{"the daemon would be killed", drainView{elapsed: limit, serving: 1, pending: 1, refusing: true}, endDrain},
	} {
		c.view.limit = limit
		if got := c.view.next(); got != c.want {
			t.Errorf("%s: step %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against drains that end while a request of another daemon is being served.
func TestDrainWaitsForForwardedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := newTestNode(t)
		n.config.GracePeriod = time.Hour
		release := make(chan struct{})
		peer.HandleStream(n.PeerServer(), "held", func(context.Context, string, struct{}, func(any) error) { <-release })
		client, accepted := net.Pipe()
		server := &http.Server{Handler: n.PeerServer()}
		go func() { _ = server.Serve(&singleListener{conn: accepted}) }() // ends at once; the connection goes on
		stream, _, err := websocket.Dial(t.Context(), "ws://d0/peer", &websocket.DialOptions{
			HTTPClient: &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return client, nil }}},
			HTTPHeader: http.Header{"Authorization": {"d1 0 unsigned"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.CloseNow() }()
		request, err := cbor.Marshal(map[int]any{2: "held", 4: struct{}{}})
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Write(t.Context(), websocket.MessageBinary, request); err != nil {
			t.Fatal(err)
		}
		drained := make(chan struct{})
		go func() {
			n.Drain(t.Context())
			close(drained)
		}()
		time.Sleep(time.Minute)
		select {
		case <-drained:
			t.Error("drained while the request was served")
		default:
		}
		close(release)
		if _, _, err := stream.Read(t.Context()); err != nil {
			t.Errorf("last message of the stream: %v", err)
		}
		<-drained
	})
}

// singleListener accepts one connection.
type singleListener struct{ conn net.Conn }

func (l *singleListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

func (*singleListener) Close() error   { return nil }
func (*singleListener) Addr() net.Addr { return &net.TCPAddr{} }
