package node

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// Guards against requests that count as possibly run because a daemon of another version does not
// know forwarded calls.
func TestDaemonWithoutForwardingRefusesUnrun(t *testing.T) {
	for name, register := range map[string]func(s *peer.Server){
		"unknown call": func(*peer.Server) {},
		"other message": func(s *peer.Server) {
			peer.HandleStream(s, forwardKind, func(context.Context, string, []string, func(any) error) {})
		},
	} {
		server := peer.NewServer("")
		register(server)
		httpServer := httptest.NewServer(server)
		client := peer.NewClient("d1", "", nil)
		stream, sent, err := streamForwarder{client}.Forward(t.Context(), strings.TrimPrefix(httpServer.URL, "http://"), relay.ForwardedCall{})
		if err != nil || !sent {
			t.Fatal(sent, err)
		}
		frame, err := stream.Receive(t.Context())
		if err != nil || frame.Refusal == nil || frame.Refusal.Decode().ExecutionState() != fault.NotRun {
			t.Errorf("%s: received %+v, %v", name, frame, err)
		}
		stream.Close()
		client.Close()
		httpServer.Close()
	}
}
