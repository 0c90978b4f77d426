package main

import (
	"fmt"
	"strings"
	"time"
)

// maxRevocationDelay is how long a revoked key may still be accepted.
const maxRevocationDelay = 5 * time.Second

// completeStream returns the body of a complete stream.
func completeStream() string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

// checkCalls returns a description of each violated guarantee: responses that are mixed up or
// truncated, repeated or misreported payments, and the use of revoked keys.
func checkCalls(calls []call, executionCount func(id string) int, revoked map[string]time.Time) []string {
	var violations []string
	report := func(c call, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("request %s: ", c.id)+fmt.Sprintf(format, args...))
	}
	fullBody := completeStream()
	for _, c := range calls {
		executions := executionCount(c.id)
		complete := c.err == nil && c.status == 200
		switch {
		case complete && !strings.HasSuffix(c.seal, "-"+c.id):
			report(c, "answered with the seal %q", c.seal)
		case complete && c.kind == streaming && c.body != fullBody:
			report(c, "a stream looks complete with %q", c.body)
		case complete && c.kind != streaming && c.body != "answer to "+c.id:
			report(c, "answered %q", c.body)
		case c.err != nil && c.kind == streaming && c.status == 200 && !strings.HasPrefix(fullBody, c.body):
			report(c, "a stream that broke off has %q", c.body)
		case c.kind == nonIdempotent && executions > 1:
			report(c, "a payment ran %d times", executions)
		case c.kind == nonIdempotent && executions > 0 && (c.status == 503 || c.status == 429):
			report(c, "answered %d, and it ran", c.status)
		}
		if at, isRevoked := revoked[c.key]; isRevoked && executions > 0 && c.sentAt.After(at.Add(maxRevocationDelay)) {
			report(c, "ran with a key taken away %s before", c.sentAt.Sub(at).Round(time.Millisecond))
		}
	}
	return violations
}

// successRate returns the fraction of calls sent in [from, to) that succeeded, and their
// number. Calls with revoked keys are excluded.
func successRate(calls []call, from, to time.Time, revoked map[string]time.Time) (rate float64, n int) {
	succeeded := 0
	for _, c := range calls {
		if _, isRevoked := revoked[c.key]; isRevoked || c.sentAt.Before(from) || !c.sentAt.Before(to) {
			continue
		}
		n++
		if c.err == nil && c.status == 200 {
			succeeded++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return float64(succeeded) / float64(n), n
}

// countOutcomes counts the calls sent in [from, to) by daemon and status.
func countOutcomes(calls []call, from, to time.Time) map[string]int {
	counts := map[string]int{}
	for _, c := range calls {
		if c.sentAt.Before(from) || !c.sentAt.Before(to) {
			continue
		}
		outcome := fmt.Sprint(c.status)
		if c.err != nil {
			outcome += " broken"
		}
		counts[c.clientAddr+" "+outcome]++
	}
	return counts
}
