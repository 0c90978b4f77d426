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
	mu     sync.Mutex
	last   uint64
	active map[uint64]transfer
}

// transfer is the sending of a long record to another daemon.
type transfer struct {
	partOf uint64
	// nextOffset is the offset of the next part, which is to be requested before expiresAt.
	nextOffset int
	expiresAt  time.Time
}

// begin starts a transfer of a packed response whose first part has been sent, unless there are
// maxTransfers.
func (l *transferLimit) begin(partOf uint64, now time.Time) (id uint64, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.active {
		if now.After(t.expiresAt) {
			delete(l.active, id)
		}
	}
	if len(l.active) >= maxTransfers {
		return 0, false
	}
	if l.active == nil {
		l.active = map[uint64]transfer{}
	}
	l.last++
	l.active[l.last] = transfer{partOf, maxRecordsBytes, now.Add(partTimeout)}
	return l.last, true
}

// advance records that a part has been sent, and ends the transfer with the last one. Repeated parts
// do not prolong a transfer.
func (l *transferLimit) advance(id uint64, offset int, sent RecordsResponse, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, found := l.active[id]
	if !found || sent.PartOf != t.partOf || offset != t.nextOffset {
		return
	}
	t.nextOffset += len(sent.Packed)
	t.expiresAt = now.Add(partTimeout)
	l.active[id] = t
	if t.nextOffset >= sent.Size {
		delete(l.active, id)
	}
}
