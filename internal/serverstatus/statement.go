// Package serverstatus keeps what backend servers state about themselves in their responses: that
// they leave, and that they want no requests for a while. It does no I/O and does not read the
// clock.
package serverstatus

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// Kind classifies a statement.
type Kind uint8

// The zero value states nothing.
const (
	// None: the response states nothing.
	None Kind = iota
	// Stated: the response has a readable statement.
	Stated
	// Unreadable: the response has a statement that cannot be parsed.
	Unreadable
)

// Statements is what a response says about its server.
type Statements struct {
	// Leaving states that the server finishes its requests and terminates.
	Leaving Kind
	// Pause states how long the server wants no requests from this daemon.
	Pause Pause
	// Limit is the number of requests per second that the server accepts from all daemons.
	Limit serverlimit.Statement
	// Tolerance is the number of rejections in a second that the server survives.
	Tolerance Tolerance
	// Replaced is set if another server responded, at the address of the expected one.
	Replaced bool
}

// Pause is a server's statement that it wants no requests from this daemon for a while.
type Pause struct {
	Kind     Kind
	Duration time.Duration
}

// Tolerance is a server's statement that it terminates if it rejects more requests in a second for
// want of room.
type Tolerance struct {
	Kind      Kind
	PerSecond float64
}

// ParseTolerance parses the values of a field that states a tolerance. The lowest of several readable
// values applies.
func ParseTolerance(values []string) (lowest Tolerance) {
	for _, value := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		switch {
		case err != nil || math.IsNaN(perSecond) || perSecond < 0:
			if lowest.Kind == None {
				lowest.Kind = Unreadable
			}
		case lowest.Kind != Stated || perSecond < lowest.PerSecond:
			lowest = Tolerance{Stated, perSecond}
		}
	}
	return lowest
}

// maxPause is the longest pause that is kept. Longer ones are shortened to it.
const maxPause = 30 * 24 * time.Hour

// ParseRetryAfter parses the values of a Retry-After field: a number of seconds, which may have a
// fraction, or a date. The longest of several readable values applies. Now is the time of the
// response by the clock of the server.
func ParseRetryAfter(values []string, now time.Time) (longest Pause) {
	for _, value := range values {
		pause := parsePause(strings.TrimSpace(value), now)
		if longest.Kind != Stated || pause.Kind == Stated && pause.Duration > longest.Duration {
			longest = pause
		}
	}
	return longest
}

func parsePause(value string, now time.Time) Pause {
	if date, err := http.ParseTime(value); err == nil {
		return Pause{Stated, min(max(0, date.Sub(now)), maxPause)}
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return Pause{Kind: Unreadable}
	}
	return Pause{Stated, time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))}
}

// ParseLeaving parses the values of a field that states with 1 or true that a server leaves.
func ParseLeaving(values []string) (kind Kind) {
	for _, value := range values {
		leaving, err := strconv.ParseBool(strings.TrimPrefix(strings.TrimSpace(value), "?"))
		switch {
		case err != nil:
			kind = max(kind, Unreadable)
		case leaving:
			return Stated
		}
	}
	return kind
}
