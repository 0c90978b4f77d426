// Package reachability decides from a daemon's own connections whether the daemon can reach the
// servers of a service. It does no I/O and does not read the clock.
package reachability

import "time"

// minUnreached is the number of servers that must be out of reach, without contact with any other
// in between, before the whole service counts as out of reach.
const minUnreached = 2

// maxUnreached bounds the servers remembered per service.
const maxUnreached = 64

const (
	// silenceMemory is how long a service counts as silent before other daemons are asked again.
	silenceMemory = time.Second
	// maxSilence is how long a service may count as silent. After that it is out of reach, so that its
	// requests are refused rather than held.
	maxSilence = 2 * time.Second
)

// Failure is how a connection to a server failed.
type Failure uint8

const (
	// Rejected means that the connection was refused or reset, or that no route leads to the server.
	Rejected Failure = iota
	// TimedOut means that nothing responded in time: the link is cut or the server is silent.
	TimedOut
)

// Finding is what a failure to reach a server shows of its service.
type Finding uint8

const (
	// Unchanged means that the service counts as before.
	Unchanged Finding = iota
	// BecameLost means that the service is out of reach from now on.
	BecameLost
	// InDoubt means that the service is out of reach or its servers are silent. The verdicts of other
	// daemons decide, see Judge.
	InDoubt
	// FoundSilent means that the servers are silent, so that the service stays in reach.
	FoundSilent
)

// Tracker holds the contacts of one daemon with the servers of each service. It is not safe for
// concurrent use. Times are readings of one monotonic clock.
type Tracker struct {
	services map[string]*service
}

type service struct {
	// unreached holds the last failure of the servers that could not be reached since the last contact
	// with any.
	unreached map[string]Failure
	// lost is set while the service is out of reach, since lostAt.
	lost   bool
	lostAt time.Duration
	// inDoubt is set until Judge decides.
	inDoubt bool
	// silent is set once the servers were found silent, first at silentSince and last at silentAt.
	silent                bool
	silentSince, silentAt time.Duration
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

// Unreached records that a server of a service, which has some servers in all, could not be reached.
func (t *Tracker) Unreached(name, server string, servers int, failure Failure, now time.Duration) Finding {
	s := t.services[name]
	if s == nil {
		s = &service{unreached: map[string]Failure{}}
		t.services[name] = s
	}
	if _, known := s.unreached[server]; known || len(s.unreached) < maxUnreached {
		s.unreached[server] = failure
	}
	enough := min(minUnreached, max(1, servers))
	switch {
	case s.lost || len(s.unreached) < enough:
		return Unchanged
	case s.count(Rejected) >= enough:
		s.lost, s.lostAt = true, now
		return BecameLost
	case s.silent && now-s.silentAt < silenceMemory:
		return Unchanged
	}
	s.inDoubt = true
	return InDoubt
}

func (s *service) count(failure Failure) (n int) {
	for _, f := range s.unreached {
		if f == failure {
			n++
		}
	}
	return n
}

// Judge decides on a service that is in doubt, by the verdicts of other daemons on the servers that
// timed out. Without a verdict the service is out of reach, since no daemon is known to reach any server.
func (t *Tracker) Judge(name string, verdicts []Verdict, now time.Duration) Finding {
	s := t.services[name]
	if s == nil || s.lost || !s.inDoubt {
		return Unchanged
	}
	s.inDoubt = false
	if !s.silent {
		s.silentSince = now
	}
	if othersReachNone(verdicts) && now-s.silentSince < maxSilence {
		s.silent, s.silentAt = true, now
		return FoundSilent
	}
	s.lost, s.lostAt = true, now
	return BecameLost
}

// othersReachNone reports whether other daemons, which reach some server, do not reach the ones that
// they were asked about.
func othersReachNone(verdicts []Verdict) bool {
	unreached := false
	for _, v := range verdicts {
		if v == Connected {
			return false
		}
		unreached = unreached || v != Unknown
	}
	return unreached
}

// TimedOutServers returns up to limit servers of a service whose last connection timed out, since the
// last contact with any, in no particular order.
func (t *Tracker) TimedOutServers(name string, limit int) (out []string) {
	s := t.services[name]
	if s == nil {
		return nil
	}
	for server, failure := range s.unreached {
		if failure == TimedOut && len(out) < limit {
			out = append(out, server)
		}
	}
	return out
}

// Lost reports whether a service is out of reach.
func (t *Tracker) Lost(name string) bool {
	s := t.services[name]
	return s != nil && s.lost
}

// Silent reports whether the servers of a service that is in reach were found silent.
func (t *Tracker) Silent(name string) bool {
	s := t.services[name]
	return s != nil && s.silent && !s.lost
}

// SilentServices returns the services that are in reach and whose servers were found silent, in no
// particular order.
func (t *Tracker) SilentServices() (out []string) {
	for name := range t.services {
		if t.Silent(name) {
			out = append(out, name)
		}
	}
	return out
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
