// Package reachability decides from a daemon's own connections whether the daemon can reach the
// servers of a service. It does no I/O and does not read the clock.
package reachability

import "time"

// minUnreached is the number of servers that must be out of reach, without contact with any other
// in between, before the whole service counts as out of reach.
const minUnreached = 2

// maxUnreached bounds the servers remembered per service.
const maxUnreached = 64

// Tracker holds the contacts of one daemon with the servers of each service. It is not safe for
// concurrent use. Times are readings of one monotonic clock.
type Tracker struct {
	services map[string]*service
}

type service struct {
	// unreached holds the servers that could not be reached since the last contact with any.
	unreached map[string]bool
	// lost is set while the service is out of reach, since lostAt.
	lost   bool
	lostAt time.Duration
}

// NewTracker returns a tracker for which every service is in reach.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

// Reached records contact with a server of a service. It returns whether the service was out of
// reach until now, and for how long.
func (t *Tracker) Reached(name string, now time.Duration) (regained bool, lostFor time.Duration) {
	s := t.services[name]
	if s == nil {
		return false, 0
	}
	delete(t.services, name)
	return s.lost, now - s.lostAt
}

// Unreached records that a server of a service, which has some servers in all, could not be
// reached. It returns whether the service is out of reach from now on.
func (t *Tracker) Unreached(name, server string, servers int, now time.Duration) (lost bool) {
	s := t.services[name]
	if s == nil {
		s = &service{unreached: map[string]bool{}}
		t.services[name] = s
	}
	if len(s.unreached) < maxUnreached {
		s.unreached[server] = true
	}
	if s.lost || len(s.unreached) < min(minUnreached, max(1, servers)) {
		return false
	}
	s.lost, s.lostAt = true, now
	return true
}

// Lost reports whether a service is out of reach.
func (t *Tracker) Lost(name string) bool {
	s := t.services[name]
	return s != nil && s.lost
}

// LostServices returns the services that are out of reach, in no particular order.
func (t *Tracker) LostServices() (out []string) {
	for name, s := range t.services {
		if s.lost {
			out = append(out, name)
		}
	}
	return out
}

// UnreachedServers returns the number of servers of a service that could not be reached since the
// last contact with any.
func (t *Tracker) UnreachedServers(name string) int {
	if s := t.services[name]; s != nil {
		return len(s.unreached)
	}
	return 0
}
