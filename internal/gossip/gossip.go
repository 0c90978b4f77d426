// Package gossip lets the daemons of a deployment tell each other that they live,
// what work they have at backend servers, and what they saw of new versions.
package gossip

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/relay"
)

const (
	// Interval is the pause between two rounds. The work of others is known that
	// late; requests take a second, so it tells of most of them.
	Interval = 250 * time.Millisecond
	// recentContactWindow is the age of a pulse up to which its daemon is not called: of two
	// daemons one calls.
	recentContactWindow = 200 * time.Millisecond
	// addressesInterval is how often the addresses of other daemons are told.
	addressesInterval = 2 * time.Second
	// introductionPeriod is how long a daemon that was not known before is told some others
	// with each pulse, introduced how many: a daemon that starts reaches three at first,
	// and knows its place only when it has heard many. 32 addresses are 0.6 KB.
	introductionPeriod = 2 * time.Second
	introductionSize   = 32
	// callTimeout bounds one call. Round trips are some milliseconds.
	callTimeout = 700 * time.Millisecond
	// minLivenessTimeout is the silence after which a daemon of a small deployment is
	// taken as gone: some rounds, so that one lost packet does not take it out of
	// the directory. silentTurns is the same in turns of calling all others, where
	// one round does not reach them.
	minLivenessTimeout    = 950 * time.Millisecond
	livenessTimeoutCycles = 3
	// addressRetention drops addresses at which nobody answered for so long.
	addressRetention = 60 * time.Second
	// retryInterval is the pause between calls to an address that does not answer. One that
	// was learned within startSpan may be starting, and is called in every round: daemons
	// start within a second of each other, and a second's pause is a long time for one
	// that knows nobody yet.
	retryInterval = time.Second
	startupWindow = 3 * time.Second
	// fanout bounds the daemons called in one round.
	fanout = 8
	// suspectReportPeriod is how long an unanswered call to a member is reported, and maxSuspects
	// how many at a time: within it the word has gone round.
	suspectReportPeriod = 2 * time.Second
	maxSuspects         = 8
	// leavingRetention is how long the word that a run leaves is kept.
	leavingRetention = 30 * time.Second
)

// member is one address at which a daemon is or was.
type member struct {
	address     string
	latest      Message
	lastContact time.Time
	added       time.Time
	// incarnationSince is when the daemon's present run was first heard.
	incarnationSince time.Time
	lastAttempt      time.Time
	// tiebreak is the place among those that this daemon calls first. It is another for
	// each daemon: in an order that all share, all call the same few at the same time.
	tiebreak    uint64
	callPending bool
	// lastCallFailed says that the last call got no answer, and nothing was heard since it began.
	lastCallFailed bool
	// suspected says that another daemon got no answer from it. It is called next.
	suspected bool
}

// Members are the other daemons, as far as known.
type Members struct {
	localMessage func(evidence bool) Message
	transport    Transport
	log          *log.Logger
	// OnMessage is called with every pulse. After is a reading of Boot after which the pulse
	// was made, or zero if none is known.
	OnMessage func(p Message, after time.Duration)
	// BootTime reads a clock that counts while the VM is suspended.
	BootTime func() time.Duration
	// OnWorkChanged is called when the work of other daemons has changed at backend servers.
	OnWorkChanged func(changes []relay.Work)

	// QuarantineUpdate returns the update on requests that end servers, with all that are
	// held for a daemon that was just met.
	QuarantineUpdate func(justMet bool) quarantine.Update

	mu           sync.Mutex
	members      map[string]*member
	leavingSince map[string]time.Time
	address      string
	// live holds those of all that were heard lately.
	live *membership.LivePeers
	// failedMembers are the members whose last call failed, the newest at the end.
	failedMembers []*member
	// firstContact is when the first other daemon was in contact, if one was.
	firstContact time.Time
	// expiredWork is work of daemons that fell silent, not yet passed to OnWorkChanged.
	expiredWork []relay.Work
	// incarnation names this run, so that word of ourselves is told apart.
	incarnation     string
	addressesSentAt time.Time
}

