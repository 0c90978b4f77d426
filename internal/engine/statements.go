package engine

import (
	"net/http"
	"time"

	"github.com/dunglas/httpsfv"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// StatementObserver receives what a response to a run or call says about its server. Succeeded
// is set if the server has handled the request, and sentAt is when it was sent.
type StatementObserver func(address string, s serverstatus.Statements, succeeded bool, sentAt time.Time)

// drainingHeader is the response field in which a server states that it terminates after its
// runs.
const drainingHeader = "X-Draining"

// statements returns what a response says about its server.
func statements(status int, header http.Header, now time.Time) serverstatus.Statements {
	out := serverstatus.Statements{Leaving: serverstatus.ParseLeaving(header.Values(drainingHeader)), Limit: statedLimit(header)}
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
	c.ObserveStatements(address, statements(resp.StatusCode, resp.Header, now), succeeded, sentAt)
}
