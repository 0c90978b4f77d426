package node

import (
	"context"
	"time"
)

const (
	// minBroadcastInterval is the shortest interval between two broadcasts of quarantine updates.
	minBroadcastInterval = 50 * time.Millisecond
	// minLimitBroadcastInterval is that of servers' limits, which change at many servers at a
	// time when a service is overloaded.
	minLimitBroadcastInterval = 200 * time.Millisecond
)

// broadcastHolds broadcasts quarantine updates until the context ends.
func (n *Node) broadcastHolds(ctx context.Context) {
	n.Relay.Guard.Broadcast(ctx, minBroadcastInterval, n.members.Broadcast)
}

// broadcastLimits broadcasts urgent reports of servers' limits until the context ends.
func (n *Node) broadcastLimits(ctx context.Context) {
	n.Relay.BroadcastLimits(ctx, minLimitBroadcastInterval, n.members.Broadcast)
}
