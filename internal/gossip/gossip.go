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
	// recentContact is the age of a pulse up to which its daemon is not called: of two
	// daemons one calls.
	recentContact = 200 * time.Millisecond
	// knownEvery is how often the addresses of other daemons are told.
	knownEvery = 2 * time.Second
	// introduceFor is how long a daemon that was not known before is told some others
	// with each pulse, introduced how many: a daemon that starts reaches three at first,
	// and knows its place only when it has heard many. 32 addresses are 0.6 KB.
	introduceFor = 2 * time.Second
	introduced   = 32
	// callLimit bounds one call. Round trips are some milliseconds.
	callLimit = 700 * time.Millisecond
	// silentAfter is the silence after which a daemon of a small deployment is
	// taken as gone: some rounds, so that one lost packet does not take it out of
	// the directory. silentTurns is the same in turns of calling all others, where
	// one round does not reach them.
	silentAfter = 950 * time.Millisecond
	silentTurns = 3
	// forgetAfter drops addresses at which nobody answered for so long.
	forgetAfter = 60 * time.Second
	// retryEvery is the pause between calls to an address that does not answer. One that
	// was learned within startSpan may be starting, and is called in every round: daemons
	// start within a second of each other, and a second's pause is a long time for one
	// that knows nobody yet.
	retryEvery = time.Second
	startSpan  = 3 * time.Second
	// fanOut bounds the daemons called in one round.
	fanOut = 8
	// suspectFor is how long an unanswered call to a member is reported, and maxSuspects
	// how many at a time: within it the word has gone round.
	suspectFor  = 2 * time.Second
	maxSuspects = 8
	// leavingFor is how long the word that a run leaves is kept.
	leavingFor = 30 * time.Second
)

// member is one address at which a daemon is or was.
type member struct {
	address     string
	pulse       Message
	lastContact time.Time
	added       time.Time
	// met is when the daemon's present run was first heard.
	met   time.Time
	tried time.Time
	// order is the place among those that this daemon calls first. It is another for
	// each daemon: in an order that all share, all call the same few at the same time.
	order   uint64
	calling bool
	// failed says that the last call got no answer, and nothing was heard since it began.
	failed bool
	// suspected says that another daemon got no answer from it. It is called next.
	suspected bool
}

// Members are the other daemons, as far as known.
type Members struct {
	self  func(evidence bool) Message
	peers Transport
	log   *log.Logger
	// OnMessage is called with every pulse. After is a reading of Boot after which the pulse
	// was made, or zero if none is known.
	OnMessage func(p Message, after time.Duration)
	// Boot reads a clock that counts while the VM is suspended.
	Boot func() time.Duration
	// OnWorkChanged is called when the work of other daemons has changed at backend servers.
	OnWorkChanged func(changes []relay.ServerWork)

	// QuarantineUpdate returns the update on requests that end servers, with all that are
	// held for a daemon that was just met.
	QuarantineUpdate func(justMet bool) quarantine.Update

	mu    sync.Mutex
	all   map[string]*member
	left  map[string]time.Time
	where string
	// roster holds those of all that were heard lately.
	roster *membership.LivePeers
	// failures are the members whose last call failed, the newest at the end.
	failures []*member
	// firstContact is when the first other daemon was in contact, if one was.
	firstContact time.Time
	// lapsed is work of daemons that fell silent, not yet passed to OnWorkChanged.
	lapsed []relay.ServerWork
	// incarnation names this run, so that word of ourselves is told apart.
	incarnation string
	knownSentAt time.Time
}

// New returns members that know the daemon's own address only. Self makes the daemon's
// pulse, with its evidence on new versions or without.
func New(name, address, incarnation string, self func(evidence bool) Message, peers Transport, boot func() time.Duration, l *log.Logger) *Members {
	return &Members{
		self: self, peers: peers, log: l, where: address, incarnation: incarnation, OnMessage: func(Message, time.Duration) {}, Boot: boot,
		OnWorkChanged: func([]relay.ServerWork) {}, QuarantineUpdate: func(bool) quarantine.Update { return quarantine.Update{} }, all: map[string]*member{}, left: map[string]time.Time{}, roster: membership.NewLivePeers(name),
	}
}

// RegisterHandlers makes a peer server answer pulses, and calls for records with since.
func (m *Members) RegisterHandlers(s *peer.Server, since func(topic string, from feed.Position) feed.Tail) {
	peer.Handle(s, recordsKind, func(_ context.Context, _ string, q RecordsRequest) (RecordsResponse, error) {
		return HandleRecords(q, since), nil
	})
	peer.Handle(s, kind, func(_ context.Context, _ string, p Message) (Message, error) {
		return m.HandleExchange(p), nil
	})
}

// HandleExchange takes a pulse of a daemon that calls, and returns this daemon's.
func (m *Members) HandleExchange(p Message) Message {
	m.Receive(p.Address, p)
	return m.stampedPulseFor(p.Address, p.Incarnation, p.Stamp, p.WantsEvidence)
}

// AddAddresses adds addresses at which daemons may be.
func (m *Members) AddAddresses(addresses ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a == "" || a == m.where || m.all[a] != nil {
			continue
		}
		m.all[a] = &member{address: a, added: time.Now(), order: xxhash.Sum64String(m.where + "\x00" + a)}
	}
}

// pulseFor makes a pulse for the daemon at an address.
func (m *Members) pulseFor(to string, evidence bool) Message {
	p := m.self(evidence)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expire(now)
	p.Suspects = m.failedLately(now)
	p.Quarantine = m.QuarantineUpdate(m.justMet(to, now))
	switch o := m.all[to]; {
	case now.Sub(m.knownSentAt) >= knownEvery:
		m.knownSentAt = now
		p.Known = m.sample(len(m.all))
	case o != nil && now.Sub(o.added) < introduceFor:
		p.Known = m.sample(introduced)
	}
	return p
}

