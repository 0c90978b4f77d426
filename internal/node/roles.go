package node

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/gossip"
)

// A daemon's roles follow from its rank among the live daemons. Intervals and the number of
// readers scale with the number of daemons.

const (
	// minOwnCheckInterval is the shortest interval at which a daemon checks the store itself,
	// and ownCheckIntervalPerDaemon lengthens it per live daemon, which bounds the total
	// rate. A daemon is not ready once its check is overdue by ownCheckGrace.
	minOwnCheckInterval       = 1800 * time.Millisecond
	ownCheckIntervalPerDaemon = 300 * time.Millisecond
	ownCheckGrace             = 1000 * time.Millisecond
	// settleTime is how long a starting daemon waits after its first contact with a peer
	// before it may act as a reader: its rank is wrong until it has discovered its peers.
	// noPeersTimeout is the time after which a daemon without contact acts alone.
	settleTime     = time.Second
	noPeersTimeout = 1500 * time.Millisecond
	// minStandbyBackoff and standbyBackoffPerDaemon set the longest retry backoff of daemons
	// that are not readers, which bounds their total call rate during an outage.
	minStandbyBackoff       = 3 * time.Second
	standbyBackoffPerDaemon = 50 * time.Millisecond
	// maxBootstrapPeers is how many daemons register their address in the store. A daemon
	// that reaches none of its seeds discovers all others through any of them; an entry of
	// each daemon would cost two calls of the store at each of its starts.
	maxBootstrapPeers = 16
	// maxStartTime is the time after which a daemon without the state it needs holds no roles.
	maxStartTime = 5 * time.Second
	// rankStableAfter is the time after the first contact from which the rank is reliable.
	rankStableAfter = 3 * time.Second
)

// The number of readers, which wait on the store for all daemons. Small deployments have more,
// so that a partial outage rarely cuts off all of them; large ones have few, since each change
// is sent to every reader.
const (
	maxReaders       = 9
	daemonsPerReader = 2
	minReaders       = 4
)

// readersFor returns the number of readers in a deployment of some daemons.
func readersFor(daemons int) int { return max(minReaders, maxReaders-daemons/daemonsPerReader) }

// ownCheckIntervalFor returns the interval of each daemon's own store checks.
func ownCheckIntervalFor(daemons int) time.Duration {
	return max(minOwnCheckInterval, time.Duration(daemons)*ownCheckIntervalPerDaemon)
}

const (
	// minLag is the lag after which the first daemon by rank reads the store itself. Each further
	// one waits lagDelayPerRank longer, to receive what those before it have read, up to
	// maxLagFraction of the shortest limit.
	minLag          = 250 * time.Millisecond
	lagDelayPerRank = 25 * time.Millisecond
	maxLagFraction  = 0.6
)

// maxLag returns how long this daemon may be behind others without progress before it reads the
// store itself. The rate of such reads is bounded by the number of daemons over the time allowed.
func (n *Node) maxLag() time.Duration {
	limit := min(n.config.ConfigPropagationLimit, n.config.ServerDrainLimit)
	spread := time.Duration(maxLagFraction*float64(limit)) - minLag
	perRank := min(lagDelayPerRank, spread/time.Duration(n.liveDaemons()))
	return minLag + time.Duration(n.rank())*max(perRank, 0)
}

// maxStandbyBackoff returns the longest retry backoff of a daemon that is not a reader.
func (n *Node) maxStandbyBackoff() time.Duration { return n.scaledBackoff(minStandbyBackoff) }

// checkRetryDelay returns the delay after a failed store check.
func (n *Node) checkRetryDelay() time.Duration {
	if n.isReader() {
		return minCheckRetryDelay
	}
	return n.scaledBackoff(minCheckRetryDelay)
}

// scaledBackoff returns a backoff of at least floor that grows with the number of daemons.
func (n *Node) scaledBackoff(floor time.Duration) time.Duration {
	return max(floor, time.Duration(n.liveDaemons())*standbyBackoffPerDaemon)
}

// liveDaemons returns the number of live daemons, including this one.
func (n *Node) liveDaemons() int { return n.members.LiveCount() + 1 }

// membershipSettled reports whether this daemon has known its peers for settleTime, or has none.
func (n *Node) membershipSettled() bool { return n.inContactFor(settleTime) }

// inContactFor reports whether the first contact with a peer was at least d ago, or no peer
// was found within noPeersTimeout.
func (n *Node) inContactFor(d time.Duration) bool {
	age, known := n.members.SinceFirstContact()
	if !known {
		return n.deps.BootTime()-n.startedAt >= noPeersTimeout
	}
	return age >= d
}

// isReader reports whether this daemon waits on the store for all daemons.
func (n *Node) isReader() bool {
	return n.membershipSettled() && n.rank() < readersFor(n.liveDaemons())
}

// rank returns the daemon's position among the live daemons, eligible ones first. The order is
// independent of failure domains, since a domain may be lost as a whole.
func (n *Node) rank() int { return n.members.Rank(n.eligible()) }

// eligible reports whether this daemon can hold roles. A daemon that is partitioned from the
// store holds no roles; an outage for all daemons changes no ranks. A starting daemon keeps its
// place: if each took it when it is ready, it would precede all whose readiness it does not know.
func (n *Node) eligible() bool {
	starting := n.deps.BootTime()-n.startedAt < maxStartTime
	return (starting || n.state.Ready()) && !n.partitioned.Load()
}

// isBootstrapPeer reports whether this daemon registers its address for discovery by others.
func (n *Node) isBootstrapPeer() bool {
	return n.inContactFor(rankStableAfter) && n.rank() < maxBootstrapPeers
}

// roles are the duties that a daemon performs for all others.
type roles struct{ eligible, reader, evaluator, bootstrapPeer bool }

// logRoleChange logs the roles if they changed. Only maintainFreshness calls it.
func (n *Node) logRoleChange() {
	now := roles{n.eligible(), n.isReader(), n.isEvaluator(), n.isBootstrapPeer()}
	if now == n.roles {
		return
	}
	n.roles = now
	n.log.Info("roles", "able", now.eligible, "reads_store", now.reader, "judges", now.evaluator, "contact", now.bootstrapPeer, "rank", n.rank(), "daemons", n.liveDaemons())
}

// maxEvaluators bounds the daemons that evaluate roll-outs, which are the first by rank. Only
// they receive evidence from all daemons, whose size grows with the number of servers.
const maxEvaluators = 8

// isEvaluator reports whether this daemon evaluates roll-outs with the evidence of all daemons.
func (n *Node) isEvaluator() bool {
	if n.members.InOverlay() {
		return n.rank() < gossip.OverlayEvaluators
	}
	return n.rank() < maxEvaluators
}

// isRolloutLeader reports whether this daemon writes roll-out phases. Conditional appends
// protect against two daemons that lead at the same time.
func (n *Node) isRolloutLeader() bool { return n.Ready() && n.rank() == 0 }
