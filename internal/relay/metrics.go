package relay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/kvtransfer"
	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// Metrics are the counters and histograms of a relay.
type Metrics struct {
	scope tally.Scope
	// Requests counts client requests.
	Requests tally.Counter
	// Retries counts sends after the first of a request.
	Retries tally.Counter
	// RetriesDenied counts retries that the budget did not allow.
	RetriesDenied tally.Counter
	// Escalations counts responses that were replaced by a larger model's, and EscalationsGivenUp those
	// that were kept as no larger model took the request.
	Escalations, EscalationsGivenUp tally.Counter
	// SendsFailed counts sends without a response.
	SendsFailed tally.Counter
	// ResponsesAborted counts responses that were aborted after their start.
	ResponsesAborted tally.Counter
	// ClientsDisconnected counts clients that disconnected before their response.
	ClientsDisconnected tally.Counter
	// Probes counts liveness probes of silent servers.
	Probes tally.Counter
	// SendsRerouted counts sends that were cancelled and continued on another server.
	SendsRerouted tally.Counter
	// SilentServersResumed counts servers that sent something after they had not responded to a probe,
	// and MovedWithoutAnswer requests without a complete answer that had been taken off a server which
	// had not responded.
	SilentServersResumed, MovedWithoutAnswer tally.Counter
	// MovesGivenUp counts offers of a request to others none of which took it, and MovesToDaemons
	// requests that another daemon has taken.
	MovesGivenUp, MovesToDaemons tally.Counter
	// ServersTerminated counts servers that ended while running requests of this daemon.
	ServersTerminated tally.Counter
	// RequestsHeld is the number of quarantined requests.
	RequestsHeld tally.Gauge
	// DomainsEvacuated is the number of evacuated failure domains, ServersWarming
	// the number of servers that are warming up.
	DomainsEvacuated, ServersWarming tally.Gauge
	// ServersLimited is the number of servers that state a request rate.
	ServersLimited tally.Gauge
	// DaemonsLive is the number of live daemons that this one knows, GossipPartners the number
	// of those with which it exchanges messages, and ServersKnown that of backend servers.
	DaemonsLive, GossipPartners, ServersKnown tally.Gauge
	// WarmingSends counts sends to servers that are warming up.
	WarmingSends tally.Counter
	// VersionFallbacks counts sends for which no server of a preferred version was available.
	VersionFallbacks tally.Counter
	// LoadReportsDropped counts invalid reports of other daemons' load by model.
	LoadReportsDropped tally.Counter
	// Panics counts panics of handlers.
	Panics tally.Counter
	// ServerRestarts counts servers that restarted under the same name.
	ServerRestarts tally.Counter
	// UnreadableLimits counts responses whose stated limit could not be parsed, and
	// UnreadableStatements those with another statement that could not.
	UnreadableLimits, UnreadableStatements tally.Counter
	// ServersLeaving is the number of servers that have stated that they leave, ServersPaused
	// that of servers that want no requests. Pauses counts the latter's statements.
	ServersLeaving, ServersPaused tally.Gauge
	Pauses                        tally.Counter
	// RejectionSensitiveServices is the number of services whose servers tolerate few rejections, and
	// Rejections counts the rejections of such servers, at most one per server in a short time.
	RejectionSensitiveServices tally.Gauge
	Rejections                 tally.Counter
	// ServiceSilences counts checks by which a service stayed in reach, as other daemons did not reach its
	// silent servers either.
	ServiceSilences tally.Counter
	// ServicesOutOfReach is the number of services of which this daemon reaches no server itself.
	ServicesOutOfReach tally.Gauge
	// Forwards counts sends of requests to other daemons, and ForwardedRequests the requests served
	// for other daemons.
	Forwards, ForwardedRequests tally.Counter
	// PermitsAsked counts asks for a send of another daemon to a server with a stated rate,
	// PermitsUsed requests that were sent with a permit, and PermitsGiven sends reserved for others.
	PermitsAsked, PermitsUsed, PermitsGiven tally.Counter
	// Transfers counts sends whose server fetches from another one, and TransferTokens the tokens
	// expected to be fetched.
	Transfers, TransferTokens tally.Counter
	// EnginesSlower and EnginesFaster are the numbers of engines known to differ from the typical
	// one, and SpeedReportsDropped counts malformed reports of speeds.
	EnginesSlower, EnginesFaster tally.Gauge
	SpeedReportsDropped          tally.Counter
	// WorkspacesOverShare is the number of workspaces beyond their share of some service, RequestsOverShare
	// counts their requests that went behind others, and ShareReportsDropped invalid reports of daemons.
	WorkspacesOverShare                    tally.Gauge
	RequestsOverShare, ShareReportsDropped tally.Counter
	// BytesHeld is the number of bytes held for requests, and SlowReaders the number of clients that
	// have bytes to read and have taken none for a while.
	BytesHeld, SlowReaders tally.Gauge
	// ResponsesPaused counts responses whose server had to wait for the client, ResponsesCutForMemory
	// those cut to keep within the memory budget, and ClientsStalled those cut because the client
	// read nothing. RefusedForMemory counts heads, bodies and messages for which there was no memory, and
	// ReservationsRefused the long events and heads of responses.
	ResponsesPaused, ResponsesCutForMemory, ClientsStalled, RefusedForMemory, ReservationsRefused tally.Counter
	// ServerMemoryBounds counts servers that ended with large bodies, which bounds others of the service.
	ServerMemoryBounds tally.Counter
	// ResponseLatency is the time to a complete non-streaming response.
	ResponseLatency tally.Histogram
	// FirstEventLatency is the time to the first event of a stream.
	FirstEventLatency tally.Histogram

	confirmationAges [freshness.Subjects]tally.Gauge
	readDelays       [freshness.Subjects]tally.Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(s tally.Scope) *Metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, latencyBuckets)
	m := &Metrics{
		scope: s, Requests: s.Counter("requests"), Retries: s.Counter("repeats"), RetriesDenied: s.Counter("repeats_denied"),
		Escalations: s.Counter("escalations"), EscalationsGivenUp: s.Counter("escalations_given_up"), SendsFailed: s.Counter("sends_failed"),
		ResponsesAborted: s.Counter("answers_cut"), ClientsDisconnected: s.Counter("callers_left"),
		Probes: s.Counter("alive_checks"), SendsRerouted: s.Counter("sends_moved"), SilentServersResumed: s.Counter("silent_servers_resumed"), MovedWithoutAnswer: s.Counter("moved_without_answer"), MovesGivenUp: s.Counter("moves_given_up"), MovesToDaemons: s.Counter("moves_to_daemons"), ServerRestarts: s.Counter("server_restarts"),
		ServersTerminated: s.Counter("servers_ended"), RequestsHeld: s.Gauge("requests_held"),
		DomainsEvacuated: s.Gauge("domains_evacuated"), ServersWarming: s.Gauge("servers_warming"), ServersLimited: s.Gauge("servers_limited"), WarmingSends: s.Counter("warming_sends"), VersionFallbacks: s.Counter("version_fallbacks"), LoadReportsDropped: s.Counter("load_reports_dropped"),
		UnreadableLimits: s.Counter("server_limits_unreadable"), UnreadableStatements: s.Counter("server_statements_unreadable"),
		ServersLeaving: s.Gauge("servers_leaving"), ServersPaused: s.Gauge("servers_paused"), Pauses: s.Counter("server_pauses"),
		RejectionSensitiveServices: s.Gauge("services_rejection_sensitive"), Rejections: s.Counter("server_rejections"),
		ServicesOutOfReach: s.Gauge("services_out_of_reach"), ServiceSilences: s.Counter("service_silences"), PermitsAsked: s.Counter("permits_asked"), PermitsUsed: s.Counter("permits_used"), PermitsGiven: s.Counter("permits_given"), Forwards: s.Counter("forwards"), ForwardedRequests: s.Counter("forwarded_requests"),
		Transfers: s.Counter("kv_transfers"), TransferTokens: s.Counter("kv_transfer_tokens"),
		EnginesSlower: s.Gauge("engines_slower"), EnginesFaster: s.Gauge("engines_faster"), SpeedReportsDropped: s.Counter("speed_reports_dropped"),
		WorkspacesOverShare: s.Gauge("workspaces_over_share"), RequestsOverShare: s.Counter("requests_over_share"), ShareReportsDropped: s.Counter("share_reports_dropped"),
		Panics:    s.Counter("panics"),
		BytesHeld: s.Gauge("bytes_held"), SlowReaders: s.Gauge("slow_readers"), ResponsesPaused: s.Counter("responses_paused"), ResponsesCutForMemory: s.Counter("responses_cut_for_memory"), ClientsStalled: s.Counter("callers_stalled"), RefusedForMemory: s.Counter("refused_for_memory"), ReservationsRefused: s.Counter("reservations_refused"), ServerMemoryBounds: s.Counter("server_memory_bounds"),
		DaemonsLive: s.Gauge("daemons_live"), GossipPartners: s.Gauge("gossip_partners"), ServersKnown: s.Gauge("servers_known"),
		ResponseLatency: s.Histogram("answer_seconds", buckets), FirstEventLatency: s.Histogram("first_event_seconds", buckets),
	}
	for subject := range freshness.Subjects {
		tagged := s.Tagged(map[string]string{"subject": subject.String()})
		m.confirmationAges[subject] = tagged.Gauge("confirmed_age_seconds")
		m.readDelays[subject] = tagged.Histogram("learned_late_seconds", buckets)
	}
	return m
}

