package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PeerRecord is the state of a daemon as daemons pass it on to each other.
type PeerRecord struct {
	_ struct{} `cbor:",toarray"`
	// Address is the address for daemons, which identifies the record. ClientAddress is the
	// address for clients.
	Address, ClientAddress string
	Name, FailureDomain    string
	// Incarnation identifies one run of the daemon, and Started is when it began, in Unix ms.
	// Of two runs at an address, the one with the later start counts.
	Incarnation string
	Started     int64
	// Sequence increases with each change of the record within a run.
	Sequence uint64
	Ready    bool
	Eligible bool
	Leaving  bool
	// Gone reports that the daemon did not respond to a partner. The daemon refutes it with a
	// higher Sequence.
	Gone bool
}

// supersedes reports whether a record replaces another one of the same address.
func (r PeerRecord) supersedes(other PeerRecord) bool {
	switch {
	case r.Incarnation == other.Incarnation:
		return r.Sequence > other.Sequence || r.Sequence == other.Sequence && r.Gone && !other.Gone
	case r.Started != other.Started:
		return r.Started > other.Started
	}
	return r.Incarnation > other.Incarnation
}

// Status returns the part of the record that decides the daemon's rank.
func (r PeerRecord) Status() PeerStatus {
	return PeerStatus{Name: r.Name, Incarnation: r.Incarnation, Eligible: r.Eligible, Leaving: r.Leaving}
}

// digest hashes what distinguishes two records of the same address.
func (r PeerRecord) digest() uint64 {
	var number [8]byte
	for i := range number {
		number[i] = byte(r.Sequence >> (8 * i))
	}
	return xxhash.Sum64String(r.Address + "\x00" + r.Incarnation + "\x00" + string(number[:]))
}

// goneRetention is how long a gone daemon is remembered, so that an older record of it does not
// bring it back.
const goneRetention = time.Minute

// PeerTable holds the newest known record of each daemon, including the own one, in the order of
// their changes: a partner gets each change once. It is not safe for concurrent use.
type PeerTable struct {
	self    PeerRecord
	entries map[string]*peerEntry
	// version counts the changes, and changes lists them in order. An entry may have older
	// changes in the list, which are skipped.
	version uint64
	changes []peerChange
	// nodesVersion counts the changes of the set of daemons that are not gone.
	nodesVersion uint64
	// digest combines the digests of the records that are not gone.
	digest uint64
	alive  int
	// domainSizes counts the daemons that are not gone by failure domain.
	domainSizes map[string]int
}

type peerEntry struct {
	PeerRecord
	changedAt uint64
	// source is the address of the daemon that passed the record on, or empty.
	source    string
	goneSince time.Time
}

type peerChange struct {
	version uint64
	entry   *peerEntry
}

// NewPeerTable returns a table with the record of the own daemon only.
func NewPeerTable(self PeerRecord) *PeerTable {
	t := &PeerTable{self: self, entries: map[string]*peerEntry{}, domainSizes: map[string]int{}}
	t.put(self, "")
	return t
}

// Self returns the record of the own daemon.
func (t *PeerTable) Self() PeerRecord { return t.self }

// SetSelf sets the own status, and increases the sequence if it changed.
func (t *PeerTable) SetSelf(ready, eligible, leaving bool) {
	r := t.self
	r.Ready, r.Eligible, r.Leaving = ready, eligible, leaving
	if r != t.self {
		r.Sequence++
		t.setSelf(r)
	}
}

func (t *PeerTable) setSelf(r PeerRecord) {
	t.self = r
	t.put(r, "")
}

// put stores a record as the newest change.
func (t *PeerTable) put(r PeerRecord, source string) *peerEntry {
	e := t.entries[r.Address]
	if e == nil || e.Gone != r.Gone || e.FailureDomain != r.FailureDomain {
		t.nodesVersion++
	}
	if e == nil {
		e = &peerEntry{}
		t.entries[r.Address] = e
	} else {
		t.count(e, -1)
	}
	t.version++
	e.PeerRecord, e.changedAt, e.source = r, t.version, source
	t.count(e, 1)
	t.changes = append(t.changes, peerChange{t.version, e})
	if len(t.changes) > 4*len(t.entries)+minChangeLog {
		t.compact()
	}
	return e
}

// minChangeLog is the length of the list of changes up to which it is not compacted.
const minChangeLog = 64

// count adds an entry to the digest and the number of alive daemons, or removes it.
func (t *PeerTable) count(e *peerEntry, delta int) {
	if !e.Gone {
		t.digest ^= e.PeerRecord.digest()
		t.alive += delta
		t.domainSizes[e.FailureDomain] += delta
	}
}

// compact drops the changes that newer ones of the same entry have replaced.
func (t *PeerTable) compact() {
	kept := t.changes[:0]
	for _, c := range t.changes {
		if c.version == c.entry.changedAt && t.entries[c.entry.Address] == c.entry {
			kept = append(kept, c)
		}
	}
	clear(t.changes[len(kept):])
	t.changes = kept
}

