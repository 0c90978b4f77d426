package naive

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/quota"
)

// EqualShare enforces a fixed equal share of a limit in one daemon.
type EqualShare struct {
	limit  int64
	window quota.Window
}

// NewEqualShare returns one daemon's share of a limit divided among daemons.
func NewEqualShare(limit int64, daemons int) *EqualShare {
	return &EqualShare{limit: limit / int64(daemons)}
}

// TryAcquire takes n from the share of the current window, or returns false if the share is
// exhausted.
func (e *EqualShare) TryAcquire(now time.Time, n int64) bool {
	if e.window.Sum(now, quota.WindowSpan)+n > e.limit {
		return false
	}
	e.window.Add(now, n)
	return true
}