// ConfirmationAge is the age of the last confirmation of a subject, in seconds.
func (m *Metrics) ConfirmationAge(subject freshness.Subject) tally.Gauge {
	return m.confirmationAges[subject]
}

// ReadDelay is the upper bound of the delay with which records of a subject were read.
func (m *Metrics) ReadDelay(subject freshness.Subject) tally.Histogram { return m.readDelays[subject] }

// latencyBuckets is the number of buckets, whose limits double from 5 ms to 20 s.
const latencyBuckets = 13

// Refusals counts refusals by kind.
func (m *Metrics) Refusals(k fault.Kind) tally.Counter {
	return m.scope.Tagged(map[string]string{"kind": string(k)}).Counter("refusals")
}

// TransfersSkipped counts sends without a transfer, by reason.
func (m *Metrics) TransfersSkipped(reason kvtransfer.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("kv_transfers_skipped")
}

// InvalidServerEntries counts invalid server entries by fault.
func (m *Metrics) InvalidServerEntries(f backend.InvalidReason) tally.Counter {
	return m.scope.Tagged(map[string]string{"fault": string(f)}).Counter("server_entries_bad")
}

// SendsRaised counts sends that precede others of their rank, by reason.
func (m *Metrics) SendsRaised(r urgency.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("sends_raised")
}

