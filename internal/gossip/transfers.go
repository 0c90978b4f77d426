package gossip

import (
	"sync"
	"time"
)

// maxTransfers bounds the daemons to which one sends long records at the same time. Those that are
// turned away find a peer that has received them meanwhile, so that a change spreads by generations
// instead of waiting on the first daemons' links.
const maxTransfers = 4

// transferLimit limits the transfers of long records to other daemons. It is safe for concurrent use.
type transferLimit struct {
	mu   sync.Mutex
	last uint64
	// active holds the time until which a transfer counts if its next part is not requested.
	active map[uint64]time.Time
}

// begin starts a transfer unless there are maxTransfers.
func (l *transferLimit) begin(now time.Time) (id uint64, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.active {
		if now.After(until) {
			delete(l.active, id)
		}
	}
	if len(l.active) >= maxTransfers {
		return 0, false
	}
	if l.active == nil {
		l.active = map[uint64]time.Time{}
	}
	l.last++
	l.active[l.last] = now.Add(partTimeout)
	return l.last, true
}

// advance records a request for a further part, or for the last one.
func (l *transferLimit) advance(id uint64, last bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.active[id]; !found {
		return
	}
	if last {
		delete(l.active, id)
		return
	}
	l.active[id] = now.Add(partTimeout)
}
