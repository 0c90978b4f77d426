package engine

import (
	"net/http"
	"time"

	"github.com/dunglas/httpsfv"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// StatementObserver receives what a response to a run or call says about its server. SentAt
// is when the request was sent.
type StatementObserver func(address string, s serverstatus.Statements, o Outcome, sentAt time.Time)

// Outcome is what a server did with a request.
type Outcome uint8

const (
	// Failed means that the server has failed or refused the request.
	Failed Outcome = iota
	// Succeeded means that the server has handled the request.
	Succeeded
	// Rejected means that the server had no room for the request.
	Rejected
)

// outcomeOf returns the outcome that a response states.
func outcomeOf(status int, header http.Header, succeeded bool) Outcome {
	switch {
	case succeeded:
		return Succeeded
	case status == http.StatusServiceUnavailable && header.Get("X-Started") == "false":
		return Rejected
	}
	return Failed
}

// drainingHeader is the response field in which a server states that it terminates after its
// runs.
const drainingHeader = "X-Draining"

// toleranceHeader is the response field in which a server states how many rejections in a second it
// survives.
const toleranceHeader = "X-Rejection-Tolerance"

// statements returns what a response says about its server.
func statements(status int, header http.Header, now time.Time) serverstatus.Statements {
	out := serverstatus.Statements{
		Leaving: serverstatus.ParseLeaving(header.Values(drainingHeader)), Limit: statedLimit(header),
		Tolerance: serverstatus.ParseTolerance(header.Values(toleranceHeader)),
	}
	if status == http.StatusServiceUnavailable {
		out.Pause = serverstatus.ParseRetryAfter(header.Values("Retry-After"), now)
	}
	return out
}

// limitHeader is the response field in which a server states its limits, see
// draft-ietf-httpapi-ratelimit-headers.
const limitHeader = "RateLimit-Policy"

// statedLimit returns the lowest rate of a response's policies. A policy without a window states
// no rate.
func statedLimit(header http.Header) (lowest serverlimit.Statement) {
	values := header.Values(limitHeader)
	if len(values) == 0 {
		return lowest
	}
	policies, err := httpsfv.UnmarshalList(values)
	if err != nil {
		return serverlimit.Statement{Kind: serverlimit.Unreadable}
	}
	for _, member := range policies {
		lowest = serverlimit.Lowest(lowest, policyRate(member))
	}
	return lowest
}

// policyRate returns the rate of one policy.
func policyRate(member httpsfv.Member) serverlimit.Statement {
	item, ok := member.(httpsfv.Item)
	if !ok {
		return serverlimit.Statement{Kind: serverlimit.Unreadable}
	}
	if _, any := item.Params.Get("w"); !any {
		return serverlimit.Statement{}
	}
	quota, window := intParam(item, "q"), intParam(item, "w")
	if quota < 0 || window <= 0 {
		return serverlimit.Statement{Kind: serverlimit.Unreadable}
	}
	return serverlimit.StatedRate(float64(quota) / float64(window))
}

// intParam returns a parameter of a policy, or -1 if it is not an integer.
func intParam(item httpsfv.Item, name string) int64 {
	value, _ := item.Params.Get(name)
	if n, ok := value.(int64); ok {
		return n
	}
	return -1
}

// observe passes what a response says about its server to the observer.
func (c *Client) observe(address string, sentAt time.Time, resp *http.Response, succeeded bool) {
	if c.ObserveStatements == nil {
		return
	}
	now := time.Now()
	if date, err := http.ParseTime(resp.Header.Get("Date")); err == nil {
		now = date
	}
	c.ObserveStatements(address, statements(resp.StatusCode, resp.Header, now), outcomeOf(resp.StatusCode, resp.Header, succeeded), sentAt)
}
