package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
)

// verdictsPerServer is the number of other daemons that are asked about a server.
const verdictsPerServer = 2

// verdictKind is the kind of the calls that ask about a server.
const verdictKind = "verdict"

// VerdictTransport asks the daemon at an address about a server.
type VerdictTransport interface {
	RequestVerdict(ctx context.Context, address string, req peer.VerdictRequest) (peer.VerdictResponse, error)
}

// peerVerdicts implements VerdictTransport with peer calls.
type peerVerdicts struct{ client *peer.Client }

// RequestVerdict implements VerdictTransport.
func (p peerVerdicts) RequestVerdict(ctx context.Context, address string, req peer.VerdictRequest) (peer.VerdictResponse, error) {
	return peer.Call[peer.VerdictRequest, peer.VerdictResponse](ctx, p.client, address, verdictKind, req)
}

// HandleVerdict connects to a server on behalf of another daemon.
func (n *Node) HandleVerdict(ctx context.Context, req peer.VerdictRequest) peer.VerdictResponse {
	return peer.VerdictResponse{Verdict: n.Relay.Verdict(ctx, req.Server)}
}

// errConnected ends the wait for further verdicts.
var errConnected = errors.New("another daemon connects to the server")

// Verdicts implements relay.VerdictSource. A daemon that does not respond has no verdict. One that
// connects to the server settles it, so that the others are not waited for.
func (n *Node) Verdicts(ctx context.Context, server string) []reachability.Verdict {
	ctx, settle := context.WithCancelCause(ctx)
	defer settle(nil)
	targets, _, _ := n.members.ForwardTargets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(verdictsPerServer, len(targets))]
	verdicts := make([]reachability.Verdict, len(targets))
	var wg sync.WaitGroup
	for i, address := range targets {
		wg.Go(func() {
			resp, err := n.verdictTransport().RequestVerdict(ctx, address, peer.VerdictRequest{Server: server})
			if err != nil {
				n.log.Info("no verdict on server", "server", server, "daemon", address, "err", err, "cause", context.Cause(ctx))
				return
			}
			if verdicts[i] = resp.Verdict; resp.Verdict == reachability.Connected {
				settle(errConnected)
			}
		})
	}
	wg.Wait()
	return verdicts
}

func (n *Node) verdictTransport() VerdictTransport {
	if n.deps.VerdictTransport != nil {
		return n.deps.VerdictTransport
	}
	return peerVerdicts{n.peerClient}
}
