package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
)

const (
	// maxCheckPause and minCheckPause bound the sleep between evaluations of whether a store
	// check is due. Confirmations by peers only postpone a check.
	maxCheckPause = 200 * time.Millisecond
	minCheckPause = 20 * time.Millisecond
	// fallbackReadFraction is the confirmation age, as a fraction of ConfigPropagationLimit,
	// from which a daemon that is not a reader reads the store itself.
	fallbackReadFraction = 0.9
	// minCheckRetryDelay is the shortest delay after a failed store check.
	minCheckRetryDelay = time.Second
	// minOutage is the shortest time without a response that counts as an outage. Server
	// entries expire after a few missed heartbeats only.
	minOutage = 1500 * time.Millisecond
	// maxReadyAge is the confirmation age from which the daemon is not ready.
	maxReadyAge = 3 * time.Second
)

// newCheckPlan returns the ages at which configurations and server entries are checked, for the
// limits within which changes must take effect. Server checks start early to leave time for a
// check that follows a hanging read, and for gossip of its result.
func newCheckPlan(configLimit, drainLimit time.Duration) freshness.Plan {
	return freshness.Plan{
		freshness.Configuration: {MaxAge: configLimit, FirstFraction: 0.4, RankDelay: 150 * time.Millisecond, LastFraction: 0.6},
		freshness.Servers:       {MaxAge: drainLimit, FirstFraction: 0.25, RankDelay: gossip.Interval, LastFraction: 0.6},
	}
}

// readsOperatorTopic reports whether this daemon waits on the store for operator records: it is
// a reader, or no confirmation has arrived for too long.
func (n *Node) readsOperatorTopic() bool {
	age, known := n.state.ConfirmationAge(freshness.Configuration)
	if !known {
		return n.membershipSettled() // before the first read, no peer can supply the records
	}
	return n.isReader() || age > n.configLimitFraction(fallbackReadFraction)
}

// readsDependentTopics reports whether this daemon waits on the store for the other topics: it
// is a reader, or recently had to read the operator topic itself and succeeded. This avoids a
// call per topic and daemon during an outage.
func (n *Node) readsDependentTopics() bool {
	lastRead := time.Duration(n.lastFallbackRead.Load())
	if n.isReader() || lastRead == 0 || n.deps.BootTime()-lastRead >= n.configLimitFraction(fallbackReadFraction) {
		return n.isReader()
	}
	source, age := n.state.LastConfirmation(freshness.Configuration)
	return source == freshness.FromStore && age >= peerReportDelay
}

// peerReportDelay is the time within which peers report that they reach the store again after
// an outage for all daemons.
const peerReportDelay = 600 * time.Millisecond

// configLimitFraction returns a fraction of ConfigPropagationLimit.
func (n *Node) configLimitFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(n.config.ConfigPropagationLimit))
}

// currentCheckPlan returns the plan for the present size of the fleet.
func (n *Node) currentCheckPlan() freshness.Plan {
	return n.checkPlan.WithPropagation(n.members.Propagation())
}

// Ready reports whether clients should be sent to this daemon. A daemon that is partitioned from
// the store still serves with confirmations from peers, but is not ready.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.state.Ready() && !n.configOutdated() && n.state.ConfirmedWithin(freshness.Configuration, maxReadyAge) && n.storeContactAge() < n.ownCheckInterval()+ownCheckGrace
}

// maintainFreshness checks the store whenever a subject's confirmation is due, until the context ends.
func (n *Node) maintainFreshness(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, f := range n.followers {
			f.CheckLag(now)
		}
		pause := n.checkStore(ctx, now)
		n.reportConfirmationAges()
		n.logRoleChange()
		loop.Sleep(ctx, min(max(pause, minCheckPause), maxCheckPause))
	}
}

// reportConfirmationAges updates the gauges of confirmation ages.
func (n *Node) reportConfirmationAges() {
	for subject := range freshness.Subjects {
		if age, known := n.state.ConfirmationAge(subject); known {
			n.deps.Metrics.ConfirmationAge(subject).Update(age.Seconds())
		}
	}
}

// checkStore checks the end of a topic if that is due, and returns the time until the next check
// may be due. It skips a topic whose follower is already retrying.
func (n *Node) checkStore(ctx context.Context, now time.Time) time.Duration {
	subject, due, ok := n.state.NextCheck(n.currentCheckPlan().Without(n.behind), n.rank(), n.ownCheckDue())
	n.behind = nil
	f := n.followers[subject]
	switch {
	case !ok || f.Unavailable():
		return maxCheckPause
	case now.Before(n.nextCheckAt):
		return n.nextCheckAt.Sub(now)
	case due > 0:
		return due
	}
	current, err := f.ProbeEnd(ctx)
	switch {
	case err != nil:
		n.recordUnanswered()
		n.nextCheckAt = now.Add(n.checkRetryDelay())
		n.log.Debug("store check failed", "subject", subject, "err", err)
	case !current:
		n.nextCheckAt = now.Add(catchUpPause)
		n.behind = []freshness.Subject{subject} // another subject is next, or this one would delay it
	}
	return 0
}

