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
	// newerConfigDelay is how long a daemon must be known to have a newer configuration: one
	// that is just taking it has not read on yet, for some hundred milliseconds if its VM
	// is slow. A key may open for seconds after it was taken away.
	newerConfigDelay = 500 * time.Millisecond
	// newerConfigTTL is how long the word of one is good for: if all that knew have ended, the
	// store's word is the newest there is.
	newerConfigTTL = 3 * time.Second
)

// newerConfig remembers the newest configuration that others have and the store does not.
type newerConfig struct {
	mu      sync.Mutex
	version int64
	// firstSeen is when it was first heard of, and heard when last.
	firstSeen, lastSeen time.Duration
}

// observe takes the version that another daemon has and the store does not hold.
func (o *newerConfig) observe(version int64, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.version || now-o.lastSeen > newerConfigTTL {
		o.version, o.firstSeen = version, now
	}
	o.lastSeen = now
}

// supersedes reports whether a configuration is older than what others have.
func (o *newerConfig) supersedes(version int64, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return version < o.version && now-o.firstSeen >= newerConfigDelay && now-o.lastSeen <= newerConfigTTL
}

// observeConfigVersion notes it if a daemon has a newer configuration and has read no further.
func (n *Node) observeConfigVersion(p gossip.Message) {
	next := p.NextPosition(n.topicIndex(n.topics.Operator))
	if p.ConfigVersion > n.configVersion() && n.operatorFollower.Loaded() && next > 0 && n.operatorFollower.Next() >= next {
		n.newerConfig.observe(p.ConfigVersion, n.deps.BootTime())
	}
}

// configVersion is the configuration in force here, or zero.
func (n *Node) configVersion() int64 {
	if t := n.state.Table(); t != nil {
		return t.Version
	}
	return 0
}

// configOutdated reports whether others have a newer configuration than the store.
func (n *Node) configOutdated() bool {
	return n.newerConfig.supersedes(n.configVersion(), n.deps.BootTime())
}
