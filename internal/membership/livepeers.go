package membership

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PeerStatus is the part of a daemon's published state that decides its rank.
type PeerStatus struct {
	// Name is the name of the daemon, and Incarnation identifies one run of it.
	Name, Incarnation string
	// Eligible reports whether the daemon may work on behalf of the whole fleet: it is starting or has
	// started, and it reaches the store or no daemon does.
	Eligible bool
	Leaving  bool
}

// LivePeers holds the daemons that were recently in contact with the own one. Counts and
// ranks are maintained incrementally, because every received message needs them: an
// update takes constant time, and expiry only costs time for peers that expire. It is not
// safe for concurrent use.
type LivePeers struct {
	ownHash   uint64
	byAddress map[string]*list.Element
	// byLastSeen holds *livePeer, the least recently seen first.
	byLastSeen   *list.List
	incarnations map[string]int
	// eligible and ineligible count the daemons that are not leaving.
	eligible, ineligible rankCounts
}

// livePeer is one daemon that was recently in contact.
type livePeer struct {
	address  string
	lastSeen time.Time
	PeerStatus
	hash         uint64
	precedesSelf bool
}

// rankCounts counts daemons, and how many of them rank before the own one.
type rankCounts struct{ total, preceding int }

// NewLivePeers returns an empty set for the daemon of a name.
func NewLivePeers(ownName string) *LivePeers {
	return &LivePeers{ownHash: xxhash.Sum64String(ownName), byAddress: map[string]*list.Element{}, byLastSeen: list.New(), incarnations: map[string]int{}}
}

// Update records the status of the daemon at an address. Times must not decrease.
func (l *LivePeers) Update(address string, status PeerStatus, now time.Time) {
	if element := l.byAddress[address]; element != nil {
		old := element.Value.(*livePeer)
		l.adjustCounts(old, -1)
		old.lastSeen = now
		if old.Name != status.Name {
			l.setName(old, status.Name)
		}
		old.PeerStatus = status
		l.adjustCounts(old, 1)
		l.byLastSeen.MoveToBack(element)
		return
	}
	fresh := &livePeer{address: address, lastSeen: now, PeerStatus: status}
	l.setName(fresh, status.Name)
	l.adjustCounts(fresh, 1)
	l.byAddress[address] = l.byLastSeen.PushBack(fresh)
}

// setName updates the hash of a peer's name and its order relative to the own daemon.
// Hashing makes the order independent of failure domains, which may fail as a whole.
func (l *LivePeers) setName(peer *livePeer, name string) {
	peer.hash = xxhash.Sum64String(name)
	peer.precedesSelf = peer.hash < l.ownHash
}

// adjustCounts adds delta for a peer to the counts.
func (l *LivePeers) adjustCounts(peer *livePeer, delta int) {
	if l.incarnations[peer.Incarnation] += delta; l.incarnations[peer.Incarnation] == 0 {
		delete(l.incarnations, peer.Incarnation)
	}
	if peer.Leaving {
		return
	}
	counts := &l.ineligible
	if peer.Eligible {
		counts = &l.eligible
	}
	counts.total += delta
	if peer.precedesSelf {
		counts.preceding += delta
	}
}

// ExpireSilent removes the daemons that were not seen for longer than timeout, and calls
// expired with the address of each.
func (l *LivePeers) ExpireSilent(now time.Time, timeout time.Duration, expired func(address string)) {
	for element := l.byLastSeen.Front(); element != nil && now.Sub(element.Value.(*livePeer).lastSeen) > timeout; element = l.byLastSeen.Front() {
		address := element.Value.(*livePeer).address
		l.Remove(address)
		expired(address)
	}
}

// Remove removes the daemon at an address.
func (l *LivePeers) Remove(address string) {
	element := l.byAddress[address]
	if element == nil {
		return
	}
	l.byLastSeen.Remove(element)
	l.adjustCounts(element.Value.(*livePeer), -1)
	delete(l.byAddress, address)
}

// First returns the addresses of the peers among the n daemons of the lowest ranks. SelfEligible
// reports whether the own daemon is eligible.
func (l *LivePeers) First(n int, selfEligible bool) []string {
	type ranked struct {
		hash    uint64
		address string
	}
	var all []ranked
	if selfEligible {
		all = append(all, ranked{hash: l.ownHash})
	}
	for address, element := range l.byAddress {
		if peer := element.Value.(*livePeer); peer.Eligible && !peer.Leaving {
			all = append(all, ranked{peer.hash, address})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	var out []string
	for _, r := range all[:min(n, len(all))] {
		if r.address != "" {
			out = append(out, r.address)
		}
	}
	return out
}

// Len returns the number of live peers.
func (l *LivePeers) Len() int { return l.byLastSeen.Len() }

// Hashes returns the hash of the own daemon's name, and those of the live peers that are not
// leaving.
func (l *LivePeers) Hashes() (own uint64, others []uint64) {
	others = make([]uint64, 0, len(l.byAddress))
	for _, element := range l.byAddress {
		if peer := element.Value.(*livePeer); !peer.Leaving {
			others = append(others, peer.hash)
		}
	}
	return l.ownHash, others
}

// AddressOf returns the address of the live peer whose name has a hash.
func (l *LivePeers) AddressOf(hash uint64) (address string, found bool) {
	for address, element := range l.byAddress {
		if peer := element.Value.(*livePeer); peer.hash == hash {
			return address, true
		}
	}
	return "", false
}

// Contains reports whether the daemon at an address is live.
func (l *LivePeers) Contains(address string) bool { return l.byAddress[address] != nil }

// HasIncarnation reports whether a run of a daemon is live.
func (l *LivePeers) HasIncarnation(incarnation string) bool { return l.incarnations[incarnation] > 0 }

// Rank returns the position of the own daemon among those that are not leaving, eligible
// ones first. Readiness does not affect the order: in an outage of the store, its changes
// reach the others late, and several daemons would rank themselves first.
func (l *LivePeers) Rank(eligible bool) int {
	if eligible {
		return l.eligible.preceding
	}
	return l.eligible.total + l.ineligible.preceding
}
