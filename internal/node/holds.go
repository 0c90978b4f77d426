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
	// holdsEvery is how often it is looked at whether the store says what is held.
	holdsEvery = 500 * time.Millisecond
	// holdWrittenAfter is the age from which a hold is written, and holdWrittenEach how
	// much later each further daemon by rank does it that has not heard of the record.
	holdWrittenAfter = time.Second
	holdWrittenEach  = 1500 * time.Millisecond
)

// storedHolds are the holds that the store is known to have.
type storedHolds struct {
	mu sync.Mutex
	// until is when each ends, by the time of day.
	until map[quarantine.Fingerprint]time.Time
	// differs is since when the store has said something else of each than this daemon.
	differs map[quarantine.Fingerprint]time.Duration
}

func newStoredHolds() *storedHolds {
	return &storedHolds{until: map[quarantine.Fingerprint]time.Time{}, differs: map[quarantine.Fingerprint]time.Duration{}}
}

func (s *storedHolds) note(h HoldRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.differs, h.Fingerprint)
	if h.Released {
		delete(s.until, h.Fingerprint)
		return
	}
	s.until[h.Fingerprint] = h.Until
}

// forget forgets what the store says, before all of it is read again.
func (s *storedHolds) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.until)
	clear(s.differs)
}

// differences returns what the store does not say yet of the requests that are held, and what
// it says of others, with how long that has been so.
func (s *storedHolds) differences(held []quarantine.Hold, now time.Duration, at time.Time) map[HoldRecord]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, known := map[HoldRecord]time.Duration{}, map[quarantine.Fingerprint]bool{}
	for _, h := range held {
		known[h.Fingerprint] = true
		if s.until[h.Fingerprint].After(at) {
			delete(s.differs, h.Fingerprint)
			continue
		}
		until := at.Add(time.Duration(h.RemainingMs) * time.Millisecond)
		out[HoldRecord{Fingerprint: h.Fingerprint, Until: until}] = s.since(h.Fingerprint, now)
	}
	for f, until := range s.until {
		if !known[f] && until.After(at) {
			out[HoldRecord{Fingerprint: f, Released: true}] = s.since(f, now)
		}
	}
	return out
}

// since returns for how long the store has differed on a request. Callers hold mu.
func (s *storedHolds) since(f quarantine.Fingerprint, now time.Duration) time.Duration {
	if _, known := s.differs[f]; !known {
		s.differs[f] = now
	}
	return now - s.differs[f]
}

// takeHeld takes a record on a held request.
func (n *Node) takeHeld(h HoldRecord) {
	n.stored.note(h)
	if h.Released {
		n.Relay.Guard.Release(h.Fingerprint)
		return
	}
	if left := time.Until(h.Until); left > 0 {
		n.Relay.Guard.ApplyHold(h.Fingerprint, left)
	}
}

// keepHolds has the store say which requests are held, until the context ends. The first of
// the contacts that notices writes; the others hear of the record before it is their turn.
func (n *Node) keepHolds(ctx context.Context) {
	loop.Every(ctx, holdsEvery, func(ctx context.Context, at time.Time) {
		differ := n.stored.differences(n.Relay.Guard.Holds(), n.ports.BootTime(), at)
		if len(differ) == 0 || !n.contact() || !n.others.Loaded() {
			return
		}
		due := holdWrittenAfter + time.Duration(n.rank())*holdWrittenEach
		for h, since := range differ {
			if since >= due {
				n.writeHeld(ctx, h)
			}
		}
	})
}

func (n *Node) writeHeld(ctx context.Context, h HoldRecord) {
	key, value, err := n.ports.Codec.EncodeHeld(h)
	if err == nil {
		err = feed.AppendWithTimeout(ctx, n.ports.Log, n.topics.Daemons, key, value, nil)
	}
	if err != nil {
		n.log.Warn("held request not written", "fingerprint", h.Fingerprint, "released", h.Released, "err", err)
		return
	}
	n.stored.note(h)
	n.log.Info("held request written", "fingerprint", h.Fingerprint, "released", h.Released, "until", h.Until)
}