// catchUpPause is the delay after a check that found unread records, in which the follower reads
// them.
const catchUpPause = 250 * time.Millisecond

// confirmFromStore applies a confirmation by the store itself.
func (n *Node) confirmFromStore(subject freshness.Subject, sent time.Duration) {
	n.lastStoreContact.Store(int64(sent))
	if age, known := n.state.ConfirmationAge(subject); subject == freshness.Configuration && known && age > n.configLimitFraction(fallbackReadFraction) {
		n.lastFallbackRead.Store(int64(n.deps.BootTime()))
	}
	n.applyConfirmation(subject, freshness.Confirmation{At: sent, Source: freshness.FromStore})
	n.unansweredSince.Store(0)
	n.partitioned.Store(false)
}

// recordUnanswered records a call without a response of the store. If a peer's confirmation is
// newer than the first such call, this daemon is partitioned from the store.
func (n *Node) recordUnanswered() {
	now := n.deps.BootTime()
	n.unansweredSince.CompareAndSwap(0, int64(now))
	first := time.Duration(n.unansweredSince.Load())
	if age, known := n.state.ConfirmationAge(freshness.Configuration); known && now-age > first+peerReportDelay {
		n.partitioned.Store(true)
	}
}

// applyConfirmation applies a confirmation by the store or by another daemon.
func (n *Node) applyConfirmation(subject freshness.Subject, c freshness.Confirmation) {
	gap := n.state.Confirm(subject, c)
	if subject == freshness.Servers {
		n.detectOutageEnd(gap)
	}
	if u, checked := n.checkPlan[subject]; checked && u.IsOutage(gap) {
		n.restartReads()
		if n.members.InOverlay() {
			n.broadcast() // others wait for the store as well
		}
	}
}

// restartReads restarts the pending reads after an outage. A daemon that reads only as a
// fallback keeps its read, since a new one would be the same call again.
func (n *Node) restartReads() {
	if !n.isReader() && n.readsOperatorTopic() {
		return
	}
	for _, f := range n.followers {
		f.RestartRead()
	}
}

// detectOutageEnd restores expired server entries at the end of an outage: no daemon confirmed the
// entries for long, and this daemon's calls were unanswered for at least minOutage. One condition
// alone also holds for a partitioned, isolated or busy daemon while the store is up, and removed
// servers would stay in use.
func (n *Node) detectOutageEnd(gap time.Duration) {
	since := time.Duration(n.unansweredSince.Load())
	if since == 0 || n.deps.BootTime()-since < minOutage || !n.checkPlan[freshness.Servers].IsOutage(gap) {
		return
	}
	n.log.Info("store recovered", "subject", freshness.Servers, "unconfirmed_ms", gap.Milliseconds(), "unanswered_ms", (n.deps.BootTime() - since).Milliseconds())
	n.state.StoreRecovered()
}

// storeContactAge returns the time since the store itself confirmed this daemon.
func (n *Node) storeContactAge() time.Duration {
	return n.deps.BootTime() - time.Duration(n.lastStoreContact.Load())
}

// ownCheckInterval returns the interval at which this daemon checks that it reaches the store.
func (n *Node) ownCheckInterval() time.Duration { return ownCheckIntervalFor(n.liveDaemons()) }

// ownCheckDue returns the time until the next own check. During an outage for all daemons own
// checks are postponed.
func (n *Node) ownCheckDue() time.Duration {
	if !n.state.ConfirmedWithin(freshness.Configuration, n.configLimitFraction(fallbackReadFraction)) {
		return n.ownCheckInterval()
	}
	return n.ownCheckInterval() - n.storeContactAge()
}

// applyPeerConfirmations applies another daemon's confirmations, once this daemon has read at least
// as far. Their ages count from after, a boot time before which the message was not built, so that
// delay in transit does not make them appear fresher.
func (n *Node) applyPeerConfirmations(message gossip.Message, after time.Duration) {
	for subject := range freshness.Subjects {
		next := n.followers[subject].Next()
		if c, found := n.deferred.take(subject, next); found {
			n.applyConfirmation(subject, c)
		}
		age, known := message.Age(subject)
		if !known {
			continue
		}
		c := freshness.Confirmation{At: after - age, Source: message.Name}
		if position := message.NextPosition(int(subject)); next < position {
			n.deferred.add(subject, position, c)
			continue
		}
		n.applyConfirmation(subject, c)
	}
}
