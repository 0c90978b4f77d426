package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/loop"
)

const (
	// glanceEvery is how often the age of the confirmation is looked at. glancePart is
	// the age at which this daemon reads to renew it, as a part of the time within
	// which a configuration must be in force. It is glanceStep longer for each place
	// further down the list: one reads, and the others hear of it within some pulses.
	// mostPart bounds it: those that read for the others may be cut off from the store
	// at the moment of a change, and the rest of the time is for reading it. Fixed ages
	// of 0.8 and 1.2 s took a third of all calls of sixty daemons that have 3 s.
	glanceEvery = 200 * time.Millisecond
	glancePart  = 0.4
	glanceStep  = 150 * time.Millisecond
	mostPart    = 0.6
	// ownSmall and ownLarge are how often a daemon looks at the store itself, and
	// ownGrace how much later callers are sent elsewhere if it gets no answer.
	ownSmall = 1800 * time.Millisecond
	ownLarge = 20 * time.Second
	ownGrace = 1000 * time.Millisecond
	// ownReadPart is the age from which a daemon waits on the store itself, as a part
	// of the same time.
	ownReadPart = 0.9
	// glanceRetry is the pause after a look that got no answer. Looks of sixty daemons
	// every 0.2 s were half of all calls of a day with ten seconds of outages.
	glanceRetry = time.Second
	// readyAge is the age of the confirmation up to which callers are sent here.
	readyAge = 3 * time.Second
)

// The number of daemons that wait on the store for all others. A small deployment
// has no others: a third of the daemons may be cut off from the store at once, and
// with two readers both were, so that servers that left got requests for three
// seconds more. In a large one, few readers are hardly ever cut off together, and
// each change of an entry wakes every reader.
const (
	smallDeployment = 8
	fewReaders      = 4
)

// readers returns how many daemons wait on the store.
func (n *Node) readers() int {
	if len(n.members.Alive()) < smallDeployment {
		return smallDeployment
	}
	return fewReaders
}

// readsStore reports whether this daemon waits on the store: it is one of the
// readers, or has not heard of a fresh confirmation for too long.
func (n *Node) readsStore() bool {
	age, known := n.state.Age(freshness.Configuration)
	return n.reader() || !known || age > n.part(ownReadPart)
}

// part returns a part of the time within which a configuration must be in force.
func (n *Node) part(p float64) time.Duration { return time.Duration(p * float64(n.config.InForce)) }

// reader reports whether this daemon is one of those that wait on the store for all.
func (n *Node) reader() bool { return n.rank() < n.readers() }

// rank is the daemon's place among those that live, the ready ones first, in an order
// that has nothing to do with where they are: a failure domain may be lost as a whole.
// While the store is away none is ready, and still only a few are to ask for it.
func (n *Node) rank() int {
	rank, own, ready := 0, xxhash.Sum64String(n.config.Name), n.Ready()
	for _, p := range n.members.Alive() {
		if p.Leaving {
			continue
		}
		before := xxhash.Sum64String(p.Name) < own
		if p.Ready != ready {
			before = p.Ready
		}
		if before {
			rank++
		}
	}
	return rank
}

// Ready reports whether callers should be sent here. A daemon that is cut off from
// the store serves on by the word of others, but those that reach it come first.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.state.Known() && n.state.Fresh(freshness.Configuration, readyAge) && n.ownAge() < n.ownEvery()+ownGrace
}

// glance keeps the confirmation of the configuration young. Every daemon would
// have to read the store each second for that; instead one does, and the others
// take its word with its age.
func (n *Node) glance(ctx context.Context) {
	loop.Every(ctx, glanceEvery, func(ctx context.Context, now time.Time) {
		for _, f := range n.followers {
			f.Check(now)
		}
		n.look(ctx, now)
		n.showAges()
	})
}

// showAges shows on the metrics port how old the knowledge of each subject is.
func (n *Node) showAges() {
	for about := range freshness.Subjects {
		if age, known := n.state.Age(about); known {
			n.ports.Metrics.Age(about).Update(age.Seconds())
		}
	}
}

// look looks at the store if that is due. While the reading of configurations itself
// asks for an answer, that will tell when the store is back.
func (n *Node) look(ctx context.Context, now time.Time) {
	age, due := n.glanceDue()
	if !due || now.Before(n.glanceFrom) || n.operators.Away() {
		return
	}
	if err := n.operators.Glance(ctx); err != nil {
		n.glanceFrom = now.Add(glanceRetry)
		n.log.Debug("configuration not confirmed", "age_ms", age.Milliseconds(), "err", err)
	}
}

// glanceDue reports whether this daemon is to look at the store itself: because
// nobody else's confirmation is young, or because it has not done so for long.
func (n *Node) glanceDue() (age time.Duration, due bool) {
	age, known := n.state.Age(freshness.Configuration)
	if !known {
		return 0, false
	}
	limit := min(n.part(glancePart)+time.Duration(n.rank())*glanceStep, n.part(mostPart))
	return age, age > limit || n.ownAge() > n.ownEvery()
}

// confirm takes a confirmation that the store itself gave.
func (n *Node) confirm(about freshness.Subject, sent time.Duration) {
	if about == freshness.Configuration {
		n.ownContact.Store(int64(sent))
	}
	n.state.Confirm(about, freshness.Confirmation{At: sent, By: freshness.Own})
}

// ownAge is how long ago the store itself answered this daemon.
func (n *Node) ownAge() time.Duration { return n.ports.Boot() - time.Duration(n.ownContact.Load()) }

// ownEvery is how often a daemon looks whether it reaches the store. In a large
// deployment the calls of all would cost more than the few that are cut off.
func (n *Node) ownEvery() time.Duration {
	if len(n.members.Alive()) < smallDeployment {
		return ownSmall
	}
	return ownLarge
}

// confirmedBy takes another daemon's confirmation with its age, counted from a
// moment after which the pulse was made: it may have been on its way for any time.
// It holds only if this daemon knows what the other did.
func (n *Node) confirmedBy(p gossip.Pulse, after time.Duration) {
	if p.ContactMs >= 0 && n.operators.Next() >= p.Next(0) {
		at := after - time.Duration(p.ContactMs)*time.Millisecond
		n.state.Confirm(freshness.Configuration, freshness.Confirmation{At: at, By: p.Name})
	}
}
