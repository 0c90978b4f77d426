package flowcontrol

import "time"

const (
	// lostBodiesRetention is how long after the end of requests their bytes count as held by a
	// server that is found to have ended: its connections break before its end is known.
	lostBodiesRetention = 2 * time.Second
	// minEvidence is the least number of bytes held by a server that ended from which its memory may
	// have been the cause.
	minEvidence = 1 << 20
	// boundFraction is the part of the bytes that an ended server held to which its service is bound.
	boundFraction = 0.75
	// boundGrowthTime is the time in which a bound grows by its first value without a further end, and
	// boundLifetime that after which it is forgotten.
	boundGrowthTime = 10 * time.Second
	boundLifetime   = time.Minute
)

// ServerMemory learns how many bytes of bodies of this daemon the servers of one service bear at a
// time. Large requests that meet at one server may exceed its memory, which ends it. The zero value
// is ready to use. It is not safe for concurrent use.
type ServerMemory struct {
	servers map[string]*heldBodies
	// bound was learned at boundAt; 0 means none.
	bound   int64
	boundAt time.Duration
}

// heldBodies are the bodies that a server holds.
type heldBodies struct {
	bytes int64
	// recent is the number of bytes held before the latest decreases, the last at recentAt.
	recent   int64
	recentAt time.Duration
}

// Add records that a server holds n more bytes, or less if n is negative.
func (m *ServerMemory) Add(server string, n int64, now time.Duration) {
	if n == 0 {
		return
	}
	h := m.servers[server]
	if h == nil {
		if m.servers == nil {
			m.servers = map[string]*heldBodies{}
		}
		h = &heldBodies{}
		m.servers[server] = h
	}
	if n < 0 && (h.bytes > h.recent || now-h.recentAt > lostBodiesRetention) {
		h.recent, h.recentAt = h.bytes, now
	}
	h.bytes = max(0, h.bytes+n)
	if h.bytes == 0 {
		m.expire(now)
	}
}

// expire removes the servers that have held nothing lately.
func (m *ServerMemory) expire(now time.Duration) {
	for server, h := range m.servers {
		if h.bytes == 0 && now-h.recentAt > lostBodiesRetention {
			delete(m.servers, server)
		}
	}
}

// Bytes returns the number of bytes that a server holds.
func (m *ServerMemory) Bytes(server string) int64 {
	if h := m.servers[server]; h != nil {
		return h.bytes
	}
	return 0
}

// RecordEnd records that a server has ended by itself. It returns the bytes that it held and whether
// the bound was lowered.
func (m *ServerMemory) RecordEnd(server string, now time.Duration) (held int64, lowered bool) {
	h := m.servers[server]
	if h == nil {
		return 0, false
	}
	held = h.bytes
	if now-h.recentAt <= lostBodiesRetention {
		held = max(held, h.recent)
	}
	bound := int64(boundFraction * float64(held))
	if current := m.Bound(now); held < minEvidence || current > 0 && current <= bound {
		return held, false
	}
	m.bound, m.boundAt = bound, now
	return held, true
}

// Bound returns the number of bytes that a server may hold, or 0 if there is no bound.
func (m *ServerMemory) Bound(now time.Duration) int64 {
	age := now - m.boundAt
	if m.bound == 0 || age >= boundLifetime {
		return 0
	}
	return int64(float64(m.bound) * (1 + float64(age)/float64(boundGrowthTime)))
}

// Admits reports whether a server may get a body of n bytes. One that holds nothing always may.
func (m *ServerMemory) Admits(server string, n int64, now time.Duration) bool {
	bound, held := m.Bound(now), m.Bytes(server)
	return bound == 0 || held == 0 || held+n <= bound
}
