package relay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
)

// Metrics are the counters and histograms of a relay.
type Metrics struct {
	scope tally.Scope
	// Requests counts calls of callers.
	Requests tally.Counter
	// Repeats counts sends after the first of a call.
	Repeats tally.Counter
	// Escalations counts answers dropped for a larger model's.
	Escalations tally.Counter
	// SendsFailed counts sends without an answer.
	SendsFailed tally.Counter
	// Cut counts answers that ended before their end.
	Cut tally.Counter
	// CallersLeft counts callers that left before their answer.
	CallersLeft tally.Counter
	// AliveChecks counts signs of life asked of silent servers.
	AliveChecks tally.Counter
	// Moved counts sends given up for another server because they were stuck.
	Moved tally.Counter
	// ServersEnded counts servers that ended with requests of this daemon.
	ServersEnded tally.Counter
	// Held is how many requests are kept from servers.
	Held tally.Gauge
	// DomainsEvacuated is how many failure domains get nothing new, and Warming how many servers
	// warm up.
	DomainsEvacuated, ServersWarming tally.Gauge
	// WarmingSends counts sends to servers that warm up.
	WarmingSends tally.Counter
	// Panics counts panics of handlers.
	Panics tally.Counter
	// Restarts counts servers that started again under their name.
	Restarts tally.Counter
	// Latency is the time to a plain answer.
	Latency tally.Histogram
	// FirstEvent is the time to the first event of a stream.
	FirstEvent tally.Histogram

	ages     [freshness.Subjects]tally.Gauge
	lateness [freshness.Subjects]tally.Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(s tally.Scope) *Metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, latencyBuckets)
	m := &Metrics{
		scope: s, Requests: s.Counter("requests"), Repeats: s.Counter("repeats"),
		Escalations: s.Counter("escalations"), SendsFailed: s.Counter("sends_failed"),
		Cut: s.Counter("answers_cut"), CallersLeft: s.Counter("callers_left"),
		AliveChecks: s.Counter("alive_checks"), Moved: s.Counter("sends_moved"), Restarts: s.Counter("server_restarts"),
		ServersEnded: s.Counter("servers_ended"), Held: s.Gauge("requests_held"),
		DomainsEvacuated: s.Gauge("domains_evacuated"), ServersWarming: s.Gauge("servers_warming"), WarmingSends: s.Counter("warming_sends"),
		Panics:  s.Counter("panics"),
		Latency: s.Histogram("answer_seconds", buckets), FirstEvent: s.Histogram("first_event_seconds", buckets),
	}
	for about := range freshness.Subjects {
		tagged := s.Tagged(map[string]string{"subject": about.String()})
		m.ages[about] = tagged.Gauge("confirmed_age_seconds")
		m.lateness[about] = tagged.Histogram("learned_late_seconds", buckets)
	}
	return m
}

// ConfirmationAge shows how old, in seconds, the newest confirmation of a subject is.
func (m *Metrics) ConfirmationAge(about freshness.Subject) tally.Gauge { return m.ages[about] }

// ReadDelay counts how late, at most, records of a subject were read.
func (m *Metrics) ReadDelay(about freshness.Subject) tally.Histogram { return m.lateness[about] }

// latencyBuckets reach from 5 ms to 20 s by doubling.
const latencyBuckets = 13

// Refused counts refusals of a kind.
func (m *Metrics) Refused(k fault.Kind) tally.Counter {
	return m.scope.Tagged(map[string]string{"kind": string(k)}).Counter("refusals")
}

// BadServerEntries counts entries of servers that name none to use, by fault.
func (m *Metrics) BadServerEntries(f backend.InvalidReason) tally.Counter {
	return m.scope.Tagged(map[string]string{"fault": string(f)}).Counter("server_entries_bad")
}

// Answered counts whole answers, by whether the server succeeded.
func (m *Metrics) Answered(ok bool) tally.Counter {
	if ok {
		return m.scope.Counter("answers_ok")
	}
	return m.scope.Counter("answers_failed")
}

// MetricDescriptions lists every metric with its meaning, for the page of metrics.
func MetricDescriptions() map[string]string {
	return map[string]string{
		"requests":              "Requests of callers.",
		"repeats":               "Sends after the first of a request.",
		"escalations":           "Answers of a smaller model dropped for a larger one's.",
		"sends_failed":          "Sends without an answer.",
		"sends_moved":           "Sends given up for another server because they were stuck.",
		"servers_ended":         "Servers that ended with requests of this daemon.",
		"requests_held":         "Requests that are kept from servers because servers ended that ran them.",
		"domains_evacuated":     "Failure domains whose servers get nothing new.",
		"servers_warming":       "Servers that warm up after their start.",
		"warming_sends":         "Sends to servers that warm up.",
		"panics":                "Panics of handlers, each a defect; their lines have the stack.",
		"server_restarts":       "Servers that started again under their name.",
		"server_entries_bad":    "Entries of servers that name none to use, by fault.",
		"answers_cut":           "Answers that ended before their end.",
		"answers_ok":            "Whole answers of servers that succeeded.",
		"answers_failed":        "Whole answers of servers that failed.",
		"callers_left":          "Callers that left before their answer.",
		"alive_checks":          "Signs of life asked of silent servers.",
		"refusals":              "Refusals of ours, by kind.",
		"answer_seconds":        "Time to a plain answer.",
		"first_event_seconds":   "Time to the first event of a stream.",
		"confirmed_age_seconds": "Age of the newest confirmation that what is known is complete, by subject.",
		"learned_late_seconds":  "How late records were read, at most: the age of the confirmation before them, by subject.",
	}
}
