package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/clientconns"
)

const (
	// minDrainTime is the shortest time for which a leaving daemon keeps serving: clients
	// cache the directory's response for its TTL.
	minDrainTime = 2500 * time.Millisecond
	// minIdleTime is the time without an accepted request after which the daemon may exit
	// before the end of the grace period. Refused requests do not count: their clients fail
	// over faster once the daemon is gone.
	minIdleTime = 600 * time.Millisecond
	// refuseLongAfter is the time after which requests that could outlast the daemon are refused.
	refuseLongAfter = 2700 * time.Millisecond
	// responseMargin is the time between the latest deadline of an accepted request and the
	// end of the drain.
	responseMargin = 100 * time.Millisecond
	// killMargin is the time between the end of the drain and SIGKILL.
	killMargin = 300 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks whether it can end.
	drainPollInterval = 50 * time.Millisecond
)

// Drain keeps serving until no request is active and clients no longer send any, or the grace
// period ends.
func (n *Node) Drain(ctx context.Context) {
	start := time.Now()
	n.leaving.Store(true)
	n.members.Broadcast(ctx)
	limit := n.config.GracePeriod - killMargin
	for {
		time.Sleep(drainPollInterval)
		elapsed := time.Since(start)
		if elapsed >= refuseLongAfter {
			n.Relay.Drain(start.Add(limit - responseMargin))
		}
		idle := n.Relay.IdleTime() > minIdleTime && n.Relay.ActiveRequests() == 0
		if elapsed >= limit || elapsed >= minDrainTime && idle {
			break
		}
	}
	n.Relay.Drain(start) // refuses every further request
	time.Sleep(drainPollInterval)
	if active := n.Relay.ActiveRequests(); active > 0 {
		n.log.Warn("requests cut off at the end of the grace period", "requests", active)
	}
	cut := n.clients.Cut("the daemon ends")
	n.log.Info("drained", "after_ms", time.Since(start).Milliseconds(), "limit_ms", limit.Milliseconds(),
		"idle", cut[clientconns.Idle], "reading", cut[clientconns.Reading], "serving", cut[clientconns.Serving], "flushing", cut[clientconns.Flushing])
	n.peerClient.Close()
}
