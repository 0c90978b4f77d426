package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

const (
	// reachabilityCheckInterval is the interval at which a server of each pool that is out of reach
	// is connected to, and reachabilityCheckTimeout bounds one such connection.
	reachabilityCheckInterval = 200 * time.Millisecond
	reachabilityCheckTimeout  = 400 * time.Millisecond
	// controlServers is the number of other servers that are connected to when one refuses, and
	// verdictsPerServer that of the daemons that are asked about it.
	controlServers    = 3
	verdictsPerServer = 2
	// verdictTimeout bounds the wait for the verdicts of other daemons.
	verdictTimeout = 100 * time.Millisecond
)

// recordReached records contact with a server.
func (b *balancer) recordReached(poolName, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	regained, lostFor := b.reachability.Reached(poolName, b.uptime())
	if !regained {
		return
	}
	if p := b.pools[poolName]; p != nil {
		p.load.ClearFailures()
	}
	b.d.metrics.poolsOutOfReach.Update(float64(len(b.reachability.LostServices())))
	b.d.log.Info("pool in reach again", "pool", poolName, "server", server, "after_ms", lostFor.Milliseconds())
}

// recordUnreached records that a server could not be connected to. After the first one another is
// connected to, since the requests of a daemon may be few. A server that has terminated tells nothing
// of this daemon's links.
func (b *balancer) recordUnreached(poolName, server string, err error) {
	if b.knowsTermination(server) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(poolName)
	// Time-outs count as a cut link: other daemons are not asked whether the servers are silent.
	becameLost := b.reachability.Unreached(poolName, server, len(candidates), reachability.Rejected, b.uptime()) == reachability.BecameLost
	unreached := b.reachability.UnreachedServers(poolName)
	if becameLost {
		b.d.metrics.poolsOutOfReach.Update(float64(len(b.reachability.LostServices())))
		b.d.log.Warn("pool out of reach", "pool", poolName, "server", server, "unreached", unreached, "servers", len(candidates), "err", err)
		return
	}
	others := slices.DeleteFunc(candidates, func(c routing.Candidate) bool { return c.ID == server })
	if unreached == 1 && len(others) > 0 {
		go b.checkServer(context.Background(), poolName, others[b.rng.IntN(len(others))])
	}
}

// checkServer connects to a server and records the result.
func (b *balancer) checkServer(ctx context.Context, poolName string, server routing.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, reachabilityCheckTimeout)
	defer cancel()
	if err := b.d.engine.Connect(ctx, server.Address); err != nil {
		b.recordUnreached(poolName, server.ID, err)
		return
	}
	b.recordReached(poolName, server.ID)
}

// recordPoolReached records contact with the pool of a server.
func (b *balancer) recordPoolReached(id string) {
	b.mu.Lock()
	name, _ := b.poolOf(id)
	b.mu.Unlock()
	if name != "" {
		b.recordReached(name, id)
	}
}

// recordContact records whether an attempt reached its server.
func (d *Daemon) recordContact(f *forwarding, picked pick, event request.AttemptEvent, err error) {
	switch {
	case errors.Is(err, engine.ErrNotConnected):
		f.unreached++
		d.balancer.recordUnreached(picked.pool, picked.candidate.ID, err)
	case event == request.AttemptRefused:
		d.balancer.recordReached(picked.pool, picked.candidate.ID)
	}
}

// candidates returns the servers of a pool. Callers hold mu.
func (b *balancer) candidates(poolName string) (out []routing.Candidate) {
	p := b.pools[poolName]
	if p == nil {
		return nil
	}
	for _, cand := range p.load.Snapshot(nil, time.Now()) {
		if cand.ID != "" {
			out = append(out, cand)
		}
	}
	return out
}

// outOfReach reports whether this daemon reaches no server of a pool.
func (b *balancer) outOfReach(poolName string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reachability.Lost(poolName)
}

// anyOutOfReach reports whether this daemon reaches no server of some pool.
func (b *balancer) anyOutOfReach() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.reachability.LostServices()) > 0
}

// checkReachability connects to one server of each pool that is out of reach.
func (b *balancer) checkReachability(ctx context.Context) {
	b.mu.Lock()
	lost := b.reachability.LostServices()
	picked := map[string]routing.Candidate{}
	for _, name := range lost {
		if all := b.candidates(name); len(all) > 0 {
			picked[name] = all[b.rng.IntN(len(all))]
		}
	}
	b.mu.Unlock()
	var wg sync.WaitGroup
	for name, cand := range picked {
		wg.Go(func() { b.checkServer(ctx, name, cand) })
	}
	wg.Wait()
}