// Observe records what a daemon says of itself, and reports whether it is news.
func (t *PeerTable) Observe(r PeerRecord) bool {
	if r.Address == t.self.Address {
		return false
	}
	if e := t.entries[r.Address]; e != nil && e.Incarnation == r.Incarnation && (r.Sequence < e.Sequence || r == e.PeerRecord || e.Gone && r.Sequence == e.Sequence) {
		return false
	}
	t.put(r, r.Address)
	return true
}

// Merge applies a record that another daemon passed on, and reports whether it is news. The own
// daemon refutes that it is gone or replaced.
func (t *PeerTable) Merge(r PeerRecord, source string) bool {
	if r.Address == t.self.Address {
		t.refute(r)
		return false
	}
	if e := t.entries[r.Address]; e != nil && !r.supersedes(e.PeerRecord) {
		return false
	}
	t.put(r, source)
	return true
}

func (t *PeerTable) refute(r PeerRecord) {
	own := t.self
	switch {
	case r.Incarnation != own.Incarnation && r.supersedes(own):
		own.Started = r.Started + 1
	case r.Incarnation == own.Incarnation && r.Gone && r.Sequence >= own.Sequence:
		own.Sequence = r.Sequence + 1
	default:
		return
	}
	t.setSelf(own)
}

// MarkGone records that a daemon does not respond.
func (t *PeerTable) MarkGone(address string) {
	e := t.entries[address]
	if e == nil || e.Gone || address == t.self.Address {
		return
	}
	r := e.PeerRecord
	r.Gone = true
	t.put(r, "")
}

// Forget drops the daemons that have been gone for goneRetention.
func (t *PeerTable) Forget(now time.Time) {
	for address, e := range t.entries {
		switch {
		case !e.Gone:
			e.goneSince = time.Time{}
		case e.goneSince.IsZero():
			e.goneSince = now
		case now.Sub(e.goneSince) > goneRetention:
			delete(t.entries, address)
		}
	}
}

// Get returns the record of the daemon at an address.
func (t *PeerTable) Get(address string) (PeerRecord, bool) {
	e := t.entries[address]
	if e == nil {
		return PeerRecord{}, false
	}
	return e.PeerRecord, true
}

// Alive returns the number of daemons that are not gone, including the own one.
func (t *PeerTable) Alive() int { return t.alive }

// Nodes lists the daemons that are not gone, without the own one.
func (t *PeerTable) Nodes() []OverlayNode {
	out := make([]OverlayNode, 0, len(t.entries))
	for address, e := range t.entries {
		if !e.Gone && address != t.self.Address {
			out = append(out, OverlayNode{Address: address, FailureDomain: e.FailureDomain})
		}
	}
	return out
}

// NodesVersion changes whenever the result of Nodes does.
func (t *PeerTable) NodesVersion() uint64 { return t.nodesVersion }

// Version returns the version after the newest change.
func (t *PeerTable) Version() uint64 { return t.version }

// Digest identifies the set of records that are not gone: two tables with the same records have
// the same digest.
func (t *PeerTable) Digest() uint64 { return t.digest }

// Receiver is a daemon that gets records.
type Receiver struct {
	Address, FailureDomain string
	// All reports that it gets all records, since its table differs for long.
	All bool
}

// Since returns up to limit records that changed after a version, oldest first, and the version
// that they reach. Records that the receiver passed on itself are left out, and most of those for
// another failure domain, which few daemons of this one pass on.
func (t *PeerTable) Since(version uint64, receiver Receiver, limit int) (records []PeerRecord, upTo uint64) {
	upTo = version
	across := !receiver.All && receiver.FailureDomain != t.self.FailureDomain && t.domainSizes[receiver.FailureDomain] >= minCrossedDomain
	for _, c := range t.changes[t.firstAfter(version):] {
		if c.version == c.entry.changedAt && c.entry.source != receiver.Address && (!across || t.passesAcross(c.entry)) {
			if len(records) == limit {
				return records, upTo
			}
			records = append(records, c.entry.PeerRecord)
		}
		upTo = c.version
	}
	return records, t.version
}

// crossingFraction is the fraction of the daemons, as a divisor, that pass a record on to other
// failure domains.
const crossingFraction = 8

// minCrossedDomain is the size of a failure domain from which enough links lead there that few of
// them have to carry a record.
const minCrossedDomain = 64

// passesAcross reports whether this daemon passes a record on to other failure domains: its own,
// and those for which a hash selects it.
func (t *PeerTable) passesAcross(e *peerEntry) bool {
	return e.Address == t.self.Address || xxhash.Sum64String(t.self.Address+"\x00"+e.Address)%crossingFraction == 0
}

// firstAfter returns the index of the first change after a version.
func (t *PeerTable) firstAfter(version uint64) int {
	low, high := 0, len(t.changes)
	for low < high {
		if middle := (low + high) / 2; t.changes[middle].version <= version {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
