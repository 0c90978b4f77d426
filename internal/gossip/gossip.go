// Package gossip exchanges periodic messages between the daemons of a deployment: their
// liveness, their work at backend servers, and their evidence on new versions.
package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
)

const (
	// Interval is the pause between two rounds, and thus the delay with which the work of
	// other daemons is known.
	Interval = 250 * time.Millisecond
	// recentContactWindow is the time after a contact in which a daemon is not called, so
	// that of two daemons only one calls the other.
	recentContactWindow = 200 * time.Millisecond
	// addressesInterval is the period of sending all known addresses.
	addressesInterval = 2 * time.Second
	// introductionPeriod is how long a new daemon gets introductionSize addresses with
	// each message, so that it finds the others before it computes its rank.
	introductionPeriod = 2 * time.Second
	introductionSize   = 32
	// callTimeout bounds one call.
	callTimeout = 700 * time.Millisecond
	// minLivenessTimeout is the minimum silence after which a daemon counts as gone; it
	// tolerates a lost packet. livenessTimeoutCycles is the timeout as a number of cycles
	// in which every other daemon is called once.
	minLivenessTimeout    = 950 * time.Millisecond
	livenessTimeoutCycles = 3
	// addressRetention is how long an address without any contact is kept.
	addressRetention = 60 * time.Second
	// retryInterval is the pause between calls to an address that does not respond. An
	// address added within startupWindow may belong to a starting daemon, and is called
	// in every round.
	retryInterval = time.Second
	startupWindow = 3 * time.Second
	// fanout is the maximum number of daemons called per round.
	fanout = 8
	// suspectReportPeriod is how long a failed call is reported to others, and maxSuspects
	// the number of failures reported at a time.
	suspectReportPeriod = 2 * time.Second
	maxSuspects         = 8
	// leavingRetention is how long a run that announced its shutdown is remembered.
	leavingRetention = 30 * time.Second
)

// member is a known address of a daemon.
type member struct {
	address     string
	latest      Message
	lastContact time.Time
	added       time.Time
	// incarnationSince is the time of the first contact with the present run.
	incarnationSince time.Time
	lastAttempt      time.Time
	// tiebreak orders members with equal activity. It differs between daemons, so that
	// they do not all call the same members first.
	tiebreak    uint64
	callPending bool
	// fetchFailedAt is when it last did not send records.
	fetchFailedAt time.Time
	// lastCallFailed reports that the last call failed, without contact since it began.
	lastCallFailed bool
	// suspected reports that another daemon failed to call it. It is called first.
	suspected bool
	// sendsEvidence reports that the pending call carries evidence on new versions.
	sendsEvidence bool
	// modelLoadAt is when the own load by model was last sent to it.
	modelLoadAt time.Time
	// link is the exchange of records with this member in the overlay.
	link link
}

