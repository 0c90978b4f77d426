package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/membership"
)

// In a large fleet, a daemon exchanges messages with a bounded number of partners instead of all
// daemons, so that its messages and connections do not grow with the fleet. Partners pass on the
// records of the others, and detect failures for all.

const (
	// overlayInterval is the period of exchanges with each partner.
	overlayInterval = 500 * time.Millisecond
	// overlayPropagation is the time within which a confirmation reaches all daemons through
	// partners, and meshPropagation that in a mesh in which a round does not reach all.
	overlayPropagation = 2500 * time.Millisecond
	meshPropagation    = time.Second
	// partnerTimeout is the silence after which a partner counts as gone.
	partnerTimeout = 3 * overlayInterval
	// maxPeerRecords bounds the records in one message.
	maxPeerRecords = 64
	// maxUnknownCalls bounds the calls per sweep to addresses of which no record is known.
	maxUnknownCalls = 4
	// minPartnersInContact is the fraction of the partners, as a divisor, that must be in
	// contact to declare others gone. A daemon in contact with fewer may be cut off itself.
	minPartnersInContact = 4
	// resyncDelay is how long the tables of two partners must differ, without changes on either
	// side, before all records are exchanged.
	resyncDelay = 3 * time.Second
)

// overlay is the choice of a daemon's partners.
type overlay struct {
	active bool
	// partners are the addresses of the partners, with the time since which they are.
	partners map[string]time.Time
	// nodesVersion is that of the table for which the partners were chosen.
	nodesVersion uint64
	// sweptAt is the time of the last sweep.
	sweptAt time.Time
	// evidenceAt is when evidence was last sent to the evaluators, with alarms bad answers.
	evidenceAt time.Time
	alarms     uint64
	// digest is the last digest of the own table, digestSince the time since when it holds.
	digest      uint64
	digestSince time.Time
}

// link is the state of the exchange of records with one run of a member.
type link struct {
	incarnation string
	// sent is the version of the own table that the member has confirmed, and lastUpTo the one
	// that the last message reached.
	sent, lastUpTo uint64
	// received is the PeersUpTo of its last message.
	received uint64
	// digest is the last digest of its table.
	digest uint64
	// sendsAll reports that all records are sent again, since resyncedAt.
	sendsAll   bool
	resyncedAt time.Time
}

// includes reports whether a daemon is a partner, or all daemons are.
func (o *overlay) includes(address string) bool {
	_, found := o.partners[address]
	return found || !o.active
}

// InOverlay reports whether this daemon exchanges messages with partners only.
func (m *Members) InOverlay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overlay.active
}

// Propagation returns the time that a confirmation takes to reach all daemons, or zero if each
// daemon is in contact with all others in every round.
func (m *Members) Propagation() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.overlay.active:
		return overlayPropagation
	case m.live.Len() >= 2*fanout:
		return meshPropagation
	}
	return 0
}

// PartnerCount returns the number of daemons with which this one exchanges messages.
func (m *Members) PartnerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.overlay.active {
		return len(m.overlay.partners)
	}
	return m.live.Len()
}

// updateOverlay chooses the partners if the known daemons have changed. Callers hold mu.
func (m *Members) updateOverlay(now time.Time) {
	daemons := m.live.Len() + 1
	if m.overlay.active {
		daemons = m.table.Alive()
	}
	if active := daemons > membership.MeshLimit; active != m.overlay.active {
		m.log.Info("gossip topology", "overlay", active, "daemons", daemons)
		m.overlay.active, m.overlay.nodesVersion = active, 0
		m.syncLive(now)
		m.dropAllWork()
	}
	if !m.overlay.active {
		m.overlay.partners = nil
		return
	}
	if m.overlay.nodesVersion == m.table.NodesVersion() {
		return
	}
	m.overlay.nodesVersion = m.table.NodesVersion()
	self := m.table.Self()
	partners := map[string]time.Time{}
	for _, address := range membership.Partners(membership.OverlayNode{Address: self.Address, FailureDomain: self.FailureDomain}, m.table.Nodes()) {
		partners[address] = now
		if since, known := m.overlay.partners[address]; known {
			partners[address] = since
		}
		m.addMember(address)
	}
	m.overlay.partners = partners
}

// syncLive makes all daemons live that are not gone: in the overlay most of them are never in
// contact, and in a mesh it takes a while until they are. Callers hold mu.
func (m *Members) syncLive(now time.Time) {
	for _, node := range m.table.Nodes() {
		r, _ := m.table.Get(node.Address)
		m.addMember(node.Address)
		m.live.Update(node.Address, r.Status(), now)
	}
}

// dropAllWork drops the work of all members, since messages in the overlay carry none. Callers hold
// mu.
func (m *Members) dropAllWork() {
	for _, other := range m.members {
		m.dropWork(other)
	}
}

// nextOverlayCalls returns the members to call in this round. Callers hold mu.
func (m *Members) nextOverlayCalls(evidence Evidence, now time.Time) []*member {
	var due []*member
	for address := range m.overlay.partners {
		other := m.members[address]
		if !other.callPending && isDue(other, now) {
			due = append(due, other)
		}
	}
	if now.Sub(m.overlay.sweptAt) >= retryInterval {
		m.overlay.sweptAt = now
		due = append(due, m.sweep(now)...)
	}
	for _, other := range m.evidenceCalls(evidence, now) {
		if !slices.Contains(due, other) {
			due = append(due, other)
		}
	}
	return beginCalls(due, now)
}

