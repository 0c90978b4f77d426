package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
)

const (
	// maxCheckPause and shortestIdle bound the pause between two looks at whether a look
	// at the store is due. The word of others makes it due later, never sooner.
	maxCheckPause = 200 * time.Millisecond
	minCheckPause = 20 * time.Millisecond
	// fallbackReadFraction is the age from which a daemon waits on the store itself, as a part
	// of the time within which a configuration must be in force.
	fallbackReadFraction = 0.9
	// minCheckRetryDelay is the pause after a look that got no answer. Looks of sixty daemons
	// every 0.2 s were half of all calls of a day with ten seconds of outages.
	minCheckRetryDelay = time.Second
	// minOutage is the shortest time without an answer that counts as an outage: what
	// is written anew all the time lapses after some seconds only.
	minOutage = 1500 * time.Millisecond
	// maxReadyAge is the age of the confirmation up to which callers are sent here.
	maxReadyAge = 3 * time.Second
)

// newCheckPlan is what this daemon looks at, for a time within which a configuration must be
// in force and one within which a server that leaves must get nothing new.
//
// Configurations: fixed ages of 0.8 and 1.2 s took a third of all calls of sixty daemons
// that have 3 s. Servers: with a quarter the last of 6 daemons acts within 0.81 s of 2 s, of
// 60 within 0.69 s of 3 s, although every read that waits hangs; each further daemon waits
// as long as the word of others takes.
func newCheckPlan(inForce, leave time.Duration) freshness.Plan {
	return freshness.Plan{
		freshness.Configuration: {MaxAge: inForce, FirstFraction: 0.4, RankDelay: 150 * time.Millisecond, LastFraction: 0.6},
		freshness.Servers:       {MaxAge: leave, FirstFraction: 0.25, RankDelay: gossip.Interval, LastFraction: 0.6},
	}
}

// readsOperatorTopic reports whether this daemon waits on the store: it is one of the
// readers, or has not heard of a fresh confirmation for too long.
func (n *Node) readsOperatorTopic() bool {
	age, known := n.state.ConfirmationAge(freshness.Configuration)
	if !known {
		return n.membershipSettled() // until then the reading of configurations itself asks
	}
	return n.isReader() || age > n.configLimitFraction(fallbackReadFraction)
}

// readsDependentTopics reports whether this daemon waits on the store for another subject than
// configurations: it is one of the readers, or had to read configurations itself lately, and
// could. While the store is away for all, each subject of each daemon would else be asked for
// before the first refusal tells.
func (n *Node) readsDependentTopics() bool {
	at := time.Duration(n.lastFallbackRead.Load())
	if n.isReader() || at == 0 || n.deps.BootTime()-at >= n.configLimitFraction(fallbackReadFraction) {
		return n.isReader()
	}
	by, age := n.state.LastConfirmation(freshness.Configuration)
	return by == freshness.FromStore && age >= peerReportDelay
}

// peerReportDelay is the time within which peers report that they reach the store again, when
// it is back for all.
const peerReportDelay = 600 * time.Millisecond

// configLimitFraction returns a part of the time within which a configuration must be in force.
func (n *Node) configLimitFraction(p float64) time.Duration {
	return time.Duration(p * float64(n.config.ConfigPropagationLimit))
}

// Ready reports whether callers should be sent here. A daemon that is cut off from
// the store serves on by the word of others, but those that reach it come first.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.state.Ready() && !n.configOutdated() && n.state.ConfirmedWithin(freshness.Configuration, maxReadyAge) && n.storeContactAge() < n.ownCheckInterval()+ownCheckGrace
}

// maintainFreshness keeps what this daemon knows of the store confirmed, until the context ends.
func (n *Node) maintainFreshness(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, f := range n.followers {
			f.CheckLag(now)
		}
		idle := n.checkStore(ctx, now)
		n.reportConfirmationAges()
		n.logRoleChange()
		loop.Sleep(ctx, min(max(idle, minCheckPause), maxCheckPause))
	}
}

// reportConfirmationAges shows on the metrics port how old the knowledge of each subject is.
func (n *Node) reportConfirmationAges() {
	for about := range freshness.Subjects {
		if age, known := n.state.ConfirmationAge(about); known {
			n.deps.Metrics.ConfirmationAge(about).Update(age.Seconds())
		}
	}
}

// checkStore looks at the store if that is due, and returns the time until it may be due again.
// While the reading of a subject itself asks for an answer, that will tell when the store
// is back.
func (n *Node) checkStore(ctx context.Context, now time.Time) time.Duration {
	about, due, any := n.state.NextCheck(n.checkPlan, n.rank(), n.ownCheckDue())
	f := n.followers[about]
	switch {
	case !any || f.Unavailable():
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
		n.log.Debug("not confirmed", "subject", about, "err", err)
	case !current:
		n.nextCheckAt = now.Add(catchUpPause)
	}
	return 0
}