// Members tracks the other known daemons. It is safe for concurrent use.
type Members struct {
	localMessage func(evidence bool) Message
	transport    Transport
	log          *log.Logger
	// OnMessage is called with every message. After is a reading of BootTime that precedes
	// the sending of the message, or zero if none is known.
	OnMessage func(msg Message, after time.Duration)
	// BootTime reads a monotonic clock that also counts while the VM is suspended.
	BootTime func() time.Duration
	// OnWorkChanged is called with changes of the other daemons' work at backend servers.
	OnWorkChanged func(changes []relay.ServerWork)

	// QuarantineUpdate returns the recent changes of the quarantine, or all of it for a
	// daemon that just joined.
	QuarantineUpdate func(recentlyJoined bool) quarantine.Update

	// ServerLimits returns the recent changes of the request rates that servers state, or all
	// rates for a daemon that just joined.
	ServerLimits func(recentlyJoined bool) []serverlimit.Update

	// Departures returns the recent reports of servers that have stated that they leave, or all
	// for a daemon that just joined.
	Departures func(recentlyJoined bool) []serverstatus.DepartureReport

	// TerminatedServers returns the servers that have terminated and are not warm since.
	TerminatedServers func() []uint64

	// EngineSpeeds returns the observations of engines' speeds for the daemon whose name has a hash.
	EngineSpeeds func(daemon uint64) *enginespeed.Report

	// ModelLoad returns the own recent load by model, which is empty if the others do not need it.
	ModelLoad func() []relay.ModelLoad

	// EvidenceState returns whether there is evidence for the evaluators of roll-outs.
	EvidenceState func() Evidence

	mu           sync.Mutex
	members      map[string]*member
	leavingSince map[string]time.Time
	address      string
	// live holds the members that are alive: those in contact recently and, in the overlay,
	// those that others pass on.
	live *membership.LivePeers
	// table holds the records of all daemons.
	table *membership.PeerTable
	// overlay is the choice of partners; it is inactive in a small fleet.
	overlay overlay
	// failedMembers are the members whose last call failed, the most recent last.
	failedMembers []*member
	// firstContact is the time of the first contact with another daemon, or zero.
	firstContact time.Time
	// expiredWork is the work of expired daemons, not yet passed to OnWorkChanged.
	expiredWork []relay.ServerWork
	// incarnation identifies this run, to ignore its own messages.
	incarnation     string
	addressesSentAt time.Time
}

// Self identifies the own daemon.
type Self struct {
	Name, FailureDomain string
	// Address is the address for daemons, ClientAddress the one for clients.
	Address, ClientAddress string
	// Incarnation identifies this run.
	Incarnation string
}

// New returns an empty set of members. LocalMessage builds the local part of a
// message, with the evidence on new versions if requested.
func New(self Self, localMessage func(evidence bool) Message, transport Transport, bootTime func() time.Duration, l *log.Logger) *Members {
	record := membership.PeerRecord{
		Address: self.Address, ClientAddress: self.ClientAddress, Name: self.Name, FailureDomain: self.FailureDomain,
		Incarnation: self.Incarnation, Started: time.Now().UnixMilli(),
	}
	return &Members{
		localMessage: localMessage, transport: transport, log: l, address: self.Address, incarnation: self.Incarnation, OnMessage: func(Message, time.Duration) {}, BootTime: bootTime,
		OnWorkChanged: func([]relay.ServerWork) {}, QuarantineUpdate: func(bool) quarantine.Update { return quarantine.Update{} }, ServerLimits: func(bool) []serverlimit.Update { return nil }, TerminatedServers: func() []uint64 { return nil }, Departures: func(bool) []serverstatus.DepartureReport { return nil }, EvidenceState: func() Evidence { return Evidence{} }, ModelLoad: func() []relay.ModelLoad { return nil }, EngineSpeeds: func(uint64) *enginespeed.Report { return nil }, members: map[string]*member{}, leavingSince: map[string]time.Time{},
		live: membership.NewLivePeers(self.Name), table: membership.NewPeerTable(record),
	}
}

// RegisterHandlers registers the handlers of gossip calls at a peer server.
func (m *Members) RegisterHandlers(s *peer.Server, records *RecordServer) {
	peer.Handle(s, recordsKind, func(_ context.Context, _ string, req RecordsRequest) (RecordsResponse, error) {
		return records.Handle(req), nil
	})
	peer.Handle(s, exchangeKind, func(_ context.Context, _ string, msg Message) (Message, error) {
		return m.HandleExchange(msg), nil
	})
}

// HandleExchange processes the message of a calling daemon and returns the local one.
func (m *Members) HandleExchange(msg Message) Message {
	m.Receive(msg.Address, msg)
	return m.newStampedMessage(msg.Address, msg.Incarnation, msg.Timestamp, msg.WantsEvidence)
}

// AddAddresses adds addresses of possible daemons.
func (m *Members) AddAddresses(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range addresses {
		if address != "" && address != m.address {
			m.addMember(address)
		}
	}
}

