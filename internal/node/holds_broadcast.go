package node

import (
	"context"
	"time"
)

// minBroadcastInterval is the shortest interval between two broadcasts of quarantine updates.
const minBroadcastInterval = 50 * time.Millisecond

// broadcastHolds broadcasts quarantine updates until the context ends.
func (n *Node) broadcastHolds(ctx context.Context) {
	n.Relay.Guard.Broadcast(ctx, minBroadcastInterval, n.members.Broadcast)
}