// sweep drops the members that have been gone for long, and returns addresses to call of which no
// record is known. Callers hold mu.
func (m *Members) sweep(now time.Time) []*member {
	m.table.Forget(now)
	var unknown []*member
	for address, other := range m.members {
		record, known := m.table.Get(address)
		if record.Gone && now.Sub(other.lastContact) > partnerTimeout {
			m.removeLive(other) // it was in contact when it was reported
		}
		switch {
		case other.callPending || m.overlay.includes(address) || known && !record.Gone:
		case now.Sub(other.added) > addressRetention && now.Sub(other.lastContact) > addressRetention:
			delete(m.members, address)
		case !known:
			unknown = append(unknown, other)
		}
	}
	slices.SortFunc(unknown, compareCallPriority)
	return unknown[:min(maxUnknownCalls, len(unknown))]
}

// isDue reports whether to call a partner. Partners call each other in turn, since the response to
// a call states the age of confirmations more precisely than the call itself.
func isDue(other *member, now time.Time) bool {
	return now.Sub(other.lastContact) >= overlayInterval-Interval/2 && now.Sub(other.lastAttempt) >= 2*overlayInterval-Interval/2
}

// expirePartners marks silent partners as gone. It runs once per round. Callers hold mu.
func (m *Members) expirePartners(now time.Time) {
	var silent []*member
	inContact := 0
	for address, since := range m.overlay.partners {
		other := m.members[address]
		last := other.lastContact
		if since.After(last) {
			last = since
		}
		switch {
		case now.Sub(other.lastContact) <= partnerTimeout:
			inContact++
		case now.Sub(last) > partnerTimeout && other.lastCallFailed:
			silent = append(silent, other)
		}
	}
	if inContact*minPartnersInContact < len(m.overlay.partners) {
		return
	}
	for _, other := range silent {
		if m.live.Contains(other.address) {
			m.log.Warn("daemon lost", "daemon", other.latest.Name, "address", other.address, "silent_ms", now.Sub(other.lastContact).Milliseconds())
		}
		m.table.MarkGone(other.address)
		m.removeLive(other)
		delete(m.overlay.partners, other.address)
	}
}

// removeLive removes a daemon from the live set. Callers hold mu.
func (m *Members) removeLive(other *member) {
	m.live.Remove(other.address)
	m.dropWork(other)
}

// addPeerRecords adds to a message the records that its receiver lacks. Callers hold mu.
func (m *Members) addPeerRecords(msg *Message, to string) {
	other := m.members[to]
	if other == nil {
		return
	}
	l := &other.link
	msg.PeersSeen = l.received
	if !m.overlay.active {
		return
	}
	record, known := m.table.Get(to)
	receiver := membership.Receiver{Address: to, FailureDomain: record.FailureDomain, All: l.sendsAll || !known}
	msg.Peers, msg.PeersUpTo = m.table.Since(l.sent, receiver, maxPeerRecords)
	msg.PeersMore = msg.PeersUpTo < m.table.Version()
	msg.PeersDigest = m.table.Digest()
	l.lastUpTo = msg.PeersUpTo
}

// receivePeerRecords applies the records of other daemons in a message. Callers hold mu.
func (m *Members) receivePeerRecords(other *member, msg Message, now time.Time) {
	l := &other.link
	if l.incarnation != msg.Incarnation {
		*l = link{incarnation: msg.Incarnation}
	}
	if msg.PeersSeen == l.lastUpTo && msg.EchoIncarnation == xxhash.Sum64String(m.incarnation) {
		l.sent = max(l.sent, l.lastUpTo)
	}
	if msg.PeersDigest == 0 {
		return // a daemon in a mesh sends no peer records
	}
	for _, r := range msg.Peers {
		m.mergeRecord(r, other.address, now)
	}
	l.received = msg.PeersUpTo
	m.compareDigests(l, msg, now)
}

// compareDigests skips records that the member has already, and sends all of them again if the
// tables still differ although nothing has changed for a while. Callers hold mu.
func (m *Members) compareDigests(l *link, msg Message, now time.Time) {
	own := m.table.Digest()
	if own != m.overlay.digest {
		m.overlay.digest, m.overlay.digestSince = own, now
	}
	switch {
	case msg.PeersDigest == own:
		l.sent, l.sendsAll = m.table.Version(), false
	case msg.PeersDigest == l.digest && l.sent == m.table.Version() && now.Sub(m.overlay.digestSince) > resyncDelay && now.Sub(l.resyncedAt) > resyncDelay:
		l.sent, l.lastUpTo, l.sendsAll, l.resyncedAt = 0, 0, true, now
	}
	l.digest = msg.PeersDigest
}

// mergeRecord applies a record that a member passed on. Callers hold mu.
func (m *Members) mergeRecord(r membership.PeerRecord, source string, now time.Time) {
	if !m.table.Merge(r, source) {
		return
	}
	other := m.addMember(r.Address)
	inContact := other.latest.Incarnation == r.Incarnation && now.Sub(other.lastContact) <= partnerTimeout
	switch {
	case !r.Gone:
		m.live.Update(r.Address, r.Status(), now)
	case !inContact:
		m.removeLive(other)
	}
}
