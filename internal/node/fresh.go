package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
)

const (
	// longestIdle and shortestIdle bound the pause between two looks at whether a look
	// at the store is due. The word of others makes it due later, never sooner.
	longestIdle  = 200 * time.Millisecond
	shortestIdle = 20 * time.Millisecond
	// ownReadPart is the age from which a daemon waits on the store itself, as a part
	// of the time within which a configuration must be in force.
	ownReadPart = 0.9
	// lookRetry is the pause after a look that got no answer. Looks of sixty daemons
	// every 0.2 s were half of all calls of a day with ten seconds of outages.
	lookRetry = time.Second
	// outageLeast is the shortest time without an answer that counts as an outage: what
	// is written anew all the time lapses after some seconds only.
	outageLeast = 1500 * time.Millisecond
	// readyAge is the age of the confirmation up to which callers are sent here.
	readyAge = 3 * time.Second
)

// upkeep is what this daemon looks at, for a time within which a configuration must be
// in force and one within which a server that leaves must get nothing new.
//
// Configurations: fixed ages of 0.8 and 1.2 s took a third of all calls of sixty daemons
// that have 3 s. Servers: with a quarter the last of 6 daemons acts within 0.81 s of 2 s, of
// 60 within 0.69 s of 3 s, although every read that waits hangs; each further daemon waits
// as long as the word of others takes.
func upkeep(inForce, leave time.Duration) freshness.Plan {
	return freshness.Plan{
		freshness.Configuration: {MaxAge: inForce, FirstFraction: 0.4, RankDelay: 150 * time.Millisecond, LastFraction: 0.6},
		freshness.Servers:       {MaxAge: leave, FirstFraction: 0.25, RankDelay: gossip.Interval, LastFraction: 0.6},
	}
}

// readsStore reports whether this daemon waits on the store: it is one of the
// readers, or has not heard of a fresh confirmation for too long.
func (n *Node) readsStore() bool {
	age, known := n.state.ConfirmationAge(freshness.Configuration)
	if !known {
		return n.settled() // until then the reading of configurations itself asks
	}
	return n.reader() || age > n.part(ownReadPart)
}

// readsBeside reports whether this daemon waits on the store for another subject than
// configurations: it is one of the readers, or had to read configurations itself lately, and
// could. While the store is away for all, each subject of each daemon would else be asked for
// before the first refusal tells.
func (n *Node) readsBeside() bool {
	at := time.Duration(n.stoodIn.Load())
	if n.reader() || at == 0 || n.ports.BootTime()-at >= n.part(ownReadPart) {
		return n.reader()
	}
	by, age := n.state.LastConfirmation(freshness.Configuration)
	return by == freshness.FromStore && age >= peerReportDelay
}

// peerReportDelay is the time within which peers report that they reach the store again, when
// it is back for all.
const peerReportDelay = 600 * time.Millisecond

// part returns a part of the time within which a configuration must be in force.
func (n *Node) part(p float64) time.Duration {
	return time.Duration(p * float64(n.config.ConfigPropagationLimit))
}

// Ready reports whether callers should be sent here. A daemon that is cut off from
// the store serves on by the word of others, but those that reach it come first.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.state.Ready() && !n.isOutdated() && n.state.ConfirmedWithin(freshness.Configuration, readyAge) && n.ownAge() < n.ownEvery()+ownGrace
}

// lookAfter keeps what this daemon knows of the store confirmed, until the context ends.
func (n *Node) lookAfter(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, f := range n.followers {
			f.CheckLag(now)
		}
		idle := n.look(ctx, now)
		n.showAges()
		n.noteRoles()
		loop.Pause(ctx, min(max(idle, shortestIdle), longestIdle))
	}
}

// showAges shows on the metrics port how old the knowledge of each subject is.
func (n *Node) showAges() {
	for about := range freshness.Subjects {
		if age, known := n.state.ConfirmationAge(about); known {
			n.ports.Metrics.ConfirmationAge(about).Update(age.Seconds())
		}
	}
}

// look looks at the store if that is due, and returns the time until it may be due again.
// While the reading of a subject itself asks for an answer, that will tell when the store
// is back.
func (n *Node) look(ctx context.Context, now time.Time) time.Duration {
	about, due, any := n.state.NextCheck(n.plan, n.rank(), n.ownDue())
	f := n.followers[about]
	switch {
	case !any || f.Unavailable():
		return longestIdle
	case now.Before(n.lookFrom):
		return n.lookFrom.Sub(now)
	case due > 0:
		return due
	}
	current, err := f.ProbeEnd(ctx)
	switch {
	case err != nil:
		n.noteUnanswered()
		n.lookFrom = now.Add(n.lookPause())
		n.log.Debug("not confirmed", "subject", about, "err", err)
	case !current:
		n.lookFrom = now.Add(readPause)
	}
	return 0
}

