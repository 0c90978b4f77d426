package node

import (
	"context"
	"time"
)

const (
	// minDrainTime is how long a leaving daemon serves on at least: callers keep the
	// directory's answer for its time-to-live and a little longer.
	minDrainTime = 2500 * time.Millisecond
	// minIdleTime is the time without a request that it took after which it may end
	// sooner than the grace period. What it only refuses finds another daemon
	// sooner when it is gone.
	minIdleTime = 600 * time.Millisecond
	// refuseLongAfter is when it begins to refuse requests that could outlast it.
	refuseLongAfter = 2700 * time.Millisecond
	// responseMargin is kept between the last answer and the end.
	responseMargin = 100 * time.Millisecond
	// killMargin is kept between the end and the SIGKILL.
	killMargin = 300 * time.Millisecond
	// drainPollInterval is how often the end is looked for.
	drainPollInterval = 50 * time.Millisecond
)

// Drain serves on until callers have gone elsewhere and nothing runs.
func (n *Node) Drain(ctx context.Context) {
	began := time.Now()
	n.leaving.Store(true)
	n.members.Broadcast(ctx)
	last := n.config.GracePeriod - killMargin
	for {
		time.Sleep(drainPollInterval)
		since := time.Since(began)
		if since >= refuseLongAfter {
			n.Relay.Drain(began.Add(last - responseMargin))
		}
		quiet := n.Relay.IdleTime() > minIdleTime && n.Relay.ActiveRequests() == 0
		if since >= last || since >= minDrainTime && quiet {
			break
		}
	}
	n.Relay.Drain(began) // refuses all that still comes
	time.Sleep(drainPollInterval)
	if active := n.Relay.ActiveRequests(); active > 0 {
		n.log.Warn("cut at the end of the grace period", "requests", active)
	}
	n.peerClient.Close()
}
