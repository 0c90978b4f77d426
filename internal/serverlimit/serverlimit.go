// Package serverlimit keeps the request rates that backend servers state in their responses,
// and divides a rate among the daemons of a fleet. It does no I/O and does not read the clock.
package serverlimit

import (
	"math"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

const (
	// minRate is the least rate, in requests per second, at which requests are sent to a server
	// that states less, as only responses show the end of its limit.
	minRate = 0.5
	// maxRate is the largest rate that is kept.
	maxRate = 1e6
)

// Statement is what a response says about the limit of its server.
type Statement struct {
	Kind StatementKind
	// PerSecond is the stated number of requests per second, for all daemons together. It is
	// set if Kind is Rate.
	PerSecond float64
}

// StatementKind is the kind of a Statement.
type StatementKind int

const (
	// None means that the response states no limit.
	None StatementKind = iota
	// Rate means that the response states a limit, which may be zero.
	Rate
	// Unreadable means that the response states a limit that could not be parsed.
	Unreadable
)

// StatedRate returns the statement of a rate, in requests per second. A rate that is negative or
// not finite is unreadable.
func StatedRate(perSecond float64) Statement {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Statement{Kind: Unreadable}
	}
	return Statement{Rate, perSecond}
}

// Lowest returns the statement with the lower rate. A readable statement takes precedence over
// an unreadable one, and that over none.
func Lowest(a, b Statement) Statement {
	switch {
	case a.Kind == None, a.Kind == Unreadable && b.Kind == Rate, b.Kind == Rate && b.PerSecond < a.PerSecond:
		return b
	}
	return a
}

const (
	// burstAllowance is the number of senders beyond one per request and second. All senders
	// may send at the same moment, so each adds one request to what the rate allows in a window.
	burstAllowance = 2
	// jitterFactor widens the send interval to allow for varying network delay.
	jitterFactor = 1.05
)

// ShareOf divides a rate among the senders of a fleet of daemons. Few daemons send to a server
// with a low rate, so that those who do not know all others exceed it by little.
func ShareOf(perSecond float64, daemons int) slowstart.Share {
	senders := min(max(1, daemons), int(perSecond)+burstAllowance)
	interval := jitterFactor * float64(senders) / max(perSecond, minRate)
	return slowstart.Share{Senders: senders, Interval: time.Duration(interval * float64(time.Second))}
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals before it is spread.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns when a refused caller should return, given the time until a server has
// capacity for a request. Random, in [0, 1), spreads the callers, who would return together.
func RetryAfter(remaining time.Duration, random float64) time.Duration {
	remaining = min(max(remaining, minRetryAfter), maxRetryAfter)
	return remaining + time.Duration(random*float64(remaining))
}
