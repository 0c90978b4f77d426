package serverstatus

import "time"

const (
	// returnRate is the number of requests per second that all daemons together send to a server
	// after its pause. It doubles every returnStep until returnPeriod has passed.
	returnRate   = 16
	returnStep   = 500 * time.Millisecond
	returnPeriod = 2500 * time.Millisecond
)

// pause is the last pause that a server asked for.
type pause struct{ askedAt, until time.Duration }

// Pauses holds the servers that want no requests from this daemon, by the hash of their name, as a
// server that restarts may still be in need. Only time ends a pause. Times are readings of a
// clock that advances while the VM is suspended. Pauses are not safe for concurrent use.
type Pauses struct{ entries map[uint64]*pause }

// NewPauses returns an empty set.
func NewPauses() *Pauses { return &Pauses{map[uint64]*pause{}} }

// Observe applies a statement that a server wants a pause and returns by how much it prolongs the server's pause. Of
// overlapping pauses the later end counts.
func (ps *Pauses) Observe(server uint64, duration, now time.Duration) (prolonged time.Duration) {
	until := now + duration
	p := ps.entries[server]
	if p == nil {
		if duration <= 0 {
			return 0
		}
		ps.entries[server] = &pause{now, until}
		return duration
	}
	prolonged = until - max(p.until, now)
	if prolonged <= 0 {
		return 0
	}
	p.askedAt, p.until = now, until
	return prolonged
}

// Remaining returns the remaining pause of a server, or zero.
func (ps *Pauses) Remaining(server uint64, now time.Duration) time.Duration {
	if len(ps.entries) == 0 {
		return 0
	}
	if p := ps.entries[server]; p != nil {
		return max(0, p.until-now)
	}
	return 0
}

// AskedAt returns when a server last prolonged its pause, and whether it is known.
func (ps *Pauses) AskedAt(server uint64) (time.Duration, bool) {
	p := ps.entries[server]
	if p == nil {
		return 0, false
	}
	return p.askedAt, true
}

// ReturnRate returns the number of requests per second that all daemons together send to a server
// whose pause has ended, and whether there is such a limit. Without one, the daemons would
// return all at the same moment.
func (ps *Pauses) ReturnRate(server uint64, now time.Duration) (perSecond float64, limited bool) {
	if len(ps.entries) == 0 {
		return 0, false
	}
	p := ps.entries[server]
	if p == nil || now >= p.until+returnPeriod {
		return 0, false
	}
	return returnRate * float64(int(1)<<(max(0, now-p.until)/returnStep)), true
}

// Count returns the number of servers that want no requests.
func (ps *Pauses) Count(now time.Duration) (n int) {
	for _, p := range ps.entries {
		if now < p.until {
			n++
		}
	}
	return n
}

// Len returns the number of servers with a pause that has not been removed.
func (ps *Pauses) Len() int { return len(ps.entries) }

// Sweep removes the pauses that have ended, and returns the servers.
func (ps *Pauses) Sweep(now time.Duration) (removed []uint64) {
	for server, p := range ps.entries {
		if now >= p.until+returnPeriod {
			delete(ps.entries, server)
			removed = append(removed, server)
		}
	}
	return removed
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals before it is spread over
	// up to retryAfterSpread.
	minRetryAfter    = 100 * time.Millisecond
	maxRetryAfter    = 10 * time.Second
	retryAfterSpread = time.Second
)

// RetryAfter returns when a refused caller should return, given the time until a server's pause
// ends. Random, in [0, 1), spreads the callers, who would return together.
func RetryAfter(remaining time.Duration, random float64) time.Duration {
	remaining = min(max(remaining, minRetryAfter), maxRetryAfter)
	return remaining + time.Duration(random*float64(min(remaining, retryAfterSpread)))
}
