package naive

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/quota"
)

// EqualShare gives each of n daemons a fixed 1/n of a limit.
type EqualShare struct {
	limit  int64
	window quota.Window
}

// NewEqualShare returns the share of one daemon.
func NewEqualShare(limit int64, daemons int) *EqualShare {
	return &EqualShare{limit: limit / int64(daemons)}
}

// TryAcquire takes n from the share if it is there.
func (e *EqualShare) TryAcquire(now time.Time, n int64) bool {
	if e.window.Sum(now, quota.WindowSpan)+n > e.limit {
		return false
	}
	e.window.Add(now, n)
	return true
}
