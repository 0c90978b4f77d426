package request

import "time"

const (
	// usableReserveFraction keeps a margin for daemons that have joined and are not counted by all
	// others yet.
	usableReserveFraction = 0.6
	// peakRetention is how long a daemon counts others that it no longer sees. It may be cut off
	// from them, while they go on using their parts.
	peakRetention = 10 * time.Minute
)

// ReserveShare is one daemon's part of a reserve of retries that all daemons share for a window. It
// needs no communication: the parts add up to less than the reserve although daemons restart, or
// are cut off from each other. Times are readings of a monotonic clock that began at the
// daemon's start.
type ReserveShare struct {
	// Reserve is the number of retries in any Window, for all daemons together.
	Reserve float64
	Window  time.Duration

	peak   int
	peakAt time.Duration
}

// Part returns this daemon's part, given the number of daemons that it sees, itself included. It
// has none in the first window after its start, as its predecessor may have used it, and none as
// long as it has seen no other daemon, from which it may be cut off.
func (s *ReserveShare) Part(daemons int, now time.Duration) float64 {
	if daemons >= s.peak || now-s.peakAt > peakRetention {
		s.peak, s.peakAt = max(1, daemons), now
	}
	if now < s.Window || s.peak == 1 {
		return 0
	}
	return usableReserveFraction * s.Reserve / float64(s.peak)
}
