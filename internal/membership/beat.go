// Package membership is a daemon's view of the other daemons: who is alive,
// suspect, leaving or gone, which roles each holds, and which addresses callers
// should use. It does no I/O.
//
// A daemon probes a few others a round and takes everybody else for alive until
// told otherwise. Only changes travel, as rumors on the probes, so that the cost
// of a daemon does not grow with the fleet.
package membership

import "time"

// State is what one daemon believes of another. A higher one overrides a lower
// one of the same sequence.
type State uint8

const (
	// Alive daemons hold roles and get callers.
	Alive State = iota
	// Suspect daemons did not answer a probe; they hold no role and may refute.
	Suspect
	// Gone daemons did not refute in time.
	Gone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "gone"}[min(s, Gone)] }

const (
	// ProbeInterval is the period of rounds.
	ProbeInterval = time.Second
	// Fanout is how many daemons one round probes. Both sides learn from a
	// probe, so news reaches n daemons in about log(n)/log(1+2*Fanout) rounds:
	// four rounds for 520.
	Fanout = 2
	// RumorRows bounds the rumors on one message.
	RumorRows = 6
	// rumorFactor times log2 of the fleet's size is how often one daemon passes
	// a rumor on. What still misses a rumor hears it from a Sync.
	rumorFactor = 1
	// SyncInterval is the period of fetching another daemon's whole table.
	SyncInterval = 5 * time.Minute
	// RefuteTime is how long a suspect daemon has to refute. It covers the
	// spread of the suspicion and of the refutation in the largest fleet.
	RefuteTime = 6 * time.Second
	// ForgetAfter is when a gone daemon's row is dropped. Until then it counts
	// as unheard: a daemon cut off for minutes must not take the few it still
	// hears for the whole fleet.
	ForgetAfter = time.Hour
	// contactsKept is how many of the newest probes tell whether a daemon is cut
	// off.
	contactsKept = 8
	// contactFresh is the age up to which a probe tells anything.
	contactFresh = 6 * time.Second
)

// DaemonInfo is what a daemon says of itself.
type DaemonInfo struct {
	ID            string `cbor:"1,keyasint" json:"id"`
	Address       string `cbor:"2,keyasint" json:"address"`
	PeerAddress   string `cbor:"3,keyasint" json:"peer_address"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
	// Incarnation is the daemon's start time in Unix nanoseconds. A higher one
	// replaces a lower one at the same id or address.
	Incarnation uint64 `cbor:"6,keyasint" json:"incarnation"`
	// Sequence rises when the daemon refutes a suspicion, starts to serve, stops
	// serving or starts to leave.
	Sequence uint64 `cbor:"7,keyasint" json:"sequence"`
	// ConfigNumber is the configuration number in force there.
	ConfigNumber uint64 `cbor:"8,keyasint,omitempty" json:"number"`
	Leaving      bool   `cbor:"9,keyasint,omitempty" json:"leaving"`
	// Serving says that the daemon dispatches requests. One that just started has
	// no configuration yet; naming it to callers would earn them refusals.
	Serving bool `cbor:"12,keyasint,omitempty" json:"serving"`
	// InFlight is the number of requests there, for spreading callers.
	InFlight int `cbor:"10,keyasint,omitempty" json:"in_flight"`
	// LogAgeMillis is how long ago the daemon heard the log, in ms, or NeverHeard.
	LogAgeMillis int64 `cbor:"11,keyasint,omitempty" json:"log_age_ms"`
}

// LogAgeUnknown is the log age of a daemon that has not heard the log yet.
const LogAgeUnknown = -1

// newer reports whether b says something later than o.
func (b DaemonInfo) newer(o DaemonInfo) bool {
	if b.Incarnation != o.Incarnation {
		return b.Incarnation > o.Incarnation
	}
	return b.Sequence > o.Sequence
}

// Rumor is a change that daemons pass on.
type Rumor struct {
	Info  DaemonInfo `cbor:"1,keyasint"`
	State State      `cbor:"2,keyasint"`
}