// addMember returns the member at an address, which it adds if it is new. Callers hold mu.
func (m *Members) addMember(address string) *member {
	other := m.members[address]
	if other == nil {
		other = &member{address: address, added: time.Now(), tiebreak: xxhash.Sum64String(m.address + "\x00" + address)}
		m.members[address] = other
	}
	return other
}

// newMessage builds a message for the daemon at an address.
func (m *Members) newMessage(to string, evidence bool) Message {
	msg := m.localMessage(evidence)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expireSilent(now)
	m.table.SetSelf(msg.Ready, msg.Eligible, msg.Leaving)
	msg.Started, msg.Sequence = m.table.Self().Started, m.table.Self().Sequence
	msg.Suspects = m.recentFailures(now)
	recentlyJoined := m.recentlyJoined(to, now)
	msg.Quarantine = m.QuarantineUpdate(recentlyJoined)
	msg.ServerLimits = m.ServerLimits(recentlyJoined)
	msg.Departures = m.Departures(recentlyJoined)
	msg.EngineSpeeds = m.engineSpeedsFor(to)
	msg.ModelLoad = m.modelLoadFor(to, now)
	if recentlyJoined {
		msg.TerminatedServers = m.TerminatedServers()
	}
	m.addPeerRecords(&msg, to)
	switch other := m.members[to]; {
	case m.overlay.active:
		// The records replace the addresses.
	case now.Sub(m.addressesSentAt) >= addressesInterval:
		m.addressesSentAt = now
		msg.KnownAddresses = m.sampleLiveAddresses(len(m.members))
	case other != nil && now.Sub(other.added) < introductionPeriod:
		msg.KnownAddresses = m.sampleLiveAddresses(introductionSize)
	}
	return msg
}

// recentlyJoined reports whether the run at an address is new or unknown. Callers hold mu.
func (m *Members) recentlyJoined(address string, now time.Time) bool {
	other := m.members[address]
	return other == nil || other.incarnationSince.IsZero() || now.Sub(other.incarnationSince) < introductionPeriod
}

// sampleLiveAddresses returns the addresses of up to n live members. Callers hold mu.
func (m *Members) sampleLiveAddresses(n int) []string {
	out := make([]string, 0, min(n, len(m.members)))
	for address := range m.members {
		if len(out) == n {
			break
		}
		if m.live.Contains(address) {
			out = append(out, address)
		}
	}
	return out
}

// newStampedMessage builds a message that echoes the newest timestamp of the receiver's run.
func (m *Members) newStampedMessage(address, incarnation string, echo int64, evidence bool) Message {
	msg := m.newMessage(address, evidence)
	msg.Timestamp = m.BootTime().Milliseconds()
	if incarnation != "" {
		msg.EchoTimestamp, msg.EchoIncarnation = echo, xxhash.Sum64String(incarnation)
	}
	return msg
}

// sentAfter returns a reading of the own clock that precedes the sending of a message, or
// zero if the message echoes no timestamp of this run.
func (m *Members) sentAfter(msg Message) time.Duration {
	if msg.EchoTimestamp <= 0 || msg.EchoIncarnation != xxhash.Sum64String(m.incarnation) {
		return 0
	}
	return time.Duration(msg.EchoTimestamp) * time.Millisecond
}

// livenessTimeout returns the silence after which a daemon counts as gone. Callers hold mu.
func (m *Members) livenessTimeout() time.Duration {
	cycle := time.Duration(len(m.members)) * Interval / (2 * fanout)
	return max(minLivenessTimeout, livenessTimeoutCycles*cycle)
}

