// Package lease decides who may order a pool's backend servers about. Leases are
// records of the log; the offset of the record is the fencing number. Clocks are
// compared with nobody else's. The package does no I/O.
package lease

import "time"

const (
	// Duration is how long a holder may act after it asked for its lease.
	Duration = 10 * time.Second
	// TakeoverDelay is what a claimant waits beyond Term before it takes over: the
	// holder may have been paused between its last check and its order.
	TakeoverDelay = 5 * time.Second
	// RenewAfter is when a holder renews.
	RenewAfter = 4 * time.Second
)

// Record claims or renews a lease.
type Record struct {
	Name  string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
	// Supersedes is the fencing number of the lease the author saw in force, or
	// 0. A claim against an older lease is void, so of two racing claimants the
	// one with the lower offset wins.
	Supersedes uint64 `cbor:"3,keyasint"`
}

// Lease is the lease in force.
type Lease struct {
	Owner string
	// FencingToken rises with every accepted record; 0 means nobody held it yet.
	FencingToken uint64
	// ObservedAt is when the own daemon folded the record, by its own clock.
	ObservedAt time.Time
}

// State folds the lease stream.
type State struct {
	nextOffset uint64
	leases     map[string]Lease
}

// NewState returns an empty fold.
func NewState() *State { return &State{leases: map[string]Lease{}} }

// NextOffset returns the offset of the next record to fold.
func (f *State) NextOffset() uint64 { return f.nextOffset }

// Apply folds a record that was read at a time. A record whose predecessor aged
// out of the log is accepted when nothing is known of the lease.
func (f *State) Apply(offset uint64, r Record, now time.Time) {
	if offset < f.nextOffset {
		return
	}
	f.nextOffset = offset + 1
	cur, known := f.leases[r.Name]
	if known && r.Supersedes != cur.FencingToken {
		return
	}
	f.leases[r.Name] = Lease{Owner: r.Owner, FencingToken: offset + 1, ObservedAt: now}
}

// Current returns the lease of a name.
func (f *State) Current(name string) Lease { return f.leases[name] }

// Claim returns the record to append now, if there is one: a renewal by the
// holder, or a takeover of a lease that was not renewed for Term and Margin.
func (f *State) Claim(name, owner string, now time.Time) (Record, bool) {
	cur := f.leases[name]
	age := now.Sub(cur.ObservedAt)
	r := Record{Name: name, Owner: owner, Supersedes: cur.FencingToken}
	switch {
	case cur.FencingToken == 0:
		return r, true
	case cur.Owner == owner:
		return r, age >= RenewAfter
	}
	return r, age >= Duration+TakeoverDelay
}

// MayAct is the check right before each order: the lease is the owner's, and
// less than Term has passed since the record was asked for. A holder that was
// paused finds its time over here, instead of acting on a lease that others
// already hold.
func (f *State) MayAct(name, owner string, askedAt, now time.Time) (token uint64, ok bool) {
	cur := f.leases[name]
	return cur.FencingToken, cur.Owner == owner && now.Sub(askedAt) < Duration
}

// Order is what one server must do to hold what the configuration wants.
type Order struct {
	Action  string `json:"action"`
	Version string `json:"version"`
}

// Reconcile returns the orders that turn what a server holds into what it should
// hold. They are declarative: repeated or late ones do no harm, and a holder
// that acted after its time is corrected by the next round of the rightful one.
func Reconcile(wanted, held []string) []Order {
	var out []Order
	loaded := map[string]bool{}
	for _, h := range held {
		loaded[h] = true
	}
	want := map[string]bool{}
	for _, w := range wanted {
		want[w] = true
		if !loaded[w] {
			out = append(out, Order{"load", w})
		}
	}
	for _, h := range held {
		if !want[h] {
			out = append(out, Order{"unload", h})
		}
	}
	return out
}
