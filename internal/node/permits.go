package node

import (
	"context"
	"errors"

	"github.com/damaskrudder/damaskrudder/internal/peer"
)

// permitKind is the kind of the calls that ask for a send to a server with a stated rate, and
// unstatedKind that of the reports of responses without one.
const (
	permitKind   = "permit"
	unstatedKind = "unstated"
)

// PermitTransport asks the daemon at an address for a permit.
type PermitTransport interface {
	RequestPermit(ctx context.Context, address string, req peer.PermitRequest) (peer.PermitResponse, error)
	ReportUnstated(ctx context.Context, address string, report peer.UnstatedLimit) error
}

// peerPermits implements PermitTransport with peer calls.
type peerPermits struct{ client *peer.Client }

// RequestPermit implements PermitTransport.
func (p peerPermits) RequestPermit(ctx context.Context, address string, req peer.PermitRequest) (peer.PermitResponse, error) {
	return peer.Call[peer.PermitRequest, peer.PermitResponse](ctx, p.client, address, permitKind, req)
}

// ReportUnstated implements PermitTransport.
func (p peerPermits) ReportUnstated(ctx context.Context, address string, report peer.UnstatedLimit) error {
	_, err := peer.Call[peer.UnstatedLimit, peer.Empty](ctx, p.client, address, unstatedKind, report)
	return err
}

var errSenderUnknown = errors.New("the sender is not live any more")

// RequestPermit implements relay.PermitSource.
func (n *Node) RequestPermit(ctx context.Context, daemon uint64, req peer.PermitRequest) (peer.PermitResponse, error) {
	address, found := n.members.AddressOf(daemon)
	if !found {
		return peer.PermitResponse{}, errSenderUnknown
	}
	return n.permitTransport().RequestPermit(ctx, address, req)
}

// ReportUnstated implements relay.PermitSource.
func (n *Node) ReportUnstated(ctx context.Context, daemon uint64, report peer.UnstatedLimit) error {
	address, found := n.members.AddressOf(daemon)
	if !found {
		return errSenderUnknown
	}
	return n.permitTransport().ReportUnstated(ctx, address, report)
}

func (n *Node) permitTransport() PermitTransport {
	if n.deps.PermitTransport != nil {
		return n.deps.PermitTransport
	}
	return peerPermits{n.peerClient}
}

// registerPermits registers the handlers of the calls about permits.
func (n *Node) registerPermits(s *peer.Server) {
	peer.Handle(s, permitKind, func(_ context.Context, _ string, req peer.PermitRequest) (peer.PermitResponse, error) {
		return n.Relay.GivePermit(req), nil
	})
	peer.Handle(s, unstatedKind, func(_ context.Context, _ string, report peer.UnstatedLimit) (peer.Empty, error) {
		n.Relay.ObserveUnstated(report)
		return peer.Empty{}, nil
	})
}
