package gossip

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

// Message is what a daemon tells another.
type Message struct {
	// Incarnation names one run of one daemon.
	Incarnation string `cbor:"1,keyasint"`
	// Name is the daemon's name; it stays the same over restarts.
	Name string `cbor:"2,keyasint"`
	// Address is where daemons call it and FrontAddress where callers do.
	Address       string `cbor:"3,keyasint"`
	ClientAddress string `cbor:"4,keyasint"`
	FailureDomain string `cbor:"5,keyasint"`
	// Ready says that callers should be sent there.
	Ready   bool `cbor:"6,keyasint,omitempty"`
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Eligible says that the daemon can work for all: see membership.Standing.
	Eligible bool `cbor:"21,keyasint,omitempty"`
	// ConfigVersion is the configuration in force.
	ConfigVersion int64 `cbor:"8,keyasint,omitempty"`
	// Ages is how long ago, in ms, the daemon's knowledge of each subject was last
	// known to be complete, or Unconfirmed.
	Ages   []int64             `cbor:"9,keyasint"`
	Work   []relay.ServerWork  `cbor:"10,keyasint,omitempty"`
	Orders []relay.OrderReport `cbor:"11,keyasint,omitempty"`
	// Known lists addresses of other daemons, so that one that can reach any
	// daemon finds all.
	Known []string `cbor:"12,keyasint,omitempty"`
	// Placed are prompts placed in the last round, and PlacedRound its number:
	// a pulse may arrive twice or answer several calls.
	Placed      []relay.Placement `cbor:"13,keyasint,omitempty"`
	PlacedRound uint64            `cbor:"14,keyasint,omitempty"`
	// Stamp is the reading of the sender's clock, in ms, when it made the pulse.
	// Echo is the newest stamp that it had from the receiver's run EchoTo: what the
	// pulse says was true after that moment of the receiver's own clock, however
	// long the pulse was on its way.
	Stamp  int64  `cbor:"16,keyasint,omitempty"`
	Echo   int64  `cbor:"17,keyasint,omitempty"`
	EchoTo uint64 `cbor:"18,keyasint,omitempty"`
	// WantsEvidence says that the daemon judges roll-outs and wants the evidence of others.
	WantsEvidence bool `cbor:"19,keyasint,omitempty"`
	// Suspects are addresses that did not answer the sender lately. Who hears of one calls
	// it next, and believes what it finds itself.
	Suspects []string `cbor:"20,keyasint,omitempty"`
	// Quarantine is what the daemon learned lately of requests that end servers.
	Quarantine quarantine.Update `cbor:"22,keyasint,omitempty"`
	// NextPositions is how far the daemon has read each topic.
	NextPositions []feed.Position `cbor:"15,keyasint,omitempty"`
}

// AgeUnknown is the age of what was never confirmed.
const AgeUnknown = -1

// Age returns how long ago the daemon's knowledge of a subject was last known to be
// complete, and whether it ever was.
func (p Message) Age(about freshness.Subject) (time.Duration, bool) {
	if int(about) >= len(p.Ages) || p.Ages[about] < 0 {
		return 0, false
	}
	return time.Duration(p.Ages[about]) * time.Millisecond, true
}

// NextPosition returns how far the daemon has read a topic.
func (p Message) NextPosition(topic int) feed.Position {
	if topic < 0 || topic >= len(p.NextPositions) {
		return 0
	}
	return p.NextPositions[topic]
}
