// Package lease decides who may order a pool's backend servers about. Leases are
// records of the log; the offset of the record is the fencing number. Clocks are
// compared with nobody else's. The package does no I/O.
package lease

import "time"

const (
	// Term is how long a holder may act after it asked for its lease.
	Term = 10 * time.Second
	// Margin is what a claimant waits beyond Term before it takes over: the
	// holder may have been paused between its last check and its order.
	Margin = 5 * time.Second
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
	// Fence rises with every accepted record; 0 means nobody held it yet.
	Fence uint64
	// Seen is when the own daemon folded the record, by its own clock.
	Seen time.Time
}

// State folds the lease stream.
type State struct {
	next   uint64
	leases map[string]Lease
}

// NewState returns an empty fold.
func NewState() *State { return &State{leases: map[string]Lease{}} }

// NextOffset returns the offset of the next record to fold.
func (f *State) NextOffset() uint64 { return f.next }

// Apply folds a record that was read at a time. A record whose predecessor aged
// out of the log is accepted when nothing is known of the lease.
func (f *State) Apply(offset uint64, r Record, now time.Time) {
	if offset < f.next {
		return
	}
	f.next = offset + 1
	cur, known := f.leases[r.Name]
	if known && r.Supersedes != cur.Fence {
		return
	}
	f.leases[r.Name] = Lease{Owner: r.Owner, Fence: offset + 1, Seen: now}
}

// Current returns the lease of a name.
func (f *State) Current(name string) Lease { return f.leases[name] }

// Claim returns the record to append now, if there is one: a renewal by the
// holder, or a takeover of a lease that was not renewed for Term and Margin.
func (f *State) Claim(name, owner string, now time.Time) (Record, bool) {
	cur := f.leases[name]
	age := now.Sub(cur.Seen)
	r := Record{Name: name, Owner: owner, Supersedes: cur.Fence}
	switch {
	case cur.Fence == 0:
		return r, true
	case cur.Owner == owner:
		return r, age >= RenewAfter
	}
	return r, age >= Term+Margin
}

// MayAct is the check right before each order: the lease is the owner's, and
// less than Term has passed since the record was asked for. A holder that was
// paused finds its time over here, instead of acting on a lease that others
// already hold.
func (f *State) MayAct(name, owner string, askedAt, now time.Time) (fence uint64, ok bool) {
	cur := f.leases[name]
	return cur.Fence, cur.Owner == owner && now.Sub(askedAt) < Term
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
	has := map[string]bool{}
	for _, h := range held {
		has[h] = true
	}
	want := map[string]bool{}
	for _, w := range wanted {
		want[w] = true
		if !has[w] {
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