// SendsYielded counts sends that follow others of their rank, by reason.
func (m *Metrics) SendsYielded(r urgency.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("sends_yielded")
}

// Responses counts complete responses, by whether the server succeeded.
func (m *Metrics) Responses(ok bool) tally.Counter {
	if ok {
		return m.scope.Counter("answers_ok")
	}
	return m.scope.Counter("answers_failed")
}

// MetricDescriptions returns the description of every metric, by name.
func MetricDescriptions() map[string]string {
	return map[string]string{
		"requests":                     "Client requests.",
		"repeats":                      "Sends after the first of a request.",
		"repeats_denied":               "Retries and escalations that the retry budget did not allow.",
		"escalations":                  "Responses replaced by a larger model's.",
		"escalations_given_up":         "Answers of smaller models that were kept, as no larger model took the request.",
		"sends_failed":                 "Sends without a response.",
		"sends_raised":                 "Sends to engines that precede others of their rank, by reason.",
		"sends_yielded":                "Sends to engines that follow others of their rank, by reason.",
		"sends_moved":                  "Sends cancelled because another server has taken the request, or because their server has restarted.",
		"moves_given_up":               "Requests of silent servers that were offered to others and stayed, as none took them or the first went on.",
		"moves_to_daemons":             "Requests that another daemon has taken from a silent server.",
		"silent_servers_resumed":       "Servers that sent something after they had not responded to a probe.",
		"moved_without_answer":         "Requests refused, failed or cut after they had been taken off a server that had not responded.",
		"servers_ended":                "Servers that ended while running requests of this daemon.",
		"requests_held":                "Quarantined requests: servers ended while running them.",
		"domains_evacuated":            "Evacuated failure domains.",
		"servers_warming":              "Servers that are warming up after their start.",
		"servers_limited":              "Servers that state a limit on their requests per second.",
		"server_limits_unreadable":     "Responses whose stated limit could not be parsed.",
		"server_statements_unreadable": "Responses whose statement that the server leaves or wants a pause could not be parsed.",
		"servers_leaving":              "Servers that have stated in a response that they leave, or that another server has replaced at their address.",
		"servers_paused":               "Servers that want no requests from this daemon for a while.",
		"server_pauses":                "Pauses that servers have asked for or prolonged.",
		"permits_asked":                "Asks for a send of another daemon to a server with a stated rate.",
		"permits_used":                 "Requests sent to servers with a stated rate by a reserved send, own or of another daemon.",
		"permits_given":                "Sends to servers with a stated rate reserved for other daemons.",
		"forwards":                     "Sends of requests to other daemons, because the backend servers were out of reach.",
		"forwarded_requests":           "Requests served for other daemons that could not reach the backend servers.",
		"services_rejection_sensitive": "Services whose backend servers state that they tolerate few rejections.",
		"server_rejections":            "Rejections of requests by backend servers that tolerate few, at most one per server in 0.3 s.",
		"service_silences":             "Checks that left a service in reach, since other daemons did not reach its silent servers either.",
		"services_out_of_reach":        "Services of which this daemon reaches no backend server itself.",
		"load_reports_dropped":         "Invalid reports of other daemons on their load by model.",
		"kv_transfers":                 "Sends whose server fetches a part of the prompt's KV cache from another server.",
		"kv_transfer_tokens":           "Prompt tokens that servers are expected to fetch from other servers.",
		"kv_transfers_skipped":         "Sends to servers that can fetch from others but do not, by reason.",
		"engines_slower":               "Model engines known to be slower than the typical one.",
		"engines_faster":               "Model engines known to be faster than the typical one.",
		"speed_reports_dropped":        "Malformed reports of engine speeds by other daemons.",
		"workspaces_over_share":        "Workspaces that use more than their share of some service while others wait.",
		"requests_over_share":          "Requests beyond their workspace's share, which go behind those of others.",
		"share_reports_dropped":        "Reports of other daemons on the work of workspaces that were dropped as invalid.",
		"version_fallbacks":            "Sends for which no server of a preferred version was available.",
		"warming_sends":                "Sends to servers that are warming up.",
		"daemons_live":                 "Live daemons that this daemon knows, including itself.",
		"gossip_partners":              "Daemons with which this daemon exchanges messages.",
		"servers_known":                "Backend servers that this daemon knows.",
		"bytes_held":                   "Bytes of request bodies and responses that the daemon holds.",
		"slow_readers":                 "Clients that have bytes to read and have taken none for 1 s.",
		"responses_paused":             "Responses whose server had to wait for a client that read slowly.",
		"responses_cut_for_memory":     "Responses cut to keep within the memory budget.",
		"callers_stalled":              "Responses cut because the client read nothing for the time it had given the request.",
		"server_memory_bounds":         "Ends of servers with large bodies of this daemon, each of which bounds the bytes sent to others of the service.",
		"refused_for_memory":           "Requests refused because there was no memory for their head or body, and messages of daemons for which there was none.",
		"reservations_refused":         "Long events and heads of responses for which there was no memory; the send fails or the stream is interrupted.",
		"panics":                       "Panics of handlers, each a defect; the log lines have the stack.",
		"server_restarts":              "Servers that restarted under the same name.",
		"server_entries_bad":           "Invalid server entries, by fault.",
		"answers_cut":                  "Responses aborted after their start.",
		"answers_ok":                   "Complete responses of servers that succeeded.",
		"answers_failed":               "Complete responses of servers that failed.",
		"callers_left":                 "Clients that disconnected before their response.",
		"alive_checks":                 "Liveness probes of silent servers.",
		"refusals":                     "Requests refused by the daemon, by kind.",
		"answer_seconds":               "Time to a complete non-streaming response.",
		"first_event_seconds":          "Time to the first event of a stream.",
		"confirmed_age_seconds":        "Age of the last confirmation that the known records are complete, by subject.",
		"learned_late_seconds":         "Upper bound of the delay with which records were read: the age of the confirmation before them, by subject.",
	}
}
