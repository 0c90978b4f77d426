// Package lease elects the daemon that may send orders to the backend servers of a pool.
// Leases are records of a log, and fencing tokens derive from record offsets. Each daemon
// uses only its own clock. The package does no I/O.
package lease

import "time"

const (
	// Duration is how long a holder may act after it requested its lease.
	Duration = 10 * time.Second
	// TakeoverDelay is how long a claimant waits beyond Duration before it takes over, in
	// case the holder was paused between its last check and its order.
	TakeoverDelay = 5 * time.Second
	// RenewAfter is the age at which a holder renews its lease.
	RenewAfter = 4 * time.Second
)

// Record claims or renews a lease.
type Record struct {
	Name  string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
	// Supersedes is the fencing token of the lease known to the owner, or 0. A record that
	// supersedes an older lease is void, so of racing claims the one with the lowest offset
	// wins.
	Supersedes uint64 `cbor:"3,keyasint"`
}

// Lease is the lease in force under one name.
type Lease struct {
	Owner string
	// FencingToken increases with every accepted record; 0 means that there was no lease yet.
	FencingToken uint64
	// ObservedAt is when this daemon applied the record, by its own clock.
	ObservedAt time.Time
}

// State is the state of all leases after the records applied so far.
type State struct {
	nextOffset uint64
	leases     map[string]Lease
}

// NewState returns a state without leases.
func NewState() *State { return &State{leases: map[string]Lease{}} }

// NextOffset returns the offset of the next record to apply.
func (s *State) NextOffset() uint64 { return s.nextOffset }

// Apply applies a record that was read at a time. If the lease is unknown, the record is
// accepted whatever it supersedes, since its predecessor may have expired from the log.
func (s *State) Apply(offset uint64, r Record, now time.Time) {
	if offset < s.nextOffset {
		return
	}
	s.nextOffset = offset + 1
	current, known := s.leases[r.Name]
	if known && r.Supersedes != current.FencingToken {
		return
	}
	s.leases[r.Name] = Lease{Owner: r.Owner, FencingToken: offset + 1, ObservedAt: now}
}

// Current returns the lease with a name.
func (s *State) Current(name string) Lease { return s.leases[name] }

// Claim returns the record to append now, if any: a renewal by the holder, or a takeover of
// a lease that was not renewed for Duration + TakeoverDelay.
func (s *State) Claim(name, owner string, now time.Time) (Record, bool) {
	current := s.leases[name]
	age := now.Sub(current.ObservedAt)
	r := Record{Name: name, Owner: owner, Supersedes: current.FencingToken}
	switch {
	case current.FencingToken == 0:
		return r, true
	case current.Owner == owner:
		return r, age >= RenewAfter
	}
	return r, age >= Duration+TakeoverDelay
}

// MayAct reports whether the owner holds the lease, requested less than Duration ago, and
// returns its fencing token. It is checked before each order, so that a holder that was paused
// does not act on an expired lease.
func (s *State) MayAct(name, owner string, requestedAt, now time.Time) (token uint64, ok bool) {
	current := s.leases[name]
	return current.FencingToken, current.Owner == owner && now.Sub(requestedAt) < Duration
}

// Order is a change to the loaded versions of one server.
type Order struct {
	Action  string `json:"action"`
	Version string `json:"version"`
}

// Reconcile returns the orders that bring a server from its loaded versions to the wanted
// ones. They are idempotent. Orders of an expired holder are corrected by the next round of
// the current one.
func Reconcile(wanted, loaded []string) []Order {
	var out []Order
	isLoaded := map[string]bool{}
	for _, v := range loaded {
		isLoaded[v] = true
	}
	isWanted := map[string]bool{}
	for _, w := range wanted {
		isWanted[w] = true
		if !isLoaded[w] {
			out = append(out, Order{"load", w})
		}
	}
	for _, v := range loaded {
		if !isWanted[v] {
			out = append(out, Order{"unload", v})
		}
	}
	return out
}
