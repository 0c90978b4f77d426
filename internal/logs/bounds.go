package logs

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxValueBytes is the longest value of a line that a client has chosen.
	maxValueBytes = 256
	// linesPerSecond and lineBurst bound the lines of a Limiter.
	linesPerSecond = 5
	lineBurst      = 20
)

// Bounded returns the start of a value that a client has chosen, for a log line: long ones take more time
// to format than their requests to serve.
func Bounded(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return value[:maxValueBytes] + "..."
}

// Limiter bounds the lines about an event of which clients choose the number. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	lines   *rate.Limiter
	omitted int
	now     func() time.Time
}

// NewLimiter returns a limiter.
func NewLimiter() *Limiter {
	return &Limiter{lines: rate.NewLimiter(linesPerSecond, lineBurst), now: time.Now}
}

// Allow reports whether the event is to be logged, and how many were not since the last one that was.
func (l *Limiter) Allow() (allowed bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lines.AllowN(l.now(), 1) {
		l.omitted++
		return false, 0
	}
	omitted, l.omitted = l.omitted, 0
	return true, omitted
}
