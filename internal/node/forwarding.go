package node

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// CallForwarder forwards a call to the daemon at an address. If sent is false, that daemon has not
// received it.
type CallForwarder interface {
	Forward(ctx context.Context, address string, call relay.ForwardedCall) (stream relay.ForwardStream, sent bool, err error)
}

// forwardKind is the kind of the streams of forwarded calls.
const forwardKind = "forward"

// targetsLifetime is how long the list of daemons to forward to is reused.
const targetsLifetime = gossip.Interval

// forwarder implements relay.Forwarder. It keeps the list of targets for targetsLifetime, as its
// computation takes time in proportion to the number of daemons.
type forwarder struct {
	CallForwarder
	members *gossip.Members
	log     *log.Logger

	mu                sync.Mutex
	targets, doubtful []string
	listedAt          time.Time
	// excluded are the daemons that are no targets, when it was last logged.
	excluded gossip.ForwardExclusions
}

func (n *Node) newForwarder() *forwarder {
	f := &forwarder{CallForwarder: streamForwarder{n.peerClient}, members: n.members, log: n.log}
	if n.deps.CallForwarder != nil {
		f.CallForwarder = n.deps.CallForwarder
	}
	return f
}

// Targets implements relay.Forwarder.
func (f *forwarder) Targets() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list()
	return f.targets
}

// DoubtfulTargets implements relay.Forwarder.
func (f *forwarder) DoubtfulTargets() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list()
	return f.doubtful
}

// list lists the targets, unless that was done lately, and logs a change of what the others are
// excluded for. Callers hold mu.
func (f *forwarder) list() {
	now := time.Now()
	if now.Sub(f.listedAt) < targetsLifetime {
		return
	}
	targets, doubtful, excluded := f.members.ForwardTargets()
	f.targets, f.doubtful, f.listedAt = targets, doubtful, now
	if excluded == f.excluded {
		return
	}
	f.excluded = excluded
	f.log.Info("daemons to forward to", "daemons", len(targets), "doubtful", len(doubtful), "unknown", excluded.Unknown, "silent", excluded.Silent, "leaving", excluded.Leaving,
		"not_ready", excluded.NotReady, "call_failed", excluded.CallFailed, "out_of_reach", excluded.OutOfReach)
}

// streamForwarder forwards calls over peer streams.
type streamForwarder struct{ client *peer.Client }

// Forward implements CallForwarder.
func (f streamForwarder) Forward(ctx context.Context, address string, call relay.ForwardedCall) (relay.ForwardStream, bool, error) {
	stream, sent, err := f.client.OpenStream(ctx, address, forwardKind, call)
	if err != nil {
		return nil, sent, err
	}
	return peerStream{stream}, true, nil
}

// peerStream implements relay.ForwardStream.
type peerStream struct{ *peer.Stream }

// Receive implements relay.ForwardStream.
func (s peerStream) Receive(ctx context.Context) (frame relay.ForwardFrame, err error) {
	more, err := s.Stream.Receive(ctx, &frame)
	switch {
	case errors.Is(err, peer.ErrRefused):
		// The daemon has not handled the call; it may be of a version that cannot.
		return relay.ForwardFrame{Refusal: fault.New(fault.HelperUnable, "%v", err).Encode()}, nil
	case err == nil && !more:
		return frame, io.EOF
	}
	return frame, err
}

// registerForwarding registers the handler of forwarded calls.
func (n *Node) registerForwarding(s *peer.Server) {
	n.registerPermits(s)
	peer.Handle(s, verdictKind, func(ctx context.Context, _ string, req peer.VerdictRequest) (peer.VerdictResponse, error) {
		return n.HandleVerdict(ctx, req), nil
	})
	peer.HandleStream(s, forwardKind, func(ctx context.Context, from string, call relay.ForwardedCall, send func(any) error) {
		n.Relay.ServeForwarded(ctx, from, call, func(f relay.ForwardFrame) error { return send(f) })
	})
}
