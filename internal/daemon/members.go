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

// maxEndpoints is the number of daemon addresses returned to a caller.
const maxEndpoints = 3

// memberlist maintains the membership table by heartbeats with other daemons.
type memberlist struct {
	d     *Daemon
	mu    sync.Mutex
	table *membership.Table
	// syncedAt is when another daemon's full table was last merged. A new daemon
	// needs a full table, because rumors carry only recent changes.
	syncedAt time.Time
}

func newMemberlist(d *Daemon) *memberlist {
	rng := rand.New(rand.NewPCG(d.incarnation, 0))
	return &memberlist{d: d, table: membership.NewTable(d.staticInfo(), rng)}
}

func (m *memberlist) register(server *peer.Server) {
	peer.Handle(server, "heartbeat", func(ctx context.Context, _ string, req peer.Heartbeat) (peer.Heartbeat, error) {
		m.applyHeartbeat(req)
		if req.ConfigNext > m.d.config.nextOffset() {
			go m.d.config.observePeerOffset(context.WithoutCancel(ctx), req.Sender, req.ConfigNext)
		}
		reply := m.heartbeat()
		if at, ids := m.d.balancer.leavingServers(); at > req.LeavingReadAt {
			reply.LeavingServers = ids
		}
		return reply, nil
	})
	peer.Handle(server, "members", func(context.Context, string, peer.MembersRequest) (peer.MembersResponse, error) {
		limits, terminated, departures := m.d.balancer.serverLimits(true), m.d.balancer.terminatedServers(), m.d.balancer.departures(true)
		m.mu.Lock()
		defer m.mu.Unlock()
		return peer.MembersResponse{Members: m.table.Snapshot(), Quarantine: m.d.guard.Update(true), ServerLimits: limits, TerminatedServers: terminated, Departures: departures}, nil
	})
}

func (m *memberlist) run(ctx context.Context) {
	runPeriodically(ctx, membership.ProbeInterval, m.probeRound)
}

func (m *memberlist) probeRound(ctx context.Context) {
	m.mu.Lock()
	gone := m.table.Tick(time.Now())
	targets := m.table.ProbeTargets()
	alive, known := m.table.AliveCount(), m.table.Members()
	m.mu.Unlock()
	m.d.metrics.membersAlive.Update(float64(alive))
	for _, member := range gone {
		m.d.log.Info("member is gone", "member", member.ID, "failure_domain", member.FailureDomain)
	}
	for _, target := range targets {
		go m.probe(ctx, target.ID, target.PeerAddress)
	}
	for _, seed := range m.d.settings.Peers {
		hasSeedAddress := func(member membership.Member) bool { return member.PeerAddress == seed }
		if !slices.ContainsFunc(known, hasSeedAddress) {
			go m.probe(ctx, "", seed)
		}
	}
}

// probe exchanges heartbeats with a daemon and records the result. A failed call is
// retried once on a new connection, because an established connection can fail
// while the daemon is healthy.
func (m *memberlist) probe(ctx context.Context, id, address string) {
	err := m.exchangeHeartbeats(ctx, address)
	if err != nil {
		err = m.exchangeHeartbeats(ctx, address)
	}
	if id == "" || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.table.RecordProbe(id, err == nil, time.Now())
	m.mu.Unlock()
}

func (m *memberlist) exchangeHeartbeats(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	m.d.metrics.peerCalls.Inc(1)
	reply, err := peer.Call[peer.Heartbeat, peer.Heartbeat](ctx, m.d.peers, address, "heartbeat", m.heartbeat())
	if err != nil {
		return err
	}
	m.applyHeartbeat(reply)
	m.d.balancer.applyLeaving(reply.LeavingReadAt, reply.LeavingServers)
	m.d.config.observePeerOffset(ctx, reply.Sender, reply.ConfigNext)
	m.syncTable(ctx, address)
	return nil
}

