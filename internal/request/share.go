package request

import "time"

// shareBuckets is how finely a window is divided.
const shareBuckets = 50

// WindowedRetryBudget is one daemon's part of a limit on repeats that all daemons keep
// together: in any window, repeats for a service stay under ratio times the first
// sends plus a reserve. Each daemon keeps ratio to its own first sends and an
// even part of the reserve, so the sum over all daemons keeps the limit without
// a word between them, also while daemons come and go. Times are readings of a steady
// clock: when the time of day jumps ahead by some seconds, repeats of the last window
// would be forgotten and made again.
type WindowedRetryBudget struct {
	// Window is the span of the limit.
	Window time.Duration
	// Ratio is the repeats allowed for one first send.
	Ratio float64
	// Reserve is the repeats allowed beyond that.
	Reserve float64

	buckets [shareBuckets]struct {
		slot           int64
		first, repeats float64
	}
}

// shareMargin is the part of the ratio that is used. The limit holds for any
// window while Share counts in steps of a tenth of one, and a repeat reaches the
// server a little later than it was counted.
const shareMargin = 0.95

// slot numbers the part of a window in which a time lies, from 1 on: 0 marks buckets
// that were never used.
func (s *WindowedRetryBudget) slot(now time.Duration) int64 {
	return 1 + int64(now/(s.Window/shareBuckets))
}

func (s *WindowedRetryBudget) bucket(now time.Duration) *struct {
	slot           int64
	first, repeats float64
} {
	n := s.slot(now)
	b := &s.buckets[n%shareBuckets]
	if b.slot != n {
		b.slot, b.first, b.repeats = n, 0, 0
	}
	return b
}

// Deposit records a request's first send.
func (s *WindowedRetryBudget) Deposit(now time.Duration) { s.bucket(now).first++ }

// Room returns how many repeats may be made now.
func (s *WindowedRetryBudget) Room(now time.Duration) float64 {
	newest := s.slot(now)
	first, repeats := 0.0, 0.0
	for _, b := range s.buckets {
		if b.slot > 0 && newest-b.slot < shareBuckets {
			first += b.first
			repeats += b.repeats
		}
	}
	return shareMargin*s.Ratio*first + s.Reserve - repeats
}

// TryWithdraw spends one repeat if there is room beyond keep.
func (s *WindowedRetryBudget) TryWithdraw(now time.Duration, keep float64) bool {
	if s.Room(now) < 1+keep {
		return false
	}
	s.bucket(now).repeats++
	return true
}