// readPause is the pause after a look that found more than was read: what is missing is
// read meanwhile. Without it a daemon that was behind looked every 20 ms until it was not.
const readPause = 250 * time.Millisecond

// confirm takes a confirmation that the store itself gave.
func (n *Node) confirm(about freshness.Subject, sent time.Duration) {
	n.ownContact.Store(int64(sent))
	if age, known := n.state.ConfirmationAge(about); about == freshness.Configuration && known && age > n.part(ownReadPart) {
		n.stoodIn.Store(int64(n.ports.BootTime()))
	}
	n.take(about, freshness.Confirmation{At: sent, Source: freshness.FromStore})
	n.unanswered.Store(0)
	n.cutOff.Store(false)
}

// noteUnanswered records that the store did not answer a call. If it has confirmed something
// to another daemon since it first did not, this one is cut off from it.
func (n *Node) noteUnanswered() {
	now := n.ports.BootTime()
	n.unanswered.CompareAndSwap(0, int64(now))
	first := time.Duration(n.unanswered.Load())
	if age, known := n.state.ConfirmationAge(freshness.Configuration); known && now-age > first+peerReportDelay {
		n.cutOff.Store(true)
	}
}

// take takes a confirmation, of the store itself or told by another daemon.
func (n *Node) take(about freshness.Subject, c freshness.Confirmation) {
	gap := n.state.Confirm(about, c)
	if about == freshness.Servers {
		n.noteGap(gap)
	}
	if u, looked := n.plan[about]; looked && u.IsOutage(gap) {
		n.renew()
	}
}

// renew has what waits on the store since an outage made anew. While configurations are not
// confirmed again, a daemon that stands in would only ask the same again.
func (n *Node) renew() {
	if !n.reader() && n.readsStore() {
		return
	}
	for _, f := range n.followers {
		f.RestartRead()
	}
}

// noteGap tells that the store is back if nobody confirmed the entries of servers for
// long, and this daemon's own calls were not answered. What lapsed meanwhile may come
// back. A read that failed is no sign of that by itself: a daemon that alone was cut off
// missed nothing that the others did not hear. Nor is the time: a daemon that was busy, or
// whose link was full, made no call and heard nobody, and would keep servers that have
// gone. A read that did not fail is no sign against it: it may have waited all the while.
func (n *Node) noteGap(gap time.Duration) {
	since := time.Duration(n.unanswered.Load())
	if since == 0 || n.ports.BootTime()-since < outageLeast || !n.plan[freshness.Servers].IsOutage(gap) {
		return
	}
	n.log.Info("store back", "subject", freshness.Servers, "unconfirmed_ms", gap.Milliseconds(), "unanswered_ms", (n.ports.BootTime() - since).Milliseconds())
	n.state.StoreRecovered()
}

// ownAge is how long ago the store itself answered this daemon.
func (n *Node) ownAge() time.Duration { return n.ports.BootTime() - time.Duration(n.ownContact.Load()) }

// ownEvery is how often this daemon looks whether it reaches the store. In a large
// deployment the calls of all would cost more than the few that are cut off.
func (n *Node) ownEvery() time.Duration { return ownEveryOf(n.daemons()) }

// ownDue is the time until this daemon has to see for itself whether it reaches the store.
// While nobody does, there is nothing to see.
func (n *Node) ownDue() time.Duration {
	if !n.state.ConfirmedWithin(freshness.Configuration, n.part(ownReadPart)) {
		return n.ownEvery()
	}
	return n.ownEvery() - n.ownAge()
}

// confirmedBy takes another daemon's confirmations with their ages, counted from a
// moment after which the pulse was made: it may have been on its way for any time.
// One holds only if this daemon knows what the other did.
func (n *Node) confirmedBy(p gossip.Message, after time.Duration) {
	for about := range freshness.Subjects {
		age, known := p.Age(about)
		if known && n.followers[about].Next() >= p.NextPosition(int(about)) {
			n.take(about, freshness.Confirmation{At: after - age, Source: p.Name})
		}
	}
}
