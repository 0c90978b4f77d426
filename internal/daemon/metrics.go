package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the daemon's counters; docs/METRICS.md explains each.
type metrics struct {
	scope          tally.Scope
	requests       tally.Counter
	answered       tally.Counter
	attempts       tally.Counter
	retries        tally.Counter
	resumes        tally.Counter
	framesDropped  tally.Counter
	lastCheck      tally.Counter
	escalations    tally.Counter
	peerBytes      tally.Counter
	peerRefused    tally.Counter
	peerCalls      tally.Counter
	logAppends     tally.Counter
	logErrors      tally.Counter
	billed         tally.Counter
	unprotected    tally.Counter
	adopted        tally.Counter
	ordersSent     tally.Counter
	pinsMoved      tally.Counter
	configNumber   tally.Gauge
	inFlight       tally.Gauge
	usagePending   tally.Gauge
	membersAlive   tally.Gauge
	firstToken     tally.Histogram
	braked         tally.Counter
	claimsLost     tally.Counter
	limitsHomeless tally.Counter
	serversEnded   tally.Counter
	requestsHeld   tally.Gauge
	panics         tally.Counter
}

// MetricDescriptions lists every counter, gauge and histogram in use with its meaning.
func MetricDescriptions() map[string]string {
	return map[string]string{
		"requests":             "Requests accepted for routing.",
		"answered":             "Requests answered in full.",
		"attempts":             "Runs sent to backend servers.",
		"retries":              "Attempts after the first one of a request.",
		"resumes":              "Streams continued on a new connection.",
		"frames_dropped":       "Frames dropped as foreign, repeated, after a gap or after the end.",
		"last_check_refused":   "Attempts stopped right before dispatch because the version is no longer allowed.",
		"escalations":          "Cascade answers of the cheap model that did not stand.",
		"peer_bytes":           "Bytes sent to and received from other daemons.",
		"peer_refused":         "Peer connections without the right key.",
		"peer_calls":           "Calls made to other daemons.",
		"log_appends":          "Append calls to the log service.",
		"log_errors":           "Calls to the log service that failed or lost their reply.",
		"billed":               "Usage records written.",
		"billing_unprotected":  "Answers withheld because neither the log nor a keeper took the usage record.",
		"usage_adopted":        "Usage records of lost daemons appended by their keeper.",
		"orders_sent":          "Load and unload orders to backend servers.",
		"session_pins_moved":   "Sessions moved off a withdrawn version.",
		"rollout_braked":       "Times this daemon stopped using a new version on its own evidence.",
		"claims_lost":          "Claims of idempotency keys that another request held.",
		"limits_homeless":      "Lease requests that no home answered.",
		"configuration_number": "Configuration number in force.",
		"in_flight":            "Requests being served.",
		"usage_pending":        "Usage records the log has not confirmed.",
		"members_alive":        "Daemons believed alive, this one included.",
		"first_token_seconds":  "Time to the first token.",
		"servers_ended":        "Backend servers that ended with requests of this daemon.",
		"panics":               "Panics of handlers, each a defect; their lines have the stack.",
		"requests_held":        "Requests that are kept from servers because servers ended that ran them.",
		"refusals":             "Refusals, tagged by kind.",
	}
}

var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 18)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:          s,
		requests:       s.Counter("requests"),
		answered:       s.Counter("answered"),
		attempts:       s.Counter("attempts"),
		retries:        s.Counter("retries"),
		resumes:        s.Counter("resumes"),
		framesDropped:  s.Counter("frames_dropped"),
		lastCheck:      s.Counter("last_check_refused"),
		escalations:    s.Counter("escalations"),
		peerBytes:      s.Counter("peer_bytes"),
		peerRefused:    s.Counter("peer_refused"),
		peerCalls:      s.Counter("peer_calls"),
		logAppends:     s.Counter("log_appends"),
		logErrors:      s.Counter("log_errors"),
		billed:         s.Counter("billed"),
		unprotected:    s.Counter("billing_unprotected"),
		adopted:        s.Counter("usage_adopted"),
		ordersSent:     s.Counter("orders_sent"),
		pinsMoved:      s.Counter("session_pins_moved"),
		braked:         s.Counter("rollout_braked"),
		claimsLost:     s.Counter("claims_lost"),
		limitsHomeless: s.Counter("limits_homeless"),
		serversEnded:   s.Counter("servers_ended"),
		requestsHeld:   s.Gauge("requests_held"),
		panics:         s.Counter("panics"),
		configNumber:   s.Gauge("configuration_number"),
		inFlight:       s.Gauge("in_flight"),
		usagePending:   s.Gauge("usage_pending"),
		membersAlive:   s.Gauge("members_alive"),
		firstToken:     s.Histogram("first_token_seconds", firstTokenBuckets),
	}
}

// RecordRefusal counts a refusal by kind.
func (d *Daemon) RecordRefusal(kind string) {
	d.metrics.scope.Tagged(map[string]string{"kind": kind}).Counter("refusals").Inc(1)
}
