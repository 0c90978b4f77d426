package node

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Status is a daemon's view of its fleet.
type Status struct {
	// Daemons is the number of live daemons, including this one, and Partners the number of
	// those with which it exchanges messages.
	Daemons, Partners int
	// Servers is the number of known backend servers.
	Servers       int
	ConfigVersion int64
	// Reader, Evaluator and Leader are the duties that this daemon performs for others.
	Reader, Evaluator, Leader bool
	// ConfigAge and ServersAge are the times since the configuration and the entries of
	// servers were last confirmed to be current; negative if they never were.
	ConfigAge, ServersAge time.Duration
}

// Status returns the daemon's view of its fleet.
func (n *Node) Status() Status {
	return Status{
		Daemons: n.liveDaemons(), Partners: n.members.PartnerCount(), Servers: n.state.ServerCount(), ConfigVersion: n.configVersion(),
		Reader: n.isReader(), Evaluator: n.isEvaluator(), Leader: n.rank() == 0,
		ConfigAge: n.confirmationAge(freshness.Configuration), ServersAge: n.confirmationAge(freshness.Servers),
	}
}

func (n *Node) confirmationAge(subject freshness.Subject) time.Duration {
	if age, known := n.state.ConfirmationAge(subject); known {
		return age
	}
	return -1
}

// ServerUsable reports whether the server with an ID may get requests.
func (n *Node) ServerUsable(id string) bool { return n.state.ServerUsable(id) }

// OutOfReach reports whether this daemon reaches no server of some service.
func (n *Node) OutOfReach() bool { return n.state.OutOfReach() }

// reportStatus updates the gauges of the daemon's view.
func (n *Node) reportStatus() {
	n.deps.Metrics.DaemonsLive.Update(float64(n.liveDaemons()))
	n.deps.Metrics.GossipPartners.Update(float64(n.members.PartnerCount()))
	n.deps.Metrics.ServersKnown.Update(float64(n.state.ServerCount()))
}
