// Package peer implements typed calls between daemons, encoded as CBOR over WebSocket.
package peer

import (
	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/concurrencylimit"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/quota"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// Heartbeat is a probe of a daemon, and its response.
type Heartbeat struct {
	Sender membership.DaemonInfo `cbor:"1,keyasint"`
	Rumors []membership.Rumor    `cbor:"2,keyasint,omitempty"`
	// ConfigNext is the offset of the next configuration record to read.
	ConfigNext uint64 `cbor:"3,keyasint"`
	// LeavingReadAt is when the sender's list of leaving servers was read, in Unix ms.
	LeavingReadAt int64 `cbor:"4,keyasint,omitempty"`
	// LeavingServers lists the leaving servers, if the receiver's list is older.
	LeavingServers []string `cbor:"5,keyasint,omitempty"`
	// Quarantine holds recent changes of the quarantine.
	Quarantine quarantine.Update `cbor:"6,keyasint,omitempty"`
	// ServerLimits holds the recent changes of the request rates that servers state.
	ServerLimits []serverlimit.Update `cbor:"7,keyasint,omitempty"`
	// Departures holds recent reports of servers that have stated that they leave.
	Departures []serverstatus.DepartureReport `cbor:"8,keyasint,omitempty"`
	// Terminations holds the servers whose termination was noticed lately.
	Terminations []gate.Termination `cbor:"9,keyasint,omitempty"`
	// ConcurrencyLimits holds recent reports of servers that tolerate few rejections.
	ConcurrencyLimits []concurrencylimit.Report `cbor:"10,keyasint,omitempty"`
}

// MembersRequest requests the membership table of a daemon.
type MembersRequest struct{}

// MembersResponse is the response to MembersRequest.
type MembersResponse struct {
	Members []membership.Rumor `cbor:"1,keyasint"`
	// Quarantine holds the whole quarantine.
	Quarantine quarantine.Update `cbor:"2,keyasint,omitempty"`
	// ServerLimits holds all request rates that servers state.
	ServerLimits []serverlimit.Update `cbor:"3,keyasint,omitempty"`
	// TerminatedServers lists the servers that have terminated and are not warm since, by the
	// hash of their ID.
	TerminatedServers []uint64 `cbor:"4,keyasint,omitempty"`
	// Departures reports all servers that have stated that they leave.
	Departures []serverstatus.DepartureReport `cbor:"5,keyasint,omitempty"`
}

// ConfigRequest requests configuration records from an offset on.
type ConfigRequest struct {
	From uint64 `cbor:"1,keyasint"`
}

// ConfigResponse holds the records, or a checkpoint if they have been deleted.
type ConfigResponse struct {
	Records []platform.Record `cbor:"1,keyasint"`
	// Checkpoint is a fleet.Checkpoint in JSON.
	Checkpoint []byte `cbor:"2,keyasint"`
}

// StoreUsageRequest sends usage records to a replica, which keeps them until the log has
// them.
type StoreUsageRequest struct {
	Owner string `cbor:"1,keyasint"`
	// Incarnation is the run of the owner that the sequence numbers belong to.
	Incarnation uint64 `cbor:"2,keyasint"`
	// FirstSequence is the sequence number of the first record.
	FirstSequence uint64                `cbor:"3,keyasint"`
	Records       []billing.UsageRecord `cbor:"4,keyasint"`
}

// ConfirmUsageRequest confirms to a replica that the log has an owner's records up to and
// including ThroughSequence.
type ConfirmUsageRequest struct {
	Owner           string `cbor:"1,keyasint"`
	Incarnation     uint64 `cbor:"2,keyasint"`
	ThroughSequence uint64 `cbor:"3,keyasint"`
}

// LeaseRequest requests a lease from the owner of a meter.
type LeaseRequest struct {
	Request quota.LeaseRequest `cbor:"1,keyasint"`
}

// EvidenceReport sends a daemon's evidence on a roll-out stage to the owner of the roll-out.
type EvidenceReport struct {
	Daemon string `cbor:"1,keyasint"`
	Model  string `cbor:"2,keyasint"`
	// Stage identifies the version and the stage.
	Stage string           `cbor:"3,keyasint"`
	Cells rollout.Evidence `cbor:"4,keyasint"`
}

// BurnRequest requests the service-level counters of a daemon.
type BurnRequest struct{}

// BurnResponse is the response to BurnRequest.
type BurnResponse struct {
	Cells []slo.WindowCounts `cbor:"1,keyasint"`
}

// Empty is the response to calls without a result.
type Empty struct{}

// VerdictRequest asks a daemon whether it reaches a server.
type VerdictRequest struct {
	Server string `cbor:"1,keyasint"`
}

// VerdictResponse is the response to VerdictRequest.
type VerdictResponse struct {
	Verdict reachability.Verdict `cbor:"1,keyasint,omitempty"`
}

// PermitRequest asks a daemon for its next send to a server with a stated rate.
type PermitRequest struct {
	Server string `cbor:"1,keyasint"`
	// HorizonMillis is how long the request can wait.
	HorizonMillis int64 `cbor:"2,keyasint"`
}

// PermitResponse is the response to PermitRequest.
type PermitResponse struct {
	// Granted is set if the send is reserved. It is to begin WaitMillis after the response arrives.
	Granted bool `cbor:"1,keyasint,omitempty"`
	// WaitMillis is the time until the daemon can send, also if it granted none; 0 if it does not send
	// to the server.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
}

// UnstatedLimit reports a response without a stated rate to the daemon that gave the permit.
type UnstatedLimit struct {
	Server string `cbor:"1,keyasint"`
	// AgeMillis is the time since the request was sent.
	AgeMillis int64 `cbor:"2,keyasint,omitempty"`
}

// ForwardedStep is a request on one model that a daemon forwards, as it does not reach the servers.
// The other daemon selects the server and must not forward the step again.
type ForwardedStep struct {
	RequestID       string `cbor:"1,keyasint"`
	Workspace       string `cbor:"2,keyasint"`
	Model           string `cbor:"3,keyasint"`
	Version         string `cbor:"4,keyasint"`
	FallbackVersion string `cbor:"5,keyasint,omitempty"`
	Priority        int    `cbor:"6,keyasint,omitempty"`
	Prompt          string `cbor:"7,keyasint"`
	// Body is the caller's request in JSON.
	Body []byte `cbor:"8,keyasint"`
	// RemainingMillis is the time until the deadline.
	RemainingMillis int64 `cbor:"9,keyasint"`
	// Attempts is the number of attempts made so far.
	Attempts   int  `cbor:"10,keyasint,omitempty"`
	Repeatable bool `cbor:"11,keyasint,omitempty"`
	// Streamed requests the text in pieces, as it arrives.
	Streamed    bool                   `cbor:"12,keyasint,omitempty"`
	Fingerprint quarantine.Fingerprint `cbor:"13,keyasint"`
	// ConfigNumber is the number of the forwarding daemon's configuration. An older one must not be
	// applied.
	ConfigNumber uint64 `cbor:"14,keyasint"`
	// Parts are the fingerprints of the prompt's parts.
	Parts []quarantine.Fingerprint `cbor:"15,keyasint,omitempty"`
}

// ForwardedServiceCall is a call of a plain service that a daemon forwards.
type ForwardedServiceCall struct {
	RequestID       string `cbor:"1,keyasint"`
	Workspace       string `cbor:"2,keyasint"`
	Service         string `cbor:"3,keyasint"`
	Body            []byte `cbor:"4,keyasint"`
	Repeatable      bool   `cbor:"5,keyasint,omitempty"`
	RemainingMillis int64  `cbor:"6,keyasint"`
	ConfigNumber    uint64 `cbor:"7,keyasint"`
}

// ForwardResponse is a message of the response to a forwarded request. One with Result, Call or
// Refusal is the last.
type ForwardResponse struct {
	Text    string         `cbor:"1,keyasint,omitempty"`
	Result  *StepResult    `cbor:"2,keyasint,omitempty"`
	Call    *CallResult    `cbor:"3,keyasint,omitempty"`
	Refusal *fault.Encoded `cbor:"4,keyasint,omitempty"`
}

// StepResult describes the complete response to a ForwardedStep.
type StepResult struct {
	Version          string   `cbor:"1,keyasint"`
	PromptTokens     int64    `cbor:"2,keyasint"`
	CompletionTokens int64    `cbor:"3,keyasint"`
	Confidence       *float64 `cbor:"4,keyasint,omitempty"`
	FinishReason     string   `cbor:"5,keyasint,omitempty"`
	Server           string   `cbor:"6,keyasint"`
	FailureDomain    string   `cbor:"7,keyasint,omitempty"`
}

// CallResult is the response of a plain service.
type CallResult struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}