// Receive processes a message from an address. It runs for every message, so its cost must
// not depend on the number of daemons.
func (m *Members) Receive(address string, msg Message) {
	m.AddAddresses(address)
	m.AddAddresses(msg.KnownAddresses...)
	now := time.Now()
	m.mu.Lock()
	other := m.members[address]
	if other == nil || msg.Incarnation == m.incarnation {
		m.mu.Unlock()
		return
	}
	m.expireSilent(now)
	if !m.overlay.active && (!m.live.Contains(address) || other.latest.Incarnation != msg.Incarnation) {
		m.log.Info("daemon discovered", "daemon", msg.Name, "address", address, "incarnation", msg.Incarnation, "config", msg.ConfigVersion, "ready", msg.Ready)
	}
	if msg.Leaving && !other.latest.Leaving && !m.overlay.active {
		m.log.Info("daemon leaves", "daemon", msg.Name, "address", address)
	}
	if msg.Leaving {
		m.leavingSince[msg.Incarnation] = now
	}
	if _, left := m.leavingSince[msg.Incarnation]; left {
		// Messages may be reordered; a leaving run stays leaving.
		msg.Leaving, msg.Ready = true, false
	}
	if m.firstContact.IsZero() {
		m.firstContact = now
	}
	if other.incarnationSince.IsZero() || other.latest.Incarnation != msg.Incarnation {
		other.incarnationSince = now
	}
	changes := workDelta(other.latest.Work, msg.Work)
	record := msg.record()
	record.Address = address
	m.live.Update(address, record.Status(), now)
	m.table.Observe(record)
	m.receivePeerRecords(other, msg, now)
	other.latest, other.lastContact, other.lastCallFailed, other.suspected = msg, now, false, false
	m.markSuspected(msg.Suspects, now)
	// Fields that are passed on at once are not retained, to save memory.
	other.latest.KnownAddresses, other.latest.Placed, other.latest.Orders, other.latest.Suspects = nil, nil, nil, nil
	other.latest.Quarantine, other.latest.Peers = quarantine.Update{}, nil
	other.latest.ServerLimits, other.latest.Departures, other.latest.TerminatedServers = nil, nil, nil
	other.latest.Terminations, other.latest.ConcurrencyLimits = nil, nil
	other.latest.ModelLoad, other.latest.EngineSpeeds, other.latest.WorkspaceWork = nil, nil, nil
	m.mu.Unlock()
	m.OnWorkChanged(changes)
	m.OnMessage(msg, m.sentAfter(msg))
}

// expireSilent removes silent daemons from the live set, along with their work. Callers
// hold mu.
func (m *Members) expireSilent(now time.Time) {
	if m.overlay.active {
		return // see expirePartners
	}
	m.live.ExpireSilent(now, m.livenessTimeout(), func(address string) { m.dropWork(m.members[address]) })
}

// dropWork drops the work of a daemon that is no longer live. Callers hold mu.
func (m *Members) dropWork(other *member) {
	m.expiredWork = append(m.expiredWork, workDelta(other.latest.Work, nil)...)
	other.latest.Work = nil
}

// withLive calls f with the current live set, holding mu.
func (m *Members) withLive(f func(live *membership.LivePeers)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	f(m.live)
}

// SinceFirstContact returns the time since the first contact with another daemon, and
// whether there was any.
func (m *Members) SinceFirstContact() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.firstContact), !m.firstContact.IsZero()
}

// LiveCount returns the number of other daemons that are live.
func (m *Members) LiveCount() (n int) {
	m.withLive(func(live *membership.LivePeers) { n = live.Len() })
	return n
}

// Rank returns the rank of this daemon: see membership.LivePeers.Rank.
func (m *Members) Rank(eligible bool) (rank int) {
	m.withLive(func(live *membership.LivePeers) { rank = live.Rank(eligible) })
	return rank
}

// AddressOf returns the address of the live daemon whose name has a hash.
func (m *Members) AddressOf(hash uint64) (address string, found bool) {
	m.withLive(func(live *membership.LivePeers) { address, found = live.AddressOf(hash) })
	return address, found
}

// IncarnationLive reports whether a run of a daemon is live.
func (m *Members) IncarnationLive(incarnation string) (live bool) {
	m.withLive(func(r *membership.LivePeers) { live = r.HasIncarnation(incarnation) })
	return live
}
