// Package peer carries typed calls between daemons over WebSocket with CBOR.
package peer

import (
	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/quota"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// Heartbeat probes a daemon; the answer has the same form.
type Heartbeat struct {
	Sender membership.DaemonInfo `cbor:"1,keyasint"`
	Rumors []membership.Rumor    `cbor:"2,keyasint,omitempty"`
	// ConfigNext is the offset of the next configuration record to fold.
	ConfigNext uint64 `cbor:"3,keyasint"`
	// LeavingReadAt is when the sender's word on leaving servers was read, in Unix ms.
	LeavingReadAt int64 `cbor:"4,keyasint,omitempty"`
	// LeavingServers lists the leaving servers. It is left out unless the receiver's
	// word is older.
	LeavingServers []string `cbor:"5,keyasint,omitempty"`
	// Quarantine is what the sender learned lately of requests that end servers.
	Quarantine quarantine.Update `cbor:"6,keyasint,omitempty"`
}

// MembersRequest asks for a daemon's whole table.
type MembersRequest struct{}

// MembersResponse is the answer to AskMembers.
type MembersResponse struct {
	Members []membership.Rumor `cbor:"1,keyasint"`
	// Quarantine names all requests that are held.
	Quarantine quarantine.Update `cbor:"2,keyasint,omitempty"`
}

// ConfigRequest asks for configuration records from an offset on.
type ConfigRequest struct {
	From uint64 `cbor:"1,keyasint"`
}

// ConfigResponse is the answer: records, or a checkpoint when they are gone.
type ConfigResponse struct {
	Records []platform.Record `cbor:"1,keyasint"`
	// Checkpoint is a JSON fleet.Checkpoint.
	Checkpoint []byte `cbor:"2,keyasint"`
}

// StoreUsageRequest hands copies of usage records to a keeper until the log has them.
type StoreUsageRequest struct {
	Owner string `cbor:"1,keyasint"`
	// Incarnation tells the places of one run of the owner from those of the next.
	Incarnation uint64 `cbor:"2,keyasint"`
	// FirstSequence is the first record's place in the owner's order of confirmation.
	FirstSequence uint64                `cbor:"3,keyasint"`
	Records       []billing.UsageRecord `cbor:"4,keyasint"`
}

// ConfirmUsageRequest tells a keeper that the log has an owner's records up to a place.
type ConfirmUsageRequest struct {
	Owner           string `cbor:"1,keyasint"`
	Incarnation     uint64 `cbor:"2,keyasint"`
	ThroughSequence uint64 `cbor:"3,keyasint"`
}

// LeaseRequest asks the home of a meter for a lease.
type LeaseRequest struct {
	Request quota.LeaseRequest `cbor:"1,keyasint"`
}

// EvidenceReport sends one daemon's evidence of a roll-out's stage to its home.
type EvidenceReport struct {
	Daemon string `cbor:"1,keyasint"`
	Model  string `cbor:"2,keyasint"`
	// Stage identifies the version and stage the evidence belongs to.
	Stage string           `cbor:"3,keyasint"`
	Cells rollout.Evidence `cbor:"4,keyasint"`
}

// BurnRequest asks for a daemon's service-level counters.
type BurnRequest struct{}

// BurnResponse is the answer to AskBurn.
type BurnResponse struct {
	Cells []slo.WindowCounts `cbor:"1,keyasint"`
}

// Empty is the answer to a call that returns nothing.
type Empty struct{}
