package node

import (
	"context"
	"time"
)

// tellPause is the least time between two rounds in which this daemon calls others to tell what
// it has learned of requests that end servers.
const tellPause = 50 * time.Millisecond

// tellOn tells others what was learned of requests that end servers, until the context ends.
func (n *Node) tellOn(ctx context.Context) { n.Relay.Guard.TellOn(ctx, tellPause, n.members.Tell) }
