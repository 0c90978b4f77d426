package daemon

import (
	"context"
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
	d        *Daemon
	mu       sync.Mutex
	table    *membership.Table
	sequence uint64
}

func newMembers(d *Daemon) *members {
	return &members{d: d, table: membership.NewTable(d.self())}
}

func (m *members) register(s *peer.Server) {
	peer.Handle(s, "heartbeat", func(ctx context.Context, _ string, q peer.Heartbeat) (peer.Heartbeat, error) {
		m.take(q)
		if q.ConfigNext > m.d.config.next() {
			go m.d.config.peerAhead(context.WithoutCancel(ctx), q.Self, q.ConfigNext)
		}
		return m.beat(), nil
	})
}

func (m *members) loop(ctx context.Context) {
	every(ctx, membership.HeartbeatEvery, m.round)
}

func (m *members) round(ctx context.Context) {
	m.mu.Lock()
	changed := m.table.Tick(time.Now())
	targets := m.table.Targets()
	alive := 0
	for _, row := range m.table.Members() {
		if row.State == membership.Alive {
			alive++
		}
	}
	m.mu.Unlock()
	m.d.metrics.membersAlive.Update(float64(alive))
	for _, c := range changed {
		m.d.log.Info("member changed", "member", c.ID, "state", c.State)
	}
	var addresses []string
	for _, t := range targets {
		addresses = append(addresses, t.PeerAddress)
	}
	for _, seed := range m.d.settings.Peers {
		if seed != m.d.settings.PeerListen && !slices.Contains(addresses, seed) && len(addresses) < membership.Fanout {
			addresses = append(addresses, seed)
		}
	}
	for _, a := range addresses {
		go m.exchange(ctx, a)
	}
}

func (m *members) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	m.d.metrics.peerCalls.Inc(1)
	reply, err := peer.Call[peer.Heartbeat, peer.Heartbeat](ctx, m.d.links, address, "heartbeat", m.beat())
	if err != nil {
		return
	}
	m.take(reply)
	m.d.config.peerAhead(ctx, reply.Self, reply.ConfigNext)
}

func (m *members) beat() peer.Heartbeat {
	self, next := m.d.self(), m.d.config.next()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	self.Sequence = m.sequence
	m.table.SetSelf(self, time.Now())
	return peer.Heartbeat{Self: self, Rows: m.table.Gossip(), ConfigNext: next}
}

func (m *members) take(h peer.Heartbeat) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Heard(h.Self, now)
	for _, b := range h.Rows {
		m.table.Heard(b, now)
	}
}

// announce tells every live daemon at once, so that no endpoint answer names
// this daemon from now on.
func (m *members) announce() {
	m.beat()
	m.mu.Lock()
	rows := m.table.Members()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range rows {
		if r.ID != m.d.settings.ID && r.State == membership.Alive {
			wg.Go(func() { m.exchange(ctx, r.PeerAddress) })
		}
	}
	wg.Wait()
}

func (m *members) hearsMost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.HearsMost()
}

func (m *members) homes(key string, n int) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Homes(key, n)
}

func (m *members) isHome(key string) bool {
	h := m.homes(key, 1)
	return len(h) > 0 && h[0].ID == m.d.settings.ID
}

func (m *members) isHomeIn(key string, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.table.HomesIn(m.d.settings.FailureDomain, key, n) {
		if h.ID == m.d.settings.ID {
			return true
		}
	}
	return m.table.Self().Leaving
}

func (m *members) keepers(n int) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Keepers(n)
}

func (m *members) find(id string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Find(id)
}

func (m *members) endpoints() []string {
	m.beat()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Endpoints(endpointCount)
}

// Members returns the daemon's view of all daemons.
func (d *Daemon) Members() []membership.Member {
	d.members.beat()
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	return d.members.table.Members()
}
