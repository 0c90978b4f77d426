package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
)

// speedRefreshInterval is the interval at which the speed classes of engines are updated.
const speedRefreshInterval = time.Second

// refreshEngineSpeeds keeps the speed classes of engines up to date until the context ends.
func (n *Node) refreshEngineSpeeds(ctx context.Context) {
	loop.Every(ctx, speedRefreshInterval, func(context.Context, time.Time) {
		n.Relay.RefreshEngineSpeeds(n.members.EngineSpeedPeers())
	})
}
