package kvtransfer

import (
	"math"
	"time"
)

const (
	// windowLength is the time after which daemons know of the engines to which a part was copied
	// meanwhile.
	windowLength = time.Second
	// maxLent is the time in each window that all daemons may use the link of one lender. Beyond
	// half of the window, waits grow faster than the transfers save time.
	maxLent = windowLength / 2
	// maxUtilization is the same fraction of all links.
	maxUtilization = float64(maxLent) / float64(windowLength)
	// useHalfLife is the half-life of the recorded use of all links.
	useHalfLife = 2 * time.Second
	// maxLinks bounds the links with recorded use.
	maxLinks = 4096
	// hashMultiplier distributes hashes; it is derived from the golden ratio.
	hashMultiplier = 0x9E3779B97F4A7C15
)

// Fleet is the number of daemons that use a number of engines, and the hash of this daemon's name.
type Fleet struct {
	Daemon           uint64
	Daemons, Engines int
}

// Links tracks the use of the engines' links by the transfers of this daemon. The other daemons are
// assumed to make as many.
type Links struct {
	links map[uint64]*link
	// total is the use of all links as of totalAt.
	total   time.Duration
	totalAt time.Time
}

// link is the state of one engine's link.
type link struct {
	// freeAt is when the transfers of this daemon will have ended.
	freeAt time.Time
	// lent is the use as a lender in a window.
	lent   time.Duration
	window int64
}

// NewLinks returns links without use.
func NewLinks() *Links { return &Links{links: map[uint64]*link{}} }

// Record records a transfer between two engines. Transfers on a link run one after another.
func (l *Links) Record(lender, target uint64, d time.Duration, now time.Time) {
	from, to := l.link(lender, now), l.link(target, now)
	start := now
	for _, side := range []*link{from, to} {
		if side.freeAt.After(start) {
			start = side.freeAt
		}
	}
	from.freeAt, to.freeAt = start.Add(d), start.Add(d)
	if from.window != windowOf(now) {
		from.window, from.lent = windowOf(now), 0
	}
	from.lent += d
	l.total, l.totalAt = l.totalUse(now)+2*d, now
}

func windowOf(now time.Time) int64 { return now.UnixNano() / int64(windowLength) }

// link returns the state of an engine's link.
func (l *Links) link(engine uint64, now time.Time) *link {
	known := l.links[engine]
	if known == nil {
		if len(l.links) >= maxLinks {
			l.sweep(now)
		}
		known = &link{}
		l.links[engine] = known
	}
	return known
}

// sweep forgets the links without use in this window, and all links if there are none.
func (l *Links) sweep(now time.Time) {
	for engine, known := range l.links {
		if known.window != windowOf(now) && known.freeAt.Before(now) {
			delete(l.links, engine)
		}
	}
	if len(l.links) >= maxLinks {
		clear(l.links)
	}
}

// totalUse returns the decaying sum of the use of all links.
func (l *Links) totalUse(now time.Time) time.Duration {
	age := max(0, now.Sub(l.totalAt))
	return time.Duration(float64(l.total) * math.Exp2(-float64(age)/float64(useHalfLife)))
}

// Utilization returns the estimated fraction of time that all daemons use a link, on average.
func (l *Links) Utilization(f Fleet, now time.Time) float64 {
	window := float64(useHalfLife) / math.Ln2
	return float64(l.totalUse(now)) / window * float64(f.Daemons) / float64(max(f.Engines, 1))
}

// Wait returns the known wait for an engine's link.
func (l *Links) Wait(engine uint64, now time.Time) time.Duration {
	if known := l.links[engine]; known != nil {
		return max(0, known.freeAt.Sub(now))
	}
	return 0
}

// Share returns this daemon's share of the link of a lender.
func (l *Links) Share(engine uint64, f Fleet, now time.Time) Share {
	window := windowOf(now)
	share := Share{Daemons: f.Daemons, draw: draw(f.Daemon, engine, uint64(window))}
	if known := l.links[engine]; known != nil && known.window == window {
		share.used = known.lent
	}
	return share
}

// draw returns a number from 0 to 1 that depends on all keys.
func draw(keys ...uint64) float64 {
	h := uint64(0)
	for _, key := range keys {
		h = (h ^ key) * hashMultiplier
		h ^= h >> 32
	}
	return float64(h>>11) / (1 << 53)
}

// Share is a daemon's share of the link of a lender in a window. All daemons find out at the same
// time that an engine holds a part that others lack. Only as many of them as the link can serve use
// it in one window, each by its own draw.
type Share struct {
	Daemons int
	draw    float64
	used    time.Duration
}

// Allows reports whether the daemon may make a transfer. None may take more than all daemons may use
// in a window: its length follows from what a caller states of its prompt.
func (s Share) Allows(d time.Duration) bool {
	if d > maxLent {
		return false
	}
	senders := min(int(maxLent/max(d, 1)), max(s.Daemons, 1))
	if s.draw*float64(s.Daemons) >= float64(senders) {
		return false
	}
	return s.used == 0 || s.used+d <= maxLent/time.Duration(senders)
}
