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
	Self   membership.Beat    `cbor:"1,keyasint"`
	Rumors []membership.Rumor `cbor:"2,keyasint,omitempty"`
	// ConfigNext is the offset of the next configuration record to fold.
	ConfigNext uint64 `cbor:"3,keyasint"`
	// VMsAt is when the sender's word on leaving servers was read, in Unix ms.
	VMsAt int64 `cbor:"4,keyasint,omitempty"`
	// Leaving lists the leaving servers. It is left out unless the receiver's
	// word is older.
	Leaving []string `cbor:"5,keyasint,omitempty"`
	// Quarantine is what the sender learned lately of requests that end servers.
	Quarantine quarantine.Update `cbor:"6,keyasint,omitempty"`
}

// AskMembers asks for a daemon's whole table.
type AskMembers struct{}

// MemberRows is the answer to AskMembers.
type MemberRows struct {
	Rows []membership.Rumor `cbor:"1,keyasint"`
	// Quarantine names all requests that are held.
	Quarantine quarantine.Update `cbor:"2,keyasint,omitempty"`
}

// FetchConfig asks for configuration records from an offset on.
type FetchConfig struct {
	From uint64 `cbor:"1,keyasint"`
}

// ConfigTail is the answer: records, or a checkpoint when they are gone.
type ConfigTail struct {
	Records []platform.Record `cbor:"1,keyasint"`
	// Checkpoint is a JSON fleet.Checkpoint.
	Checkpoint []byte `cbor:"2,keyasint"`
}

// StoreUsage hands copies of usage records to a keeper until the log has them.
type StoreUsage struct {
	Owner string `cbor:"1,keyasint"`
	// Incarnation tells the places of one run of the owner from those of the next.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Place is the first record's place in the owner's order of confirmation.
	Place   uint64                `cbor:"3,keyasint"`
	Records []billing.UsageRecord `cbor:"4,keyasint"`
}

// ConfirmUsage tells a keeper that the log has an owner's records up to a place.
type ConfirmUsage struct {
	Owner       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Through     uint64 `cbor:"3,keyasint"`
}

// AskLease asks the home of a meter for a lease.
type AskLease struct {
	Ask quota.LeaseRequest `cbor:"1,keyasint"`
}

// ReportEvidence sends one daemon's evidence of a roll-out's stage to its home.
type ReportEvidence struct {
	Daemon string `cbor:"1,keyasint"`
	Model  string `cbor:"2,keyasint"`
	// Stage identifies the version and stage the evidence belongs to.
	Stage string           `cbor:"3,keyasint"`
	Cells rollout.Evidence `cbor:"4,keyasint"`
}

// AskBurn asks for a daemon's service-level counters.
type AskBurn struct{}

// BurnCells is the answer to AskBurn.
type BurnCells struct {
	Cells []slo.Cell `cbor:"1,keyasint"`
}

// Done is the answer to a call that returns nothing.
type Done struct{}
