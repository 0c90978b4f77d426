package gossip

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/concurrencylimit"
	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
	"github.com/damaskrudder/damaskrudder/internal/fairshare"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

// Message is the state that daemons exchange.
type Message struct {
	// Incarnation identifies one run of a daemon.
	Incarnation string `cbor:"1,keyasint"`
	// Name is the name of the daemon, which is stable over restarts.
	Name string `cbor:"2,keyasint"`
	// Address is the address for daemons, ClientAddress the one for clients.
	Address       string `cbor:"3,keyasint"`
	ClientAddress string `cbor:"4,keyasint"`
	FailureDomain string `cbor:"5,keyasint"`
	// Ready reports whether clients should be sent to the daemon.
	Ready   bool `cbor:"6,keyasint,omitempty"`
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Eligible is described at membership.PeerStatus.
	Eligible bool `cbor:"21,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `cbor:"8,keyasint,omitempty"`
	// Ages holds, by subject, the time in ms since the daemon's knowledge was last
	// confirmed to be complete, or AgeUnknown.
	Ages   []int64             `cbor:"9,keyasint"`
	Work   []relay.ServerWork  `cbor:"10,keyasint,omitempty"`
	Orders []relay.OrderReport `cbor:"11,keyasint,omitempty"`
	// KnownAddresses lists addresses of other daemons, for discovery.
	KnownAddresses []string `cbor:"12,keyasint,omitempty"`
	// Placed holds the prompts placed in the round PlacedRound. Several messages may
	// carry the same round.
	Placed      []relay.Placement `cbor:"13,keyasint,omitempty"`
	PlacedRound uint64            `cbor:"14,keyasint,omitempty"`
	// Timestamp is the sender's clock in ms at the time of sending. EchoTimestamp is the
	// newest timestamp that the sender received from the run EchoIncarnation: the
	// message was sent after that moment of the receiver's own clock.
	Timestamp       int64  `cbor:"16,keyasint,omitempty"`
	EchoTimestamp   int64  `cbor:"17,keyasint,omitempty"`
	EchoIncarnation uint64 `cbor:"18,keyasint,omitempty"`
	// WantsEvidence reports that the daemon evaluates roll-outs and needs the evidence of
	// the others.
	WantsEvidence bool `cbor:"19,keyasint,omitempty"`
	// Suspects lists addresses that recently did not respond to the sender. The receiver calls
	// them next.
	Suspects []string `cbor:"20,keyasint,omitempty"`
	// Quarantine holds recent changes of the quarantine.
	Quarantine quarantine.Update `cbor:"22,keyasint,omitempty"`
	// ServerLimits holds the recent changes of the request rates that servers state.
	ServerLimits []serverlimit.Update `cbor:"30,keyasint,omitempty"`
	// TerminatedServers lists, for a daemon that just joined, the servers that have terminated
	// and are not warm since, by the hash of their ID.
	TerminatedServers []uint64 `cbor:"31,keyasint,omitempty"`
	// Departures holds recent reports of servers that have stated that they leave.
	Departures []serverstatus.DepartureReport `cbor:"32,keyasint,omitempty"`
	// OutOfReach reports that the sender reaches no server of some service.
	OutOfReach bool `cbor:"33,keyasint,omitempty"`
	// Terminations holds the servers whose termination was noticed lately.
	Terminations []gate.Termination `cbor:"34,keyasint,omitempty"`
	// ConcurrencyLimits holds recent reports of servers that tolerate few rejections.
	ConcurrencyLimits []concurrencylimit.Report `cbor:"35,keyasint,omitempty"`
	// ModelLoad is the sender's recent load by model. A daemon gets it from each other one at most
	// once in modelLoadInterval.
	ModelLoad []relay.ModelLoad `cbor:"38,keyasint,omitempty"`
	// EngineSpeeds holds observations of engines' speeds for the receiver.
	EngineSpeeds *enginespeed.Report `cbor:"36,keyasint,omitempty"`
	// WorkspaceWork is the sender's recent work on one service, by workspace, while there is contention.
	WorkspaceWork *fairshare.Report `cbor:"37,keyasint,omitempty"`
	// Started and Sequence are those of the sender's record, see membership.PeerRecord.
	Started  int64  `cbor:"23,keyasint,omitempty"`
	Sequence uint64 `cbor:"24,keyasint,omitempty"`
	// Peers holds records of other daemons that changed up to the version PeersUpTo of the
	// sender's table. PeersMore reports that further changes follow.
	Peers     []membership.PeerRecord `cbor:"25,keyasint,omitempty"`
	PeersUpTo uint64                  `cbor:"26,keyasint,omitempty"`
	PeersMore bool                    `cbor:"27,keyasint,omitempty"`
	// PeersSeen is the PeersUpTo of the last message that the sender received from the run
	// EchoIncarnation.
	PeersSeen uint64 `cbor:"28,keyasint,omitempty"`
	// PeersDigest identifies the sender's set of records; zero in a small fleet.
	PeersDigest uint64 `cbor:"29,keyasint,omitempty"`
	// NextPositions holds the next position to read, by topic.
	NextPositions []feed.Position `cbor:"15,keyasint,omitempty"`
}

// AgeUnknown is the age of knowledge that was never confirmed.
const AgeUnknown = -1

// Age returns the time since the daemon's knowledge of a subject was last confirmed to be
// complete, and whether it ever was.
func (m Message) Age(subject freshness.Subject) (time.Duration, bool) {
	if int(subject) >= len(m.Ages) || m.Ages[subject] < 0 {
		return 0, false
	}
	return time.Duration(m.Ages[subject]) * time.Millisecond, true
}

// NextPosition returns the next position that the daemon reads in a topic.
func (m Message) NextPosition(topic int) feed.Position {
	if topic < 0 || topic >= len(m.NextPositions) {
		return 0
	}
	return m.NextPositions[topic]
}

// record returns the sender's record in the message.
func (m Message) record() membership.PeerRecord {
	return membership.PeerRecord{
		Address: m.Address, ClientAddress: m.ClientAddress, Name: m.Name, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation,
		Started: m.Started, Sequence: m.Sequence, Ready: m.Ready, Eligible: m.Eligible, Leaving: m.Leaving,
	}
}
