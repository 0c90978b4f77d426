package node

import (
	"context"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// HoldRecord is the record of a held request in the store. It preserves the hold when all daemons
// restart at once; otherwise the request would crash more servers before it is held again.
type HoldRecord struct {
	Fingerprint quarantine.Fingerprint
	// Until is the wall-clock time at which the hold ends.
	Until time.Time
	// Released reports that the record was removed.
	Released bool
}

const (
	// holdSyncInterval is the interval at which holds are compared with the store.
	holdSyncInterval = 500 * time.Millisecond
	// holdWriteDelay is how long a difference must last before it is written. Each further
	// rank waits holdWriteDelayPerRank longer, so that usually only one daemon writes.
	holdWriteDelay        = time.Second
	holdWriteDelayPerRank = 1500 * time.Millisecond
)

// storedHolds tracks the holds recorded in the store.
type storedHolds struct {
	mu sync.Mutex
	// expiry is the wall-clock time at which each hold ends.
	expiry map[quarantine.Fingerprint]time.Time
	// differsSince is the boot time since which the store has differed from this daemon.
	differsSince map[quarantine.Fingerprint]time.Duration
}

func newStoredHolds() *storedHolds {
	return &storedHolds{expiry: map[quarantine.Fingerprint]time.Time{}, differsSince: map[quarantine.Fingerprint]time.Duration{}}
}

func (s *storedHolds) record(h HoldRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.differsSince, h.Fingerprint)
	if h.Released {
		delete(s.expiry, h.Fingerprint)
		return
	}
	s.expiry[h.Fingerprint] = h.Until
}

// reset discards the state before all records are read again.
func (s *storedHolds) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.expiry)
	clear(s.differsSince)
}

// diff returns the records that would bring the store in line with the held requests, and how long
// each difference has lasted.
func (s *storedHolds) diff(held []quarantine.Hold, now time.Duration, wallTime time.Time) map[HoldRecord]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, known := map[HoldRecord]time.Duration{}, map[quarantine.Fingerprint]bool{}
	for _, h := range held {
		known[h.Fingerprint] = true
		if s.expiry[h.Fingerprint].After(wallTime) {
			delete(s.differsSince, h.Fingerprint)
			continue
		}
		until := wallTime.Add(time.Duration(h.RemainingMs) * time.Millisecond)
		out[HoldRecord{Fingerprint: h.Fingerprint, Until: until}] = s.differsFor(h.Fingerprint, now)
	}
	for f, until := range s.expiry {
		if !known[f] && until.After(wallTime) {
			out[HoldRecord{Fingerprint: f, Released: true}] = s.differsFor(f, now)
		}
	}
	return out
}

// differsFor returns how long the store has differed for a request. Callers hold mu.
func (s *storedHolds) differsFor(f quarantine.Fingerprint, now time.Duration) time.Duration {
	if _, known := s.differsSince[f]; !known {
		s.differsSince[f] = now
	}
	return now - s.differsSince[f]
}

// applyHold applies the record of a held request.
func (n *Node) applyHold(h HoldRecord) {
	n.storedHolds.record(h)
	if h.Released {
		n.Relay.Guard.Release(h.Fingerprint)
		return
	}
	if remaining := time.Until(h.Until); remaining > 0 {
		n.Relay.Guard.ApplyHold(h.Fingerprint, remaining)
	}
}

// syncHolds writes differences between the held requests and the store, until the context ends.
// The bootstrap peers write in the order of their ranks.
func (n *Node) syncHolds(ctx context.Context) {
	loop.Every(ctx, holdSyncInterval, func(ctx context.Context, wallTime time.Time) {
		differences := n.storedHolds.diff(n.Relay.Guard.Holds(), n.deps.BootTime(), wallTime)
		if len(differences) == 0 || !n.isBootstrapPeer() || !n.daemonFollower.Loaded() {
			return
		}
		due := holdWriteDelay + time.Duration(n.rank())*holdWriteDelayPerRank
		for h, age := range differences {
			if age >= due {
				n.writeHold(ctx, h)
			}
		}
	})
}

func (n *Node) writeHold(ctx context.Context, h HoldRecord) {
	key, value, err := n.deps.Codec.EncodeHold(h)
	if err == nil {
		err = feed.AppendWithTimeout(ctx, n.deps.Log, n.topics.Daemons, key, value, nil)
	}
	if err != nil {
		n.log.Warn("could not write hold record", "fingerprint", h.Fingerprint, "released", h.Released, "err", err)
		return
	}
	n.storedHolds.record(h)
	n.log.Info("hold record written", "fingerprint", h.Fingerprint, "released", h.Released, "until", h.Until)
}