// syncTable merges a daemon's full table if SyncInterval has passed since the last
// one.
func (m *memberlist) syncTable(ctx context.Context, address string) {
	m.mu.Lock()
	due := time.Since(m.syncedAt) >= membership.SyncInterval
	m.mu.Unlock()
	if !due {
		return
	}
	resp, err := peer.Call[peer.MembersRequest, peer.MembersResponse](ctx, m.d.peers, address, "members", peer.MembersRequest{})
	if err != nil {
		return
	}
	m.d.guard.Merge(resp.Quarantine)
	m.d.balancer.mergeLimits(resp.ServerLimits)
	m.d.balancer.mergeDepartures(resp.Departures)
	m.d.balancer.addTerminatedServers(resp.TerminatedServers)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncedAt = time.Now()
	m.table.Merge(resp.Members, m.syncedAt)
}

func (m *memberlist) heartbeat() peer.Heartbeat {
	next := m.d.config.nextOffset()
	at, _ := m.d.balancer.leavingServers()
	quarantined, limits, departures := m.d.guard.Update(false), m.d.balancer.serverLimits(false), m.d.balancer.departures(false)
	terminations, concurrency := m.d.balancer.terminations(), m.d.balancer.concurrencyLimits()
	table := m.lockTable()
	defer m.mu.Unlock()
	return peer.Heartbeat{Sender: table.Self(), Rumors: table.NextRumors(), ConfigNext: next, LeavingReadAt: at, Quarantine: quarantined, ServerLimits: limits, Departures: departures, Terminations: terminations, ConcurrencyLimits: concurrency}
}

func (m *memberlist) applyHeartbeat(hb peer.Heartbeat) {
	m.d.guard.Merge(hb.Quarantine)
	m.d.balancer.mergeLimits(hb.ServerLimits)
	m.d.balancer.mergeDepartures(hb.Departures)
	m.d.balancer.mergeTerminations(hb.Terminations)
	m.d.balancer.mergeConcurrencyLimits(hb.ConcurrencyLimits)
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.MarkAlive(hb.Sender, now)
	for _, r := range hb.Rumors {
		m.table.ApplyRumor(r, now)
	}
}

// announce sends a heartbeat to every live daemon, so that they stop listing this
// daemon as an endpoint.
func (m *memberlist) announce() {
	members := m.lockTable().Members()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, member := range members {
		if member.ID != m.d.settings.ID && member.State == membership.Alive {
			wg.Go(func() { _ = m.exchangeHeartbeats(ctx, member.PeerAddress) })
		}
	}
	wg.Wait()
}

func (m *memberlist) inMajority() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.InMajority(time.Now())
}

func (m *memberlist) aliveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.AliveCount()
}

// lockTable locks mu, updates the entry of this daemon and returns the table.
// Callers unlock mu.
func (m *memberlist) lockTable() *membership.Table {
	self := m.d.currentInfo()
	m.mu.Lock()
	m.table.SetSelf(self)
	return m.table
}

func (m *memberlist) owners(key string, n int) []membership.Member {
	m.lockTable()
	defer m.mu.Unlock()
	return m.table.Owners(key, n)
}

func (m *memberlist) isOwner(key string) bool {
	owners := m.owners(key, 1)
	return len(owners) > 0 && owners[0].ID == m.d.settings.ID
}

// isDomainOwner reports whether this daemon is one of the n owners of a key in its
// failure domain. It also returns true while this daemon is starting or leaving, because
// it cannot rely on owners then.
func (m *memberlist) isDomainOwner(key string, n int) bool {
	m.lockTable()
	defer m.mu.Unlock()
	for _, owner := range m.table.OwnersIn(m.d.settings.FailureDomain, key, n) {
		if owner.ID == m.d.settings.ID {
			return true
		}
	}
	self := m.table.Self()
	return self.Leaving || !self.Serving
}

func (m *memberlist) replicas(n int) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Replicas(n)
}

func (m *memberlist) find(id string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Find(id)
}

func (m *memberlist) endpoints() []string {
	table := m.lockTable()
	defer m.mu.Unlock()
	return table.Endpoints(maxEndpoints)
}

// Members returns all known daemons, including this one.
func (d *Daemon) Members() []membership.Member {
	table := d.members.lockTable()
	defer d.members.mu.Unlock()
	return table.Members()
}
