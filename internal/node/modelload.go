package node

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/gossip"
)

// invalidReportLogInterval is the least time between two log lines on invalid reports of load.
const invalidReportLogInterval = 10 * time.Second

// applyModelLoad applies another daemon's load by model.
func (n *Node) applyModelLoad(message gossip.Message) {
	n.state.SetPartnersOnly(n.members.InOverlay())
	if message.ModelLoad == nil || n.state.ApplyModelLoad(message.Name, message.ModelLoad) {
		return
	}
	n.deps.Metrics.LoadReportsDropped.Inc(1)
	now := n.deps.BootTime()
	last := n.invalidReportLoggedAt.Load()
	if now.Nanoseconds()-last >= invalidReportLogInterval.Nanoseconds() && n.invalidReportLoggedAt.CompareAndSwap(last, now.Nanoseconds()) {
		n.log.Warn("invalid report of load dropped", "daemon", message.Name, "models", len(message.ModelLoad))
	}
}
