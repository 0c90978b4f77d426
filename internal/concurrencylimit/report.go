package concurrencylimit

import "time"

const (
	// reportSpread is how long a statement or a rejection is passed on, by the daemon that observed
	// it and by those that learn of it.
	reportSpread = 1500 * time.Millisecond
	// maxReports bounds the reports of rejections in a message.
	maxReports = 64
	// minAdvance is the least time by which a report must be newer than what ended a statement, or
	// than the last one known. The time in the network makes reports look newer than they are,
	// also those that come back.
	minAdvance = 500 * time.Millisecond
)

// Report tells another daemon of a service's statement, or of a rejection if Service is empty.
type Report struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// PerSecond is the stated tolerance of a service.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Server is the hash of the ID of a server that rejected a request, and Base its limit since.
	Server uint64 `cbor:"3,keyasint,omitempty"`
	Base   int    `cbor:"4,keyasint,omitempty"`
	// AgeMillis is the time since the statement or the rejection.
	AgeMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Reports returns the recent statements and rejections.
func (t *Table) Reports(now time.Duration) (out []Report) {
	for name, s := range t.services {
		if age := now - max(s.statedAt, s.reportedAt); t.Limited(name, now) && age <= reportSpread {
			out = append(out, Report{Service: name, PerSecond: s.perSecond, AgeMillis: age.Milliseconds()})
		}
	}
	rejections := 0
	for id, s := range t.servers {
		if age := now - s.rejectedAt; age <= reportSpread && rejections < maxReports {
			rejections++
			out = append(out, Report{Server: id, Base: s.base, AgeMillis: age.Milliseconds()})
		}
	}
	return out
}

// Merge applies the reports of another daemon, and reports whether any was new.
func (t *Table) Merge(reports []Report, now time.Duration) (added bool) {
	for _, r := range reports {
		at := now - time.Duration(max(0, r.AgeMillis))*time.Millisecond
		if now-at > reportSpread {
			continue
		}
		if r.Service != "" {
			added = t.mergeStatement(r, at, now) || added
		} else {
			added = t.mergeRejection(r, at) || added
		}
	}
	return added
}

func (t *Table) mergeStatement(r Report, at, now time.Duration) (began bool) {
	s := t.service(r.Service)
	if at <= max(s.statedAt, s.reportedAt, s.endedAt)+minAdvance {
		return false
	}
	began = !t.Limited(r.Service, now)
	s.perSecond, s.reportedAt = min(max(0, r.PerSecond), maxTolerance), at
	return began
}

// mergeRejection takes a report for another rejection if it is later than the pause after the last one,
// in which the server gets nothing. One within it may be of the same rejection, and look later by
// the time in the network.
func (t *Table) mergeRejection(r Report, at time.Duration) (added bool) {
	s := t.servers[r.Server]
	switch {
	case s == nil, at > s.rejectedAt+rejectionPause:
		t.servers[r.Server] = &server{rejectedAt: at, base: max(1, r.Base)}
		return true
	case at >= s.rejectedAt-episode && r.Base < s.base:
		s.base = max(1, r.Base)
	}
	return false
}

// Sweep drops statements that have ended and the rejections of servers whose limit has grown back.
func (t *Table) Sweep(now time.Duration) {
	for name, s := range t.services {
		if now-max(s.statedAt, s.endedAt, s.reportedAt) > statementRetention {
			delete(t.services, name)
		}
	}
	for id, s := range t.servers {
		if now-s.rejectedAt > growthSteps*slowGrowthInterval {
			delete(t.servers, id)
		}
	}
}

// Len returns the number of services and servers in the table.
func (t *Table) Len() int { return len(t.services) + len(t.servers) }