// justMet reports whether the run of the daemon at an address was first heard a moment ago,
// or never. Callers hold mu.
func (m *Members) justMet(address string, now time.Time) bool {
	o := m.all[address]
	return o == nil || o.met.IsZero() || now.Sub(o.met) < introduceFor
}

// sample returns the addresses of up to n of the daemons heard lately. Callers hold mu.
func (m *Members) sample(n int) []string {
	out := make([]string, 0, min(n, len(m.all)))
	for a := range m.all {
		if len(out) == n {
			break
		}
		if m.roster.Contains(a) {
			out = append(out, a)
		}
	}
	return out
}

// stampedPulseFor makes a pulse for the daemon at an address, whose run's newest stamp is known.
func (m *Members) stampedPulseFor(address, incarnation string, stamp int64, evidence bool) Message {
	p := m.pulseFor(address, evidence)
	p.Stamp = m.Boot().Milliseconds()
	if incarnation != "" {
		p.Echo, p.EchoTo = stamp, xxhash.Sum64String(incarnation)
	}
	return p
}

// after returns a reading of this daemon's clock after which a pulse was made.
func (m *Members) after(p Message) time.Duration {
	if p.Echo <= 0 || p.EchoTo != xxhash.Sum64String(m.incarnation) {
		return 0
	}
	return time.Duration(p.Echo) * time.Millisecond
}

// silence is how long a daemon may be silent before it counts as gone. Callers hold
// mu.
func (m *Members) silence() time.Duration {
	turn := time.Duration(len(m.all)) * Interval / (2 * fanOut)
	return max(silentAfter, silentTurns*turn)
}

// Receive takes a pulse that came from an address. Its cost does not grow with the number of
// daemons: one of 195 is called, and called back, 64 times a second.
func (m *Members) Receive(address string, p Message) {
	m.AddAddresses(address)
	m.AddAddresses(p.Known...)
	now := time.Now()
	m.mu.Lock()
	o := m.all[address]
	if o == nil || p.Incarnation == m.incarnation {
		m.mu.Unlock()
		return
	}
	m.expire(now)
	if !m.roster.Contains(address) || o.pulse.Incarnation != p.Incarnation {
		m.log.Info("daemon heard", "daemon", p.Name, "address", address, "incarnation", p.Incarnation, "config", p.ConfigVersion, "ready", p.Ready)
	}
	if p.Leaving && !o.pulse.Leaving {
		m.log.Info("daemon leaves", "daemon", p.Name, "address", address)
	}
	if p.Leaving {
		m.left[p.Incarnation] = now
	}
	if _, gone := m.left[p.Incarnation]; gone {
		// Pulses may overtake each other; a run that leaves does not come back.
		p.Leaving, p.Ready = true, false
	}
	if m.firstContact.IsZero() {
		m.firstContact = now
	}
	if o.met.IsZero() || o.pulse.Incarnation != p.Incarnation {
		o.met = now
	}
	changes := difference(o.pulse.Work, p.Work)
	m.roster.Update(address, membership.PeerStatus{Name: p.Name, Incarnation: p.Incarnation, Eligible: p.Eligible, Leaving: p.Leaving}, now)
	o.pulse, o.lastContact, o.failed, o.suspected = p, now, false, false
	m.suspect(p.Suspects, now)
	// What is handed on at once is not kept: one daemon of 195 keeps as many pulses.
	o.pulse.Known, o.pulse.Placed, o.pulse.Orders, o.pulse.Suspects = nil, nil, nil, nil
	o.pulse.Quarantine = quarantine.Update{}
	m.mu.Unlock()
	m.OnWorkChanged(changes)
	m.OnMessage(p, m.after(p))
}

// expire takes those off the roster that have fallen silent, and their work with them.
// Callers hold mu.
func (m *Members) expire(now time.Time) {
	m.roster.ExpireSilent(now, m.silence(), func(address string) {
		o := m.all[address]
		m.lapsed = append(m.lapsed, difference(o.pulse.Work, nil)...)
		o.pulse.Work = nil
	})
}

// with runs f on the roster of those that were heard lately.
func (m *Members) with(f func(r *membership.LivePeers)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(time.Now())
	f(m.roster)
}

// SinceFirstContact returns for how long others have been heard; false if none ever was.
func (m *Members) SinceFirstContact() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.firstContact), !m.firstContact.IsZero()
}

// LiveCount returns how many other daemons were heard lately.
func (m *Members) LiveCount() (n int) {
	m.with(func(r *membership.LivePeers) { n = r.Len() })
	return n
}

// Rank is this daemon's place among those that do not leave, the able ones first.
func (m *Members) Rank(able bool) (rank int) {
	m.with(func(r *membership.LivePeers) { rank = r.Rank(able) })
	return rank
}

// IncarnationLive reports whether a run of a daemon was heard lately.
func (m *Members) IncarnationLive(incarnation string) (lives bool) {
	m.with(func(r *membership.LivePeers) { lives = r.HasIncarnation(incarnation) })
	return lives
}

// Alive returns the newest pulses of the daemons heard lately, by name. It copies all of
// them: no message and no request may ask for it.
func (m *Members) Alive() []Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(time.Now())
	out := make([]Message, 0, m.roster.Len())
	for _, o := range m.all {
		if m.roster.Contains(o.address) {
			out = append(out, o.pulse)
		}
	}
	slices.SortFunc(out, func(a, b Message) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