// checkTermination checks in the background whether a server that has refused a connection or lost a
// run has terminated, unless that is known. Concurrent checks of a server are one.
func (d *Daemon) checkTermination(id, address string) {
	if d.balancer.knowsTermination(id) && !d.balancer.isLeaving(id) {
		return
	}
	if _, running := d.terminationChecks.LoadOrStore(id, true); running {
		return
	}
	go func() {
		defer d.terminationChecks.Delete(id)
		ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
		defer cancel()
		if d.engine.RefusesConnections(ctx, address) && d.confirmTermination(ctx, id) {
			d.balancer.recordTermination(id)
		}
	}()
}

// knowsTermination reports whether a server has terminated and is not warm since.
func (b *balancer) knowsTermination(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.HasTerminated(xxhash.Sum64String(id))
}

// recordTermination records that a server has terminated. The next one at its address may be cold,
// and does not leave.
func (b *balancer) recordTermination(id string) {
	b.mu.Lock()
	b.gate.ServerTerminated(id, b.uptime())
	b.mu.Unlock()
	b.limitBroadcast.Request()
	b.observeRefusedConnection(id)
}

// confirmTermination reports whether a server that has refused a connection has terminated.
func (d *Daemon) confirmTermination(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	var others []reachability.Verdict
	var wg sync.WaitGroup
	wg.Go(func() { others = d.requestVerdicts(ctx, id) })
	own := d.refusalVerdict(ctx, id)
	wg.Wait()
	terminated := reachability.Terminated(own, others)
	d.log.Info("server refused connection", "server", id, "own", own, "others", others, "terminated", terminated)
	if terminated && own == reachability.Refused {
		// Other servers accept connections, so the pool is in reach.
		d.balancer.recordPoolReached(id)
	}
	return terminated
}

// requestVerdicts asks some other daemons about a server. One that does not respond has no verdict.
func (d *Daemon) requestVerdicts(ctx context.Context, id string) []reachability.Verdict {
	addresses, _ := d.members.helpers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(verdictsPerServer, len(addresses))]
	verdicts := make([]reachability.Verdict, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			resp, err := peer.Call[peer.VerdictRequest, peer.VerdictResponse](ctx, d.peers, address, "verdict", peer.VerdictRequest{Server: id})
			if err != nil {
				d.log.Info("no verdict on server", "server", id, "daemon", address, "err", err)
				return
			}
			verdicts[i] = resp.Verdict
		})
	}
	wg.Wait()
	return verdicts
}

// registerVerdicts registers the handler of calls that ask about a server.
func (d *Daemon) registerVerdicts(s *peer.Server) {
	peer.Handle(s, "verdict", func(ctx context.Context, _ string, req peer.VerdictRequest) (peer.VerdictResponse, error) {
		return peer.VerdictResponse{Verdict: d.verdict(ctx, req.Server)}, nil
	})
}

// verdict connects to a server on behalf of another daemon.
func (d *Daemon) verdict(ctx context.Context, id string) reachability.Verdict {
	address, known := d.balancer.addressOf(id)
	if !known {
		return reachability.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	switch {
	case d.engine.Connect(ctx, address) == nil:
		return reachability.Connected
	case ctx.Err() != nil:
		return reachability.Unknown
	}
	return d.refusalVerdict(ctx, id)
}

// refusalVerdict returns the verdict on a server that has refused a connection.
func (d *Daemon) refusalVerdict(ctx context.Context, id string) reachability.Verdict {
	return containment.RefusalVerdict(d.balancer.otherServers(id, controlServers), func(address string) bool {
		return d.engine.Connect(ctx, address) == nil
	})
}

// addressOf returns the address of a configured server.
func (b *balancer) addressOf(id string) (address string, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address, other := range b.idByAddress {
		if other == id {
			return address, true
		}
	}
	return "", false
}

// otherServers returns the addresses of up to n random servers other than one, first those that are
// not known to have terminated.
func (b *balancer) otherServers(id string, n int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var running, terminated []string
	for name := range b.pools {
		for _, cand := range b.candidates(name) {
			switch {
			case cand.ID == id:
			case b.gate.HasTerminated(cand.Hash):
				terminated = append(terminated, cand.Address)
			default:
				running = append(running, cand.Address)
			}
		}
	}
	b.rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	all := slices.Concat(running, terminated)
	return all[:min(n, len(all))]
}

// helpers returns the peer addresses of the daemons that may reach the servers, and of the ones that may
// although they have not responded lately or state that they do not serve.
func (m *memberlist) helpers() (likely, doubtful []string) {
	members := m.lockTable().Members()
	m.mu.Unlock()
	for _, member := range members {
		switch {
		case member.ID == m.d.settings.ID || member.State == membership.Gone || member.Leaving || member.OutOfReach:
		case member.State == membership.Alive && member.Serving:
			likely = append(likely, member.PeerAddress)
		default:
			doubtful = append(doubtful, member.PeerAddress)
		}
	}
	slices.Sort(likely)
	slices.Sort(doubtful)
	return likely, doubtful
}