// New returns members that know the daemon's own address only. Self makes the daemon's
// pulse, with its evidence on new versions or without.
func New(name, address, incarnation string, self func(evidence bool) Message, peers Transport, boot func() time.Duration, l *log.Logger) *Members {
	return &Members{
		localMessage: self, transport: peers, log: l, address: address, incarnation: incarnation, OnMessage: func(Message, time.Duration) {}, BootTime: boot,
		OnWorkChanged: func([]relay.Work) {}, QuarantineUpdate: func(bool) quarantine.Update { return quarantine.Update{} }, members: map[string]*member{}, leavingSince: map[string]time.Time{}, live: membership.NewLivePeers(name),
	}
}

// RegisterHandlers makes a peer server answer pulses, and calls for records with since.
func (m *Members) RegisterHandlers(s *peer.Server, since func(topic string, from feed.Position) feed.Tail) {
	peer.Handle(s, recordsKind, func(_ context.Context, _ string, q RecordsRequest) (RecordsResponse, error) {
		return HandleRecords(q, since), nil
	})
	peer.Handle(s, exchangeKind, func(_ context.Context, _ string, p Message) (Message, error) {
		return m.HandleExchange(p), nil
	})
}

// HandleExchange takes a pulse of a daemon that calls, and returns this daemon's.
func (m *Members) HandleExchange(p Message) Message {
	m.Receive(p.Address, p)
	return m.newStampedMessage(p.Address, p.Incarnation, p.Timestamp, p.WantsEvidence)
}

// AddAddresses adds addresses at which daemons may be.
func (m *Members) AddAddresses(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a == "" || a == m.address || m.members[a] != nil {
			continue
		}
		m.members[a] = &member{address: a, added: time.Now(), tiebreak: xxhash.Sum64String(m.address + "\x00" + a)}
	}
}

// newMessage makes a pulse for the daemon at an address.
func (m *Members) newMessage(to string, evidence bool) Message {
	p := m.localMessage(evidence)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expireSilent(now)
	p.Suspects = m.recentFailures(now)
	p.Quarantine = m.QuarantineUpdate(m.recentlyJoined(to, now))
	switch o := m.members[to]; {
	case now.Sub(m.addressesSentAt) >= addressesInterval:
		m.addressesSentAt = now
		p.KnownAddresses = m.sampleLiveAddresses(len(m.members))
	case o != nil && now.Sub(o.added) < introductionPeriod:
		p.KnownAddresses = m.sampleLiveAddresses(introductionSize)
	}
	return p
}

// recentlyJoined reports whether the run of the daemon at an address was first heard a moment ago,
// or never. Callers hold mu.
func (m *Members) recentlyJoined(address string, now time.Time) bool {
	o := m.members[address]
	return o == nil || o.incarnationSince.IsZero() || now.Sub(o.incarnationSince) < introductionPeriod
}

// sampleLiveAddresses returns the addresses of up to n of the daemons heard lately. Callers hold mu.
func (m *Members) sampleLiveAddresses(n int) []string {
	out := make([]string, 0, min(n, len(m.members)))
	for a := range m.members {
		if len(out) == n {
			break
		}
		if m.live.Contains(a) {
			out = append(out, a)
		}
	}
	return out
}

// newStampedMessage makes a pulse for the daemon at an address, whose run's newest stamp is known.
func (m *Members) newStampedMessage(address, incarnation string, stamp int64, evidence bool) Message {
	p := m.newMessage(address, evidence)
	p.Timestamp = m.BootTime().Milliseconds()
	if incarnation != "" {
		p.EchoTimestamp, p.EchoIncarnation = stamp, xxhash.Sum64String(incarnation)
	}
	return p
}

// sentAfter returns a reading of this daemon's clock after which a pulse was made.
func (m *Members) sentAfter(p Message) time.Duration {
	if p.EchoTimestamp <= 0 || p.EchoIncarnation != xxhash.Sum64String(m.incarnation) {
		return 0
	}
	return time.Duration(p.EchoTimestamp) * time.Millisecond
}

