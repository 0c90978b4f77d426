package node

import "time"

// What a daemon does for all others follows from its place among those that live. Each
// number below is a law of how many there are, from one to hundreds, without a size at
// which it jumps.

const (
	// ownLeast is how often a daemon looks at the store itself at the least, ownEach how
	// much rarer each daemon of the deployment makes that: all together look 3.3 times a
	// second, whatever their number. ownGrace is how much later callers are sent elsewhere
	// if it gets no answer.
	ownLeast = 1800 * time.Millisecond
	ownEach  = 300 * time.Millisecond
	ownGrace = 1000 * time.Millisecond
	// settleFor is how long a daemon that starts leaves the waiting on the store to
	// others after it has heard the first one: it would take itself for the first else.
	// 195 that start together made 640 such reads of the four topics, and some sixty with
	// it. aloneAfter is when one that has heard nobody goes by itself: those that start
	// with it are up and have answered by then.
	settleFor  = time.Second
	aloneAfter = 1500 * time.Millisecond
	// idleLeast and idleEach are the longest pause of a daemon that only stands in for
	// those that read for all, at the least and for each daemon: together they ask 20
	// times a second at most. In an outage of 8 s 195 daemons made 2,200 calls with
	// pauses of up to 3 s that began at 60 ms, 2,700 with those after it.
	idleLeast = 3 * time.Second
	idleEach  = 50 * time.Millisecond
	// contacts is how many daemons have an entry in the store. One that starts and
	// reaches none of its seeds finds the others through any that lives, so that an entry
	// of each would be two calls of each at every start.
	contacts = 16
	// placedAfter is when a daemon that has heard others knows its place among them well
	// enough: of 195 that start together each has heard 130 by then.
	placedAfter = 3 * time.Second
)

// The number of daemons that wait on the store for all others: all of up to six, one less
// for each two more, and four from ten daemons on. A third of the daemons may be cut off
// from the store at once, and of six with two readers both were, so that servers that left
// got requests for three seconds more. In a large deployment few readers are hardly ever
// cut off together, and each change of an entry wakes every reader.
const (
	mostReaders  = 9
	perReader    = 2
	fewestReader = 4
)

// readersOf returns how many of some daemons wait on the store.
func readersOf(daemons int) int { return max(fewestReader, mostReaders-daemons/perReader) }

// ownEveryOf returns how often each of some daemons looks at the store itself.
func ownEveryOf(daemons int) time.Duration {
	return max(ownLeast, time.Duration(daemons)*ownEach)
}

// idlePause is the longest pause of this daemon while it stands in for those that read for
// all.
func (n *Node) idlePause() time.Duration { return n.pauseOf(idleLeast) }

// lookPause is the pause after a look that got no answer.
func (n *Node) lookPause() time.Duration {
	if n.reader() {
		return lookRetry
	}
	return n.pauseOf(lookRetry)
}

// pauseOf is a pause of one of those that stand in, long enough that all together ask 20
// times a second at most, and at least as long as given.
func (n *Node) pauseOf(least time.Duration) time.Duration {
	return max(least, time.Duration(n.daemons())*idleEach)
}

// daemons returns how many daemons live, this one included.
func (n *Node) daemons() int { return n.members.LiveCount() + 1 }

// settled reports whether this daemon has heard others for long enough to know its place
// among them, or is alone.
func (n *Node) settled() bool { return n.inTouchFor(settleFor) }

// inTouchFor reports whether others have been heard for some time, or nobody while it was
// waited for them.
func (n *Node) inTouchFor(span time.Duration) bool {
	since, any := n.members.SinceFirstContact()
	if !any {
		return n.ports.BootTime()-n.born >= aloneAfter
	}
	return since >= span
}

// reader reports whether this daemon is one of those that wait on the store for all.
func (n *Node) reader() bool { return n.settled() && n.rank() < readersOf(n.daemons()) }

// rank is the daemon's place among those that live, the able ones first, in an order that
// has nothing to do with where they are: a failure domain may be lost as a whole.
func (n *Node) rank() int { return n.members.Rank(n.able()) }

// able reports whether this daemon can work for all. It cannot while the store does not
// answer it, but somebody else: then others take its place. In an outage for all, and after
// it, nobody's place changes.
func (n *Node) able() bool { return n.state.Ready() && !n.cutOff.Load() }

// contact reports whether others are to find the deployment through this daemon.
func (n *Node) contact() bool { return n.inTouchFor(placedAfter) && n.rank() < contacts }

// roles are what this daemon does for all others.
type roles struct{ able, reader, judge, contact bool }

// noteRoles logs a change of this daemon's roles. Only lookAfter uses it.
func (n *Node) noteRoles() {
	now := roles{n.able(), n.reader(), n.judges(), n.contact()}
	if now == n.roles {
		return
	}
	n.roles = now
	n.log.Info("roles", "able", now.able, "reads_store", now.reader, "judges", now.judge, "contact", now.contact, "rank", n.rank(), "daemons", n.daemons())
}

// judges is how many daemons judge roll-outs by the evidence of all: the first by rank, of
// which the first writes. Evidence is 2 KB of each daemon with 126 servers: told by each to
// each of 195, it was most of what daemons told each other. Up to eight daemons all judge;
// of more, eight that stand anywhere are hardly ever lost together.
const judges = 8

// judges reports whether this daemon judges roll-outs by the evidence of all.
func (n *Node) judges() bool { return n.rank() < judges }

// decides reports whether this daemon writes the decisions of those that judge. A
// conditional append keeps two that both think so from undoing each other.
func (n *Node) decides() bool { return n.Ready() && n.rank() == 0 }
