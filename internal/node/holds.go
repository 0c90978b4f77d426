package node

import (
	"context"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
)

// HoldRecord says in the store that a request is kept from servers, for daemons that start: when
// all were stopped at once, nobody else knows, and the request would have to end three servers
// again.
type HoldRecord struct {
	Fingerprint quarantine.Fingerprint
	// Until is when the hold ends, by the time of day.
	Until time.Time
	// Released says that the record was removed.
	Released bool
}

const (
	// holdSyncInterval is how often it is looked at whether the store says what is held.
	holdSyncInterval = 500 * time.Millisecond
	// holdWriteDelay is the age from which a hold is written, and holdWrittenEach how
	// much later each further daemon by rank does it that has not heard of the record.
	holdWriteDelay        = time.Second
	holdWriteDelayPerRank = 1500 * time.Millisecond
)

// storedHolds are the holds that the store is known to have.
type storedHolds struct {
	mu sync.Mutex
	// expiry is when each ends, by the time of day.
	expiry map[quarantine.Fingerprint]time.Time
	// differsSince is since when the store has said something else of each than this daemon.
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

// reset forgets what the store says, before all of it is read again.
func (s *storedHolds) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.expiry)
	clear(s.differsSince)
}

// diff returns what the store does not say yet of the requests that are held, and what
// it says of others, with how long that has been so.
func (s *storedHolds) diff(held []quarantine.Hold, now time.Duration, at time.Time) map[HoldRecord]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, known := map[HoldRecord]time.Duration{}, map[quarantine.Fingerprint]bool{}
	for _, h := range held {
		known[h.Fingerprint] = true
		if s.expiry[h.Fingerprint].After(at) {
			delete(s.differsSince, h.Fingerprint)
			continue
		}
		until := at.Add(time.Duration(h.RemainingMs) * time.Millisecond)
		out[HoldRecord{Fingerprint: h.Fingerprint, Until: until}] = s.differsFor(h.Fingerprint, now)
	}
	for f, until := range s.expiry {
		if !known[f] && until.After(at) {
			out[HoldRecord{Fingerprint: f, Released: true}] = s.differsFor(f, now)
		}
	}
	return out
}

// differsFor returns for how long the store has differed on a request. Callers hold mu.
func (s *storedHolds) differsFor(f quarantine.Fingerprint, now time.Duration) time.Duration {
	if _, known := s.differsSince[f]; !known {
		s.differsSince[f] = now
	}
	return now - s.differsSince[f]
}

// applyHold takes a record on a held request.
func (n *Node) applyHold(h HoldRecord) {
	n.storedHolds.record(h)
	if h.Released {
		n.Relay.Guard.Release(h.Fingerprint)
		return
	}
	if left := time.Until(h.Until); left > 0 {
		n.Relay.Guard.ApplyHold(h.Fingerprint, left)
	}
}

// syncHolds has the store say which requests are held, until the context ends. The first of
// the contacts that notices writes; the others hear of the record before it is their turn.
func (n *Node) syncHolds(ctx context.Context) {
	loop.Every(ctx, holdSyncInterval, func(ctx context.Context, at time.Time) {
		differ := n.storedHolds.diff(n.Relay.Guard.Holds(), n.deps.BootTime(), at)
		if len(differ) == 0 || !n.isBootstrapPeer() || !n.daemonFollower.Loaded() {
			return
		}
		due := holdWriteDelay + time.Duration(n.rank())*holdWriteDelayPerRank
		for h, since := range differ {
			if since >= due {
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
		n.log.Warn("held request not written", "fingerprint", h.Fingerprint, "released", h.Released, "err", err)
		return
	}
	n.storedHolds.record(h)
	n.log.Info("held request written", "fingerprint", h.Fingerprint, "released", h.Released, "until", h.Until)
}
