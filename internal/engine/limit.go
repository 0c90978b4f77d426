package engine

import (
	"net/http"
	"time"

	"github.com/dunglas/httpsfv"
)

// LimitObserver receives the request rate that a server states in a response to a run or call,
// in requests per second, or zero if it states none. SentAt is when the request was sent.
type LimitObserver func(address string, perSecond float64, sentAt time.Time)

// limitHeader is the response field in which a server states its limits, see
// draft-ietf-httpapi-ratelimit-headers.
const limitHeader = "RateLimit-Policy"

// statedLimit returns the lowest rate of a response's policies, in requests per second, or
// zero if there is none. A policy without a window states no rate.
func statedLimit(header http.Header) (lowest float64) {
	policies, err := httpsfv.UnmarshalList(header.Values(limitHeader))
	if err != nil {
		return 0
	}
	for _, member := range policies {
		item, ok := member.(httpsfv.Item)
		if !ok {
			continue
		}
		quota, window := intParam(item, "q"), intParam(item, "w")
		if quota <= 0 || window <= 0 {
			continue
		}
		if rate := float64(quota) / float64(window); lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

func intParam(item httpsfv.Item, name string) int64 {
	value, _ := item.Params.Get(name)
	n, _ := value.(int64)
	return n
}

func (c *Client) observeLimit(address string, sentAt time.Time, header http.Header) {
	if c.ObserveLimit != nil {
		c.ObserveLimit(address, statedLimit(header), sentAt)
	}
}
