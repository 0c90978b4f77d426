package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// metrics holds the metrics of a daemon. MetricDescriptions describes them.
type metrics struct {
	scope               tally.Scope
	requests            tally.Counter
	answered            tally.Counter
	attempts            tally.Counter
	retries             tally.Counter
	resumes             tally.Counter
	framesDropped       tally.Counter
	lastCheckRefused    tally.Counter
	escalations         tally.Counter
	peerBytes           tally.Counter
	peerRefused         tally.Counter
	peerCalls           tally.Counter
	logAppends          tally.Counter
	logErrors           tally.Counter
	billed              tally.Counter
	billingUnprotected  tally.Counter
	usageAdopted        tally.Counter
	ordersSent          tally.Counter
	sessionPinsMoved    tally.Counter
	configurationNumber tally.Gauge
	inFlight            tally.Gauge
	usagePending        tally.Gauge
	membersAlive        tally.Gauge
	firstToken          tally.Histogram
	versionsSuspended   tally.Counter
	claimsLost          tally.Counter
	leaseRequestsFailed tally.Counter
	serversTerminated   tally.Counter
	serversLimited      tally.Gauge
	unreadableLimits    tally.Counter
	// unreadableStatements counts unreadable statements other than limits.
	unreadableStatements tally.Counter
	serversLeaving       tally.Gauge
	serversPaused        tally.Gauge
	pauses               tally.Counter
	requestsHeld         tally.Gauge
	poolsOutOfReach      tally.Gauge
	forwards             tally.Counter
	forwardedRequests    tally.Counter
	panics               tally.Counter
}

// MetricDescriptions returns the description of every registered metric by name.
func MetricDescriptions() map[string]string {
	return map[string]string{
		"requests":                     "Requests accepted for routing.",
		"answered":                     "Requests completed successfully.",
		"attempts":                     "Attempts sent to backend servers.",
		"retries":                      "Attempts of a request after the first one.",
		"resumes":                      "Streams continued on a new connection.",
		"frames_dropped":               "Frames dropped because they belong to another run, are duplicates, or follow a gap or the end of the stream.",
		"last_check_refused":           "Attempts stopped immediately before dispatch because the version is no longer allowed.",
		"escalations":                  "Cascade responses of the cheap model that were not accepted.",
		"peer_bytes":                   "Bytes sent to and received from other daemons.",
		"peer_refused":                 "Peer connections that failed authentication.",
		"peer_calls":                   "Calls made to other daemons.",
		"log_appends":                  "Append calls to the log service.",
		"log_errors":                   "Calls to the log service that failed.",
		"billed":                       "Usage records written.",
		"billing_unprotected":          "Responses withheld because the usage record was stored neither in the log nor at a replica.",
		"usage_adopted":                "Usage records of other daemons appended by this daemon as their replica.",
		"orders_sent":                  "Load and unload orders sent to backend servers.",
		"session_pins_moved":           "Sessions moved to another version than the one they were pinned to.",
		"rollout_braked":               "Number of times this daemon stopped using a new version on its own evidence.",
		"claims_lost":                  "Claims of idempotency keys that were refused.",
		"limits_homeless":              "Lease requests that the owner of the meter did not answer.",
		"configuration_number":         "Number of the active configuration.",
		"in_flight":                    "Requests being served.",
		"usage_pending":                "Usage records not yet confirmed by the log.",
		"members_alive":                "Members in the alive state, including this daemon.",
		"first_token_seconds":          "Time to the first token.",
		"server_limits_unreadable":     "Responses whose stated limit could not be parsed.",
		"server_statements_unreadable": "Responses whose statement that the server leaves or wants a pause could not be parsed.",
		"servers_leaving":              "Backend servers that have stated in a response that they leave.",
		"servers_paused":               "Backend servers that want no requests from this daemon for a while.",
		"server_pauses":                "Pauses that backend servers have asked for or prolonged.",
		"servers_limited":              "Backend servers that state a limit on their requests per second.",
		"servers_ended":                "Backend servers that terminated while running requests of this daemon.",
		"panics":                       "Panics recovered in request handlers; the stack is in the log.",
		"pools_out_of_reach":           "Pools of which this daemon reaches no backend server itself.",
		"forwards":                     "Sends of requests to other daemons, because the backend servers were out of reach.",
		"forwarded_requests":           "Requests served for other daemons that could not reach the backend servers.",
		"requests_held":                "Requests held because servers terminated while running them.",
		"sends_raised":                 "Sends to engines that precede others of their rank, by reason.",
		"sends_yielded":                "Sends to engines that follow others of their rank, by reason.",
		"refusals":                     "Requests refused, by error kind.",
	}
}

var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 18)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:                s,
		requests:             s.Counter("requests"),
		answered:             s.Counter("answered"),
		attempts:             s.Counter("attempts"),
		retries:              s.Counter("retries"),
		resumes:              s.Counter("resumes"),
		framesDropped:        s.Counter("frames_dropped"),
		lastCheckRefused:     s.Counter("last_check_refused"),
		escalations:          s.Counter("escalations"),
		peerBytes:            s.Counter("peer_bytes"),
		peerRefused:          s.Counter("peer_refused"),
		peerCalls:            s.Counter("peer_calls"),
		logAppends:           s.Counter("log_appends"),
		logErrors:            s.Counter("log_errors"),
		billed:               s.Counter("billed"),
		billingUnprotected:   s.Counter("billing_unprotected"),
		usageAdopted:         s.Counter("usage_adopted"),
		ordersSent:           s.Counter("orders_sent"),
		sessionPinsMoved:     s.Counter("session_pins_moved"),
		versionsSuspended:    s.Counter("rollout_braked"),
		claimsLost:           s.Counter("claims_lost"),
		leaseRequestsFailed:  s.Counter("limits_homeless"),
		serversTerminated:    s.Counter("servers_ended"),
		serversLimited:       s.Gauge("servers_limited"),
		unreadableLimits:     s.Counter("server_limits_unreadable"),
		unreadableStatements: s.Counter("server_statements_unreadable"),
		serversLeaving:       s.Gauge("servers_leaving"),
		serversPaused:        s.Gauge("servers_paused"),
		pauses:               s.Counter("server_pauses"),
		requestsHeld:         s.Gauge("requests_held"),
		poolsOutOfReach:      s.Gauge("pools_out_of_reach"),
		forwards:             s.Counter("forwards"),
		forwardedRequests:    s.Counter("forwarded_requests"),
		panics:               s.Counter("panics"),
		configurationNumber:  s.Gauge("configuration_number"),
		inFlight:             s.Gauge("in_flight"),
		usagePending:         s.Gauge("usage_pending"),
		membersAlive:         s.Gauge("members_alive"),
		firstToken:           s.Histogram("first_token_seconds", firstTokenBuckets),
	}
}

// RecordRefusal counts a refusal by its error kind.
func (d *Daemon) RecordRefusal(kind string) {
	d.metrics.scope.Tagged(map[string]string{"kind": kind}).Counter("refusals").Inc(1)
}

// sendsRaised counts sends that precede others of their rank, by reason.
func (m *metrics) sendsRaised(r urgency.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("sends_raised")
}

// sendsYielded counts sends that follow others of their rank, by reason.
func (m *metrics) sendsYielded(r urgency.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("sends_yielded")
}
