// Package membership holds a daemon's view of the other daemons: their state, the
// owners and replicas of keys, and the addresses offered to clients. It does no I/O.
//
// Failure detection follows SWIM: each round probes a few daemons, and state changes
// spread as rumors on the probes, so the load per daemon does not grow with the fleet.
package membership

import "time"

// State is the liveness of a daemon as seen by another one. At equal incarnation and
// sequence, the higher state wins.
type State uint8

const (
	// Alive daemons own keys and are offered to clients.
	Alive State = iota
	// Suspect daemons failed a probe. They own no keys until they refute.
	Suspect
	// Gone daemons did not refute within SuspicionTimeout.
	Gone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "gone"}[min(s, Gone)] }

const (
	// ProbeInterval is the period of probe rounds.
	ProbeInterval = time.Second
	// Fanout is the number of daemons probed per round. Probes exchange rumors in both
	// directions, so a rumor reaches n daemons in about log(n)/log(1+2*Fanout) rounds.
	Fanout = 2
	// MaxRumorsPerMessage bounds the rumors carried by one message.
	MaxRumorsPerMessage = 6
	// retransmitMultiplier times log2 of the fleet size is the number of times that a
	// daemon sends a rumor. Daemons that miss it are repaired by the next full sync.
	retransmitMultiplier = 1
	// SyncInterval is the period of fetching the whole table of another daemon.
	SyncInterval = 5 * time.Minute
	// SuspicionTimeout is how long a suspect daemon has to refute. It covers the spread
	// of both the suspicion and the refutation.
	SuspicionTimeout = 6 * time.Second
	// GoneRetention is how long a gone daemon stays in the table. Until then it counts
	// as unreachable in InMajority; otherwise an isolated daemon would be in the
	// majority of the few that it still reaches.
	GoneRetention = time.Hour
	// probeHistorySize is the number of recent probes that InMajority considers.
	probeHistorySize = 8
	// probeHistoryMaxAge is the age beyond which InMajority ignores a probe.
	probeHistoryMaxAge = 6 * time.Second
)

// DaemonInfo is the state that a daemon publishes about itself.
type DaemonInfo struct {
	ID            string `cbor:"1,keyasint" json:"id"`
	Address       string `cbor:"2,keyasint" json:"address"`
	PeerAddress   string `cbor:"3,keyasint" json:"peer_address"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
	// Incarnation is the start time of the daemon in Unix nanoseconds. A higher one
	// replaces a lower one at the same ID or peer address.
	Incarnation uint64 `cbor:"6,keyasint" json:"incarnation"`
	// Sequence is incremented when the daemon refutes a suspicion, and when Serving or
	// Leaving changes.
	Sequence uint64 `cbor:"7,keyasint" json:"sequence"`
	// ConfigNumber is the number of the configuration in force.
	ConfigNumber uint64 `cbor:"8,keyasint,omitempty" json:"number"`
	Leaving      bool   `cbor:"9,keyasint,omitempty" json:"leaving"`
	// Serving reports whether the daemon dispatches requests. It is false until a
	// configuration is loaded.
	Serving bool `cbor:"12,keyasint,omitempty" json:"serving"`
	// OutOfReach reports that the daemon reaches no server of some pool.
	OutOfReach bool `cbor:"13,keyasint,omitempty" json:"out_of_reach,omitempty"`
	// InFlight is the number of requests in flight, used to balance clients.
	InFlight int `cbor:"10,keyasint,omitempty" json:"in_flight"`
	// LogAgeMillis is the time since the log was last read, in ms, or LogAgeUnknown.
	LogAgeMillis int64 `cbor:"11,keyasint,omitempty" json:"log_age_ms"`
}

// LogAgeUnknown is the log age of a daemon that has not read the log yet.
const LogAgeUnknown = -1

// supersedes reports whether d is newer than other.
func (d DaemonInfo) supersedes(other DaemonInfo) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation > other.Incarnation
	}
	return d.Sequence > other.Sequence
}

// Rumor is a state change that daemons forward to each other.
type Rumor struct {
	Info  DaemonInfo `cbor:"1,keyasint"`
	State State      `cbor:"2,keyasint"`
}
