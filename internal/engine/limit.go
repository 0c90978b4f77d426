package engine

import (
	"net/http"
	"time"

	"github.com/dunglas/httpsfv"

	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
)

// LimitObserver receives what a response to a run or call says about the server's limit. SentAt
// is when the request was sent. A response without a statement is only passed if it succeeded:
// others may be written by something that does not know the limit.
type LimitObserver func(address string, s serverlimit.Statement, sentAt time.Time)

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

func (c *Client) observeLimit(address string, sentAt time.Time, header http.Header, ok bool) {
	s := statedLimit(header)
	if c.ObserveLimit != nil && (ok || s.Kind != serverlimit.None) {
		c.ObserveLimit(address, s, sentAt)
	}
}
