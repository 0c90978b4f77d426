package node

import (
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/gossip"
)

// A daemon that starts after the store was restored from an older copy reads an outdated
// configuration, in which revoked API keys may still be valid. It detects this by a peer that has
// read no further but has a newer configuration, and refuses requests until the store catches up.

const (
	// newerConfigDelay is how long a peer's configuration must have been newer. A peer that
	// just applied a record may not have advertised its new position yet.
	newerConfigDelay = 500 * time.Millisecond
	// newerConfigTTL is the time after which the version is forgotten unless a peer reports
	// it again. If all daemons that had it have stopped, the store's version is the newest.
	newerConfigTTL = 3 * time.Second
)

// newerConfig tracks the newest configuration version that peers have and the store lacks.
type newerConfig struct {
	mu      sync.Mutex
	version int64
	// firstSeen is the boot time of the first report of version, lastSeen that of any report.
	firstSeen, lastSeen time.Duration
}

// observe records a version that a peer has and the store lacks.
func (c *newerConfig) observe(version int64, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version || now-c.lastSeen > newerConfigTTL {
		c.version, c.firstSeen = version, now
	}
	c.lastSeen = now
}

// supersedes reports whether a tracked version is newer than the given one.
func (c *newerConfig) supersedes(version int64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return version < c.version && now-c.firstSeen >= newerConfigDelay && now-c.lastSeen <= newerConfigTTL
}

// observeConfigVersion records a peer's version if it is newer and the peer has read no further.
func (n *Node) observeConfigVersion(message gossip.Message) {
	next := message.NextPosition(n.topicIndex(n.topics.Operator))
	if message.ConfigVersion > n.configVersion() && n.operatorFollower.Loaded() && next > 0 && n.operatorFollower.Next() >= next {
		n.newerConfig.observe(message.ConfigVersion, n.deps.BootTime())
	}
}

// configVersion returns the version in force on this daemon, or zero.
func (n *Node) configVersion() int64 {
	if t := n.state.Table(); t != nil {
		return t.Version
	}
	return 0
}

// configOutdated reports whether peers have a newer configuration than the store.
func (n *Node) configOutdated() bool {
	return n.newerConfig.supersedes(n.configVersion(), n.deps.BootTime())
}
