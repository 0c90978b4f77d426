package node

import (
	"context"
	"time"
)

// minBroadcastInterval is the least time between two rounds of broadcasting what this daemon has
// learned of requests that end servers.
const minBroadcastInterval = 50 * time.Millisecond

// broadcastHolds broadcasts what was learned of requests that end servers, until the context ends.
func (n *Node) broadcastHolds(ctx context.Context) {
	n.Relay.Guard.Broadcast(ctx, minBroadcastInterval, n.members.Broadcast)
}
