package node

import (
	"context"
	"time"
)

const (
	// leaveFor is how long a leaving daemon serves on at least: callers keep the
	// directory's answer for its time-to-live and a little longer.
	leaveFor = 2500 * time.Millisecond
	// quietFor is the time without a request that it took after which it may end
	// sooner than the grace period. What it only refuses finds another daemon
	// sooner when it is gone.
	quietFor = 600 * time.Millisecond
	// shortOnlyAfter is when it begins to refuse requests that could outlast it.
	shortOnlyAfter = 2700 * time.Millisecond
	// answerMargin is kept between the last answer and the end.
	answerMargin = 100 * time.Millisecond
	// endMargin is kept between the end and the SIGKILL.
	endMargin = 300 * time.Millisecond
	// drainStep is how often the end is looked for.
	drainStep = 50 * time.Millisecond
)

// Drain serves on until callers have gone elsewhere and nothing runs.
func (n *Node) Drain(ctx context.Context) {
	began := time.Now()
	n.leaving.Store(true)
	n.members.Broadcast(ctx)
	last := n.config.GracePeriod - endMargin
	for {
		time.Sleep(drainStep)
		since := time.Since(began)
		if since >= shortOnlyAfter {
			n.Relay.Drain(began.Add(last - answerMargin))
		}
		quiet := n.Relay.IdleTime() > quietFor && n.Relay.ActiveRequests() == 0
		if since >= last || since >= leaveFor && quiet {
			break
		}
	}
	n.Relay.Drain(began) // refuses all that still comes
	time.Sleep(drainStep)
	if active := n.Relay.ActiveRequests(); active > 0 {
		n.log.Warn("cut at the end of the grace period", "requests", active)
	}
	n.links.Close()
}
