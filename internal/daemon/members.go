package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
)

// endpointCount is how many addresses a caller gets.
const endpointCount = 3

// members exchanges heartbeats with other daemons.
type members struct {
	d     *Daemon
	mu    sync.Mutex
	table *membership.Table
	// synced is when another daemon's whole table was last adopted. A daemon
	// that just started knows its seeds only: the others are no news any more,
	// so no rumor would tell it of them.
	synced time.Time
}

func newMembers(d *Daemon) *members {
	rng := rand.New(rand.NewPCG(d.incarnation, 0))
	return &members{d: d, table: membership.NewTable(d.identity(), rng)}
}

func (m *members) register(s *peer.Server) {
	peer.Handle(s, "heartbeat", func(ctx context.Context, _ string, q peer.Heartbeat) (peer.Heartbeat, error) {
		m.take(q)
		if q.ConfigNext > m.d.config.next() {
			go m.d.config.peerAhead(context.WithoutCancel(ctx), q.Sender, q.ConfigNext)
		}
		reply := m.beat()
		if at, ids := m.d.pools.leavingWord(); at > q.LeavingReadAt {
			reply.LeavingServers = ids
		}
		return reply, nil
	})
	peer.Handle(s, "members", func(context.Context, string, peer.MembersRequest) (peer.MembersResponse, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		return peer.MembersResponse{Members: m.table.Snapshot(), Quarantine: m.d.guard.Update(true)}, nil
	})
}

func (m *members) loop(ctx context.Context) {
	every(ctx, membership.ProbeInterval, m.round)
}

func (m *members) round(ctx context.Context) {
	m.mu.Lock()
	gone := m.table.Tick(time.Now())
	targets := m.table.ProbeTargets()
	alive, known := m.table.AliveCount(), m.table.Members()
	m.mu.Unlock()
	m.d.metrics.membersAlive.Update(float64(alive))
	for _, g := range gone {
		m.d.log.Info("member is gone", "member", g.ID, "failure_domain", g.FailureDomain)
	}
	for _, t := range targets {
		go m.probe(ctx, t.ID, t.PeerAddress)
	}
	for _, seed := range m.d.settings.Peers {
		knows := func(k membership.Member) bool { return k.PeerAddress == seed }
		if !slices.ContainsFunc(known, knows) {
			go m.probe(ctx, "", seed)
		}
	}
}

// probe exchanges heartbeats with a daemon. A failed call is tried once more on
// a new connection before it counts: an open connection may have gone silent
// while the daemon is well.
func (m *members) probe(ctx context.Context, id, address string) {
	err := m.exchange(ctx, address)
	if err != nil {
		err = m.exchange(ctx, address)
	}
	if id == "" || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.table.RecordProbe(id, err == nil, time.Now())
	m.mu.Unlock()
}

func (m *members) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	m.d.metrics.peerCalls.Inc(1)
	reply, err := peer.Call[peer.Heartbeat, peer.Heartbeat](ctx, m.d.links, address, "heartbeat", m.beat())
	if err != nil {
		return err
	}
	m.take(reply)
	m.d.pools.takeLeaving(reply.LeavingReadAt, reply.LeavingServers)
	m.d.config.peerAhead(ctx, reply.Sender, reply.ConfigNext)
	m.sync(ctx, address)
	return nil
}

// sync adopts a daemon's whole table when the last one is old.
func (m *members) sync(ctx context.Context, address string) {
	m.mu.Lock()
	due := time.Since(m.synced) >= membership.SyncInterval
	m.mu.Unlock()
	if !due {
		return
	}
	r, err := peer.Call[peer.MembersRequest, peer.MembersResponse](ctx, m.d.links, address, "members", peer.MembersRequest{})
	if err != nil {
		return
	}
	m.d.guard.Merge(r.Quarantine)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.synced = time.Now()
	m.table.Merge(r.Members, m.synced)
}

func (m *members) beat() peer.Heartbeat {
	next := m.d.config.next()
	at, _ := m.d.pools.leavingWord()
	word := m.d.guard.Update(false)
	table := m.current()
	defer m.mu.Unlock()
	return peer.Heartbeat{Sender: table.Self(), Rumors: table.NextRumors(), ConfigNext: next, LeavingReadAt: at, Quarantine: word}
}

func (m *members) take(h peer.Heartbeat) {
	m.d.guard.Merge(h.Quarantine)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.MarkAlive(h.Sender, now)
	for _, r := range h.Rumors {
		m.table.ApplyRumor(r, now)
	}
}

// announce tells every live daemon at once, so that no endpoint answer names
// this daemon from now on.
func (m *members) announce() {
	rows := m.current().Members()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range rows {
		if r.ID != m.d.settings.ID && r.State == membership.Alive {
			wg.Go(func() { _ = m.exchange(ctx, r.PeerAddress) })
		}
	}
	wg.Wait()
}

func (m *members) hearsMost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.InMajority(time.Now())
}

func (m *members) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.AliveCount()
}

// current locks the table with the own row brought up to date. Rows of others
// come with their messages; the own one would be stale between heartbeats, and a
// daemon without peers sends none.
func (m *members) current() *membership.Table {
	self := m.d.self()
	m.mu.Lock()
	m.table.SetSelf(self)
	return m.table
}

func (m *members) homes(key string, n int) []membership.Member {
	m.current()
	defer m.mu.Unlock()
	return m.table.Owners(key, n)
}

func (m *members) isHome(key string) bool {
	h := m.homes(key, 1)
	return len(h) > 0 && h[0].ID == m.d.settings.ID
}

// isHomeIn reports whether this daemon is one of the n homes of a key in its
// failure domain. One that holds no role, because it starts or leaves, does for
// itself what homes do for others.
func (m *members) isHomeIn(key string, n int) bool {
	m.current()
	defer m.mu.Unlock()
	for _, h := range m.table.OwnersIn(m.d.settings.FailureDomain, key, n) {
		if h.ID == m.d.settings.ID {
			return true
		}
	}
	self := m.table.Self()
	return self.Leaving || !self.Serving
}

func (m *members) keepers(n int) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Replicas(n)
}

func (m *members) find(id string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Find(id)
}

func (m *members) endpoints() []string {
	table := m.current()
	defer m.mu.Unlock()
	return table.Endpoints(endpointCount)
}

// Members returns the daemon's view of all daemons.
func (d *Daemon) Members() []membership.Member {
	table := d.members.current()
	defer d.members.mu.Unlock()
	return table.Members()
}