// catchUpPause is the pause after a look that found more than was read: what is missing is
// read meanwhile. Without it a daemon that was behind looked every 20 ms until it was not.
const catchUpPause = 250 * time.Millisecond

// confirmFromStore takes a confirmation that the store itself gave.
func (n *Node) confirmFromStore(about freshness.Subject, sent time.Duration) {
	n.lastStoreContact.Store(int64(sent))
	if age, known := n.state.ConfirmationAge(about); about == freshness.Configuration && known && age > n.configLimitFraction(fallbackReadFraction) {
		n.lastFallbackRead.Store(int64(n.deps.BootTime()))
	}
	n.applyConfirmation(about, freshness.Confirmation{At: sent, Source: freshness.FromStore})
	n.unansweredSince.Store(0)
	n.partitioned.Store(false)
}

// recordUnanswered records that the store did not answer a call. If it has confirmed something
// to another daemon since it first did not, this one is cut off from it.
func (n *Node) recordUnanswered() {
	now := n.deps.BootTime()
	n.unansweredSince.CompareAndSwap(0, int64(now))
	first := time.Duration(n.unansweredSince.Load())
	if age, known := n.state.ConfirmationAge(freshness.Configuration); known && now-age > first+peerReportDelay {
		n.partitioned.Store(true)
	}
}

// applyConfirmation takes a confirmation, of the store itself or told by another daemon.
func (n *Node) applyConfirmation(about freshness.Subject, c freshness.Confirmation) {
	gap := n.state.Confirm(about, c)
	if about == freshness.Servers {
		n.detectOutageEnd(gap)
	}
	if u, looked := n.checkPlan[about]; looked && u.IsOutage(gap) {
		n.restartReads()
	}
}

// restartReads has what waits on the store since an outage made anew. While configurations are not
// confirmed again, a daemon that stands in would only ask the same again.
func (n *Node) restartReads() {
	if !n.isReader() && n.readsOperatorTopic() {
		return
	}
	for _, f := range n.followers {
		f.RestartRead()
	}
}

// detectOutageEnd tells that the store is back if nobody confirmed the entries of servers for
// long, and this daemon's own calls were not answered. What lapsed meanwhile may come
// back. A read that failed is no sign of that by itself: a daemon that alone was cut off
// missed nothing that the others did not hear. Nor is the time: a daemon that was busy, or
// whose link was full, made no call and heard nobody, and would keep servers that have
// gone. A read that did not fail is no sign against it: it may have waited all the while.
func (n *Node) detectOutageEnd(gap time.Duration) {
	since := time.Duration(n.unansweredSince.Load())
	if since == 0 || n.deps.BootTime()-since < minOutage || !n.checkPlan[freshness.Servers].IsOutage(gap) {
		return
	}
	n.log.Info("store back", "subject", freshness.Servers, "unconfirmed_ms", gap.Milliseconds(), "unanswered_ms", (n.deps.BootTime() - since).Milliseconds())
	n.state.StoreRecovered()
}

// storeContactAge is how long ago the store itself answered this daemon.
func (n *Node) storeContactAge() time.Duration {
	return n.deps.BootTime() - time.Duration(n.lastStoreContact.Load())
}

// ownCheckInterval is how often this daemon looks whether it reaches the store. In a large
// deployment the calls of all would cost more than the few that are cut off.
func (n *Node) ownCheckInterval() time.Duration { return ownCheckIntervalFor(n.liveDaemons()) }

// ownCheckDue is the time until this daemon has to see for itself whether it reaches the store.
// While nobody does, there is nothing to see.
func (n *Node) ownCheckDue() time.Duration {
	if !n.state.ConfirmedWithin(freshness.Configuration, n.configLimitFraction(fallbackReadFraction)) {
		return n.ownCheckInterval()
	}
	return n.ownCheckInterval() - n.storeContactAge()
}

// applyPeerConfirmations takes another daemon's confirmations with their ages, counted from a
// moment after which the pulse was made: it may have been on its way for any time.
// One holds only if this daemon knows what the other did.
func (n *Node) applyPeerConfirmations(p gossip.Message, after time.Duration) {
	for about := range freshness.Subjects {
		age, known := p.Age(about)
		if known && n.followers[about].Next() >= p.NextPosition(int(about)) {
			n.applyConfirmation(about, freshness.Confirmation{At: after - age, Source: p.Name})
		}
	}
}
