package node

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/gossip"
)

// A daemon that starts after the store came back from an older copy, and before the operator has
// written again, reads an older configuration than the others have in force: a key that was
// taken away would open it. It notices that by a pulse of one that has read no further than it
// has, and still has a newer configuration, and refuses what needs one until they agree.

const (
	// outdatedAfter is how long a daemon must be known to have a newer configuration: one
	// that is just taking it has not read on yet, for some hundred milliseconds if its VM
	// is slow. A key may open for seconds after it was taken away.
	outdatedAfter = 500 * time.Millisecond
	// outdatedFor is how long the word of one is good for: if all that knew have ended, the
	// store's word is the newest there is.
	outdatedFor = 3 * time.Second
)

// outdated remembers the newest configuration that others have and the store does not.
type outdated struct {
	mu      sync.Mutex
	version int64
	// since is when it was first heard of, and heard when last.
	since, heard time.Duration
}

// hear takes the version that another daemon has and the store does not hold.
func (o *outdated) hear(version int64, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.version || now-o.heard > outdatedFor {
		o.version, o.since = version, now
	}
	o.heard = now
}

// by reports whether a configuration is older than what others have.
func (o *outdated) by(version int64, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return version < o.version && now-o.since >= outdatedAfter && now-o.heard <= outdatedFor
}

// noteNewer notes it if a daemon has a newer configuration and has read no further.
func (n *Node) noteNewer(p gossip.Message) {
	next := p.NextPosition(n.topicIndex(n.topics.Operator))
	if p.ConfigVersion > n.version() && n.operators.Loaded() && next > 0 && n.operators.Next() >= next {
		n.outdated.hear(p.ConfigVersion, n.ports.BootTime())
	}
}

// version is the configuration in force here, or zero.
func (n *Node) version() int64 {
	if t := n.state.Table(); t != nil {
		return t.Version
	}
	return 0
}

// isOutdated reports whether others have a newer configuration than the store.
func (n *Node) isOutdated() bool { return n.outdated.by(n.version(), n.ports.BootTime()) }
