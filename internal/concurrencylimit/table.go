// Package concurrencylimit bounds the requests that all daemons together have in flight at a
// backend server while its service states that its servers tolerate few rejections. A server that
// rejects more terminates. The package does no I/O and does not read the clock.
package concurrencylimit

import "time"

const (
	// statementRetention is how long a statement holds without another one of the service, and
	// reportRetention how long one that only other daemons have observed.
	statementRetention = 30 * time.Second
	reportRetention    = 5 * time.Second
	// responsesToEnd is the number of successive responses of a server without the statement that
	// end it. A single one may be older than the statement.
	responsesToEnd = 2
	// rejectionPause is how long a server that rejected a request gets none.
	rejectionPause = time.Second
	// episode is the time in which rejections of a server are those of one excess.
	episode = 300 * time.Millisecond
	// growthInterval is the time between two increases of a lowered limit, and slowGrowthInterval
	// that for servers that tolerate less than minTolerance rejections a second.
	growthInterval     = 2 * time.Second
	slowGrowthInterval = 10 * time.Second
	minTolerance       = 2
	// growthSteps is the number of increases from zero to the limit of a server without rejections.
	growthSteps = 8
	// maxTolerance is the largest tolerance in rejections a second that is kept.
	maxTolerance = 1e6
)

// Table holds the statements of services and the rejections of servers. It is not safe for
// concurrent use. Times are readings of one monotonic clock.
type Table struct {
	services map[string]*service
	servers  map[uint64]*server
}

type service struct {
	// perSecond is the number of rejections that a server tolerates in a second.
	perSecond float64
	// stating holds the servers whose responses have the statement, by the hash of their ID, with
	// the number of successive responses without it.
	stating map[uint64]int
	// statedAt is the time of the last statement, and endedAt when the last stating server had none.
	statedAt, endedAt time.Duration
	// reportedAt is the time of the last statement that another daemon has reported.
	reportedAt time.Duration
}

type server struct {
	rejectedAt time.Duration
	// base is the limit after the rejection.
	base int
}

// NewTable returns a table without statements.
func NewTable() *Table { return &Table{services: map[string]*service{}, servers: map[uint64]*server{}} }

// ObserveStatement records that a response of a server stated its tolerance in rejections per second,
// which applies to all servers of its service. It reports whether these had no limits before.
func (t *Table) ObserveStatement(name string, id uint64, perSecond float64, now time.Duration) (began bool) {
	began = !t.Limited(name, now)
	s := t.service(name)
	s.perSecond, s.statedAt = min(max(0, perSecond), maxTolerance), now
	s.stating[id] = 0
	return began
}

// ObserveNoStatement records that a response of a server had no statement. It reports whether that
// ends the limits of its service.
func (t *Table) ObserveNoStatement(name string, id uint64, now time.Duration) (ended bool) {
	s := t.services[name]
	if s == nil {
		return false
	}
	without, stating := s.stating[id]
	if !stating {
		return false
	}
	if s.stating[id] = without + 1; s.stating[id] < responsesToEnd {
		return false
	}
	delete(s.stating, id)
	if len(s.stating) > 0 {
		return false
	}
	s.endedAt = now
	return true
}

// service returns the entry of a service, which it adds if it is new.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{stating: map[uint64]int{}, statedAt: never, endedAt: never, reportedAt: never}
		t.services[name] = s
	}
	return s
}

// never is before all times.
const never = -time.Duration(1 << 60)

// Limited reports whether the servers of a service have limits.
func (t *Table) Limited(name string, now time.Duration) bool {
	s := t.services[name]
	if s == nil {
		return false
	}
	observed := len(s.stating) > 0 && now-s.statedAt <= statementRetention
	return observed || now-s.reportedAt <= reportRetention && s.reportedAt > s.endedAt
}

// LimitedServices counts the services whose servers have limits.
func (t *Table) LimitedServices(now time.Duration) (n int) {
	for name := range t.services {
		if t.Limited(name, now) {
			n++
		}
	}
	return n
}

// ObserveRejection records that a server with a number of slots rejected a request for want of room,
// with a number of known requests in flight there. It reports whether that is news.
func (t *Table) ObserveRejection(name string, id uint64, slots, inFlight int, now time.Duration) (news bool) {
	if !t.Limited(name, now) {
		return false
	}
	if s := t.servers[id]; s != nil && now-s.rejectedAt <= episode {
		return false
	}
	base := t.bound(name, id, slots, now)
	if inFlight <= base {
		// The server has less room than the limit. Otherwise requests from before the limit fill it.
		base = max(1, base/2)
	}
	t.servers[id] = &server{rejectedAt: now, base: base}
	return true
}

// Limit returns the number of requests that all daemons may have in flight at a server with a number
// of slots, whose service must be limited.
func (t *Table) Limit(name string, id uint64, slots int, now time.Duration) int {
	if t.PauseRemaining(id, now) > 0 {
		return 0
	}
	return t.bound(name, id, slots, now)
}

// PauseRemaining returns the time until a server that rejected a request gets one again.
func (t *Table) PauseRemaining(id uint64, now time.Duration) time.Duration {
	if s := t.servers[id]; s != nil {
		return max(0, s.rejectedAt+rejectionPause-now)
	}
	return 0
}

// bound returns the limit of a server without regard to its pause.
func (t *Table) bound(name string, id uint64, slots int, now time.Duration) int {
	slots = max(1, slots)
	s := t.servers[id]
	if s == nil {
		return slots
	}
	interval := growthInterval
	if t.services[name].perSecond < minTolerance {
		interval = slowGrowthInterval
	}
	steps := int((now - s.rejectedAt) / interval)
	return min(slots, s.base+steps*max(1, slots/growthSteps))
}

// Share returns the part of a limit of the daemon with a rank among a number of daemons.
func Share(limit, rank, daemons int) int {
	daemons = max(1, daemons)
	share := limit / daemons
	if rank < limit%daemons {
		share++
	}
	return share
}
