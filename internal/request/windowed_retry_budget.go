package request

import "time"

// budgetBuckets is the number of buckets per window.
const budgetBuckets = 50

const (
	// retryAdvance is the period whose first sends bound a burst of retries, and minRetryAdvance the
	// least bound, as a number of retries.
	retryAdvance    = 3 * time.Second
	minRetryAdvance = 2
	// startCredit is the part of a first send that pays for retries in the first window of a daemon. The
	// rest covers retries that the daemon's predecessor may have sent in advance.
	startCredit = 0.8
)

// WindowedRetryBudget is one daemon's share of a limit on all daemons: in any window, the
// retries for a service stay below Ratio times the first sends plus a reserve. Each daemon
// uses its own first sends and an equal share of the reserve, so that no communication is
// needed. The retries of a daemon that has ended are known to nobody: what it may have sent in advance is
// bounded, and the next daemon in its place makes up for it. Times are readings of a monotonic clock that
// began at the daemon's start.
type WindowedRetryBudget struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per first send.
	Ratio float64
	// Reserve is the number of retries allowed in addition.
	Reserve float64

	buckets [budgetBuckets]struct {
		slot            int64
		firsts, retries float64
	}
}

// budgetMargin is the part of Ratio that is used. It covers the bucket width and the
// delay between withdrawing a retry and its arrival at the server.
const budgetMargin = 0.95

// slot returns the number of the bucket interval that contains a time. It starts at 1,
// since 0 marks a bucket that was never used.
func (w *WindowedRetryBudget) slot(now time.Duration) int64 {
	return 1 + int64(now/(w.Window/budgetBuckets))
}

func (w *WindowedRetryBudget) bucket(now time.Duration) *struct {
	slot            int64
	firsts, retries float64
} {
	slot := w.slot(now)
	b := &w.buckets[slot%budgetBuckets]
	if b.slot != slot {
		b.slot, b.firsts, b.retries = slot, 0, 0
	}
	return b
}

// Deposit credits the budget for the first send of a request.
func (w *WindowedRetryBudget) Deposit(now time.Duration) {
	credit := 1.0
	if now < w.Window {
		credit = startCredit
	}
	w.bucket(now).firsts += credit
}

// Available returns the number of retries that may be sent now.
func (w *WindowedRetryBudget) Available(now time.Duration) float64 {
	recent := int64(retryAdvance / (w.Window / budgetBuckets))
	return w.Reserve + min(w.unused(now, budgetBuckets, 0), w.unused(now, recent, minRetryAdvance))
}

// unused returns the retries that the first sends of the last buckets pay for, or a minimum, less those sent.
func (w *WindowedRetryBudget) unused(now time.Duration, buckets int64, minimum float64) float64 {
	newest := w.slot(now)
	firsts, retries := 0.0, 0.0
	for _, b := range w.buckets {
		if b.slot > 0 && newest-b.slot < buckets {
			firsts += b.firsts
			retries += b.retries
		}
	}
	return max(minimum, budgetMargin*w.Ratio*firsts) - retries
}

// TryWithdraw withdraws one retry if at least keep remain available afterwards, and
// reports whether it did.
func (w *WindowedRetryBudget) TryWithdraw(now time.Duration, keep float64) bool {
	if w.Available(now) < 1+keep {
		return false
	}
	w.bucket(now).retries++
	return true
}