// livenessTimeout is how long a daemon may be silent before it counts as gone. Callers hold
// mu.
func (m *Members) livenessTimeout() time.Duration {
	turn := time.Duration(len(m.members)) * Interval / (2 * fanout)
	return max(minLivenessTimeout, livenessTimeoutCycles*turn)
}

// Receive takes a pulse that came from an address. Its cost does not grow with the number of
// daemons: one of 195 is called, and called back, 64 times a second.
func (m *Members) Receive(address string, p Message) {
	m.AddAddresses(address)
	m.AddAddresses(p.KnownAddresses...)
	now := time.Now()
	m.mu.Lock()
	o := m.members[address]
	if o == nil || p.Incarnation == m.incarnation {
		m.mu.Unlock()
		return
	}
	m.expireSilent(now)
	if !m.live.Contains(address) || o.latest.Incarnation != p.Incarnation {
		m.log.Info("daemon heard", "daemon", p.Name, "address", address, "incarnation", p.Incarnation, "config", p.ConfigVersion, "ready", p.Ready)
	}
	if p.Leaving && !o.latest.Leaving {
		m.log.Info("daemon leaves", "daemon", p.Name, "address", address)
	}
	if p.Leaving {
		m.leavingSince[p.Incarnation] = now
	}
	if _, gone := m.leavingSince[p.Incarnation]; gone {
		// Pulses may overtake each other; a run that leaves does not come back.
		p.Leaving, p.Ready = true, false
	}
	if m.firstContact.IsZero() {
		m.firstContact = now
	}
	if o.incarnationSince.IsZero() || o.latest.Incarnation != p.Incarnation {
		o.incarnationSince = now
	}
	changes := workDelta(o.latest.Work, p.Work)
	m.live.Update(address, membership.PeerStatus{Name: p.Name, Incarnation: p.Incarnation, Eligible: p.Eligible, Leaving: p.Leaving}, now)
	o.latest, o.lastContact, o.lastCallFailed, o.suspected = p, now, false, false
	m.markSuspected(p.Suspects, now)
	// What is handed on at once is not kept: one daemon of 195 keeps as many pulses.
	o.latest.KnownAddresses, o.latest.Placed, o.latest.Orders, o.latest.Suspects = nil, nil, nil, nil
	o.latest.Quarantine = quarantine.Update{}
	m.mu.Unlock()
	m.OnWorkChanged(changes)
	m.OnMessage(p, m.sentAfter(p))
}

// expireSilent takes those off the roster that have fallen silent, and their work with them.
// Callers hold mu.
func (m *Members) expireSilent(now time.Time) {
	m.live.ExpireSilent(now, m.livenessTimeout(), func(address string) {
		o := m.members[address]
		m.expiredWork = append(m.expiredWork, workDelta(o.latest.Work, nil)...)
		o.latest.Work = nil
	})
}

// withLive runs f on the roster of those that were heard lately.
func (m *Members) withLive(f func(r *membership.LivePeers)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	f(m.live)
}

// SinceFirstContact returns for how long others have been heard; false if none ever was.
func (m *Members) SinceFirstContact() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.firstContact), !m.firstContact.IsZero()
}

// LiveCount returns how many other daemons were heard lately.
func (m *Members) LiveCount() (n int) {
	m.withLive(func(r *membership.LivePeers) { n = r.Len() })
	return n
}

// Rank is this daemon's place among those that do not leave, the able ones first.
func (m *Members) Rank(able bool) (rank int) {
	m.withLive(func(r *membership.LivePeers) { rank = r.Rank(able) })
	return rank
}

// IncarnationLive reports whether a run of a daemon was heard lately.
func (m *Members) IncarnationLive(incarnation string) (lives bool) {
	m.withLive(func(r *membership.LivePeers) { lives = r.HasIncarnation(incarnation) })
	return lives
}

// LiveMessages returns the newest pulses of the daemons heard lately, by name. It copies all of
// them: no message and no request may ask for it.
func (m *Members) LiveMessages() []Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	out := make([]Message, 0, m.live.Len())
	for _, o := range m.members {
		if m.live.Contains(o.address) {
			out = append(out, o.latest)
		}
	}
	slices.SortFunc(out, func(a, b Message) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
