package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/reachability"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/serverlimit"
	"github.com/damaskrudder/damaskrudder/internal/serverstatus"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

const (
	// loadProbeInterval is the pause between two load probes. Servers are probed in
	// turn, so the rate does not depend on their number.
	loadProbeInterval = 250 * time.Millisecond
	// vmListInterval is the pause between two reads of the VM list.
	vmListInterval = time.Second
	// vmListTimeout bounds one read. With vmListInterval it stays below
	// membership.MaxServersAge, so that an unresponsive list service is detected
	// before the last result expires.
	vmListTimeout = 900 * time.Millisecond
)

// balancer picks backend servers and tracks the load and state of each pool.
type balancer struct {
	d            *Daemon
	mu           sync.Mutex
	configNumber uint64
	// ranks are the ranks of the configuration.
	ranks   urgency.Ranks
	pools   map[string]*pool
	leaving map[string]bool
	// leavingReadAt is when leaving was read from the platform, in Unix milliseconds.
	leavingReadAt int64
	// listProblem is why the VM list could not be read as a whole; empty if it could. Only the reader of
	// the list uses it.
	listProblem string
	// serversUpdatedAt is when the VM list was last read, received from a peer, or
	// found to be unavailable.
	serversUpdatedAt time.Time
	probeCursor      int
	rng              *rand.Rand
	// idByAddress and idByHash map the configured servers' addresses and hashes to their ids.
	idByAddress map[string]string
	idByHash    map[uint64]string
	// gate limits requests to warming servers and excludes evacuated ones.
	gate *gate.Gate
	// limitBroadcast requests broadcasts of urgent reports of limits.
	limitBroadcast loop.Signal
	// startedAt is the zero of the gate's clock.
	startedAt time.Time
	// reachability holds which pools this daemon reaches itself, and helpers picks the daemons to
	// which requests are forwarded.
	reachability *reachability.Tracker
	helpers      *reachability.Helpers
}

type pool struct {
	load *routing.LoadTracker
	// versions lists the versions that each server reported. Servers without a
	// report are assumed to hold any version.
	versions map[string][]string
	// warmAt is when each server finishes warming by its last report, on the gate's
	// clock.
	warmAt map[string]time.Duration
}

func newBalancer(d *Daemon) *balancer {
	return &balancer{
		d: d, pools: map[string]*pool{}, leaving: map[string]bool{}, gate: gate.New(), limitBroadcast: loop.NewSignal(), startedAt: time.Now(), reachability: reachability.NewTracker(), helpers: reachability.NewHelpers(),
		rng: rand.New(rand.NewPCG(d.incarnation, uint64(len(d.settings.ID)))),
	}
}

func (b *balancer) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, loadProbeInterval, b.probeNext) })
	wg.Go(func() { runPeriodically(ctx, peerViewInterval, b.updatePeerView) })
	wg.Go(func() { runPeriodically(ctx, reachabilityCheckInterval, b.checkReachability) })
	if b.d.deps.VMs != nil {
		wg.Go(func() { runPeriodically(ctx, vmListInterval, b.pollVMs) })
	}
	wg.Wait()
}

// syncConfig updates pools and evacuations if the configuration has changed. Callers
// hold mu.
func (b *balancer) syncConfig(cfg *fleet.Config) {
	if b.configNumber == cfg.Number && len(b.pools) > 0 {
		return
	}
	b.configNumber = cfg.Number
	b.syncEvacuations(cfg)
	b.ranks = workspaceRanks(cfg)
	b.idByAddress, b.idByHash = map[string]string{}, map[uint64]string{}
	for name, poolCfg := range cfg.Pools {
		for _, s := range poolCfg.Servers {
			b.idByAddress[s.Address], b.idByHash[xxhash.Sum64String(s.ID)] = s.ID, s.ID
		}
		if len(b.d.settings.Pools) > 0 && !slices.Contains(b.d.settings.Pools, name) {
			continue
		}
		p := b.pools[name]
		if p == nil {
			p = &pool{load: routing.NewLoadTracker(), versions: map[string][]string{}, warmAt: map[string]time.Duration{}}
			b.pools[name] = p
		}
		members := make([]routing.Member, len(poolCfg.Servers))
		for i, s := range poolCfg.Servers {
			members[i] = routing.Member{ID: s.ID, Address: s.Address, FailureDomain: s.FailureDomain, Slots: s.Slots}
		}
		p.load.Update(routing.Subset(b.d.settings.ID, members, b.d.settings.SubsetSize))
		for id := range b.leaving {
			p.load.SetLeaving(id, true)
		}
	}
	for name := range b.pools {
		if _, configured := cfg.Pools[name]; !configured {
			delete(b.pools, name)
		}
	}
}

// pick is a picked server with the estimates that the outcome is compared with.
type pick struct {
	pool               string
	candidate          routing.Candidate
	uncachedTokens     int
	expectedFirstToken time.Duration
	// slowStart is the limit of the server while it is warming.
	slowStart slowstart.Limit
	// hadFreeSlot is set if the server had a free slot. Otherwise its latency is
	// attributed to the load and not to the version.
	hadFreeSlot bool
	urgent      bool
	// ranks are the ranks of the configuration by which the server was picked.
	ranks urgency.Ranks
}

// pickServer picks a server that holds a version and records the dispatch. Servers in
// tried are excluded.
func (b *balancer) pickServer(cfg *fleet.Config, poolName, version string, r *routing.Request, tried []string) (pick, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.syncConfig(cfg)
	p := b.pools[poolName]
	if p == nil {
		return pick{}, fault.New(fault.NoServer, "pool %s is not served here", poolName)
	}
	var buf [routing.MaxCandidates]routing.Candidate
	candidates := p.load.Snapshot(buf[:0], time.Now())
	r.Tried = routing.Set{}
	for i, cand := range candidates {
		versions, reported := p.versions[cand.ID]
		if slices.Contains(tried, cand.ID) || reported && version != "" && !slices.Contains(versions, version) {
			r.Tried.Add(i)
		}
	}
	refused := b.excludeRefused(poolName, p, cfg.Pools[poolName].SlowStart, candidates, r)
	r.CachedBlocks = [routing.MaxCandidates]uint8{}
	p.load.Prefix.Lookup(r)
	decision := routing.DefaultPipeline().Pick(r, candidates, b.rng)
	if decision.Index < 0 {
		return pick{}, b.pickError(decision, poolName, &refused)
	}
	chosen := candidates[decision.Index]
	b.gate.RecordSend(gateServer(poolName, p, slowStartLimit(cfg.Pools[poolName].SlowStart), &chosen), b.uptime())
	p.load.RecordSend(chosen.ID, r.Blocks, r.Urgent, time.Now())
	return pick{
		pool: poolName, candidate: chosen, expectedFirstToken: decision.Expected, urgent: r.Urgent, ranks: b.ranks, slowStart: slowStartLimit(cfg.Pools[poolName].SlowStart),
		uncachedTokens: max(0, r.PromptTokens-int(r.CachedBlocks[decision.Index])*r.BlockTokens),
		hadFreeSlot:    float64(chosen.InFlight)+chosen.OthersInFlight < float64(chosen.Slots),
	}, nil
}

// pickError returns the refusal for a request that no server can take. Callers hold mu.
func (b *balancer) pickError(decision routing.Decision, pool string, refused *gate.Refusals) *fault.Error {
	if decision.Refusal == routing.BudgetExceeded {
		return fault.New(fault.Overloaded, "pool %s would answer in %s, after the deadline", pool, decision.Expected.Round(time.Millisecond)).WithRetryAfter(max(time.Second, decision.Expected/2))
	}
	switch nearest := refused.Primary(); nearest.Reason {
	case gate.Warming:
		return fault.New(fault.Warming, "the servers of pool %s that are left are warming up", pool).WithRetryAfter(nearest.Remaining)
	case gate.Limited:
		e := fault.New(fault.ServerLimited, "the servers of pool %s that are left have stated limits", pool).WithRetryAfter(serverlimit.RetryAfter(nearest.Remaining, b.rng.Float64()))
		return e.WithCause(errors.New(b.gate.DescribeLimit(nearest, b.uptime())))
	case gate.Paused:
		e := fault.New(fault.ServerPaused, "the servers of pool %s that are left have asked for a pause", pool).WithRetryAfter(serverstatus.RetryAfter(nearest.Remaining, b.rng.Float64()))
		return e.WithCause(errors.New(b.gate.DescribePause(nearest, b.uptime())))
	case gate.Saturated:
		return fault.New(fault.ServerSaturated, "the servers of pool %s that are left tolerate few rejections and have no room for this daemon", pool).WithRetryAfter(serverlimit.RetryAfter(nearest.Remaining, b.rng.Float64()))
	case gate.Evacuated:
		return fault.New(fault.Evacuated, "the servers of pool %s that are left stand in evacuated failure domains", pool)
	}
	return fault.New(fault.NoServer, "no live server of pool %s is left", pool)
}

func (b *balancer) withPool(name string, f func(*pool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[name]; p != nil {
		f(p)
	}
}

// recordFirstToken records the time to the first token and returns the part of it
// spent in the server's queue.
func (b *balancer) recordFirstToken(picked pick, elapsed time.Duration) (queueWait time.Duration) {
	b.withPool(picked.pool, func(p *pool) {
		queueWait = p.load.RecordFirstToken(picked.candidate.ID, elapsed, picked.uncachedTokens, time.Now())
		b.recordResponse(picked)
	})
	return queueWait
}

// recordResume reports to the gate that the stream of a run is resumed. It is not refused, as the
// run would be lost, but counts for the limits of its server.
func (b *balancer) recordResume(picked pick) {
	b.withPool(picked.pool, func(p *pool) {
		b.gate.RecordSend(gateServer(picked.pool, p, picked.slowStart, &picked.candidate), b.uptime())
	})
}

// recordCompletion records the end of an attempt and how long it occupied a slot.
func (b *balancer) recordCompletion(picked pick, slotTime time.Duration, failed bool) {
	b.withPool(picked.pool, func(p *pool) {
		p.load.RecordCompletion(picked.candidate.ID, slotTime, failed, picked.urgent, time.Now())
		if !failed {
			b.recordResponse(picked)
		}
	})
}

func (b *balancer) recordTimeout(picked pick) {
	b.withPool(picked.pool, func(p *pool) { p.load.RecordTimeout(picked.candidate.ID, time.Now()) })
}

// recordUnreachable records a server that accepts no connection or has lost a run.
func (b *balancer) recordUnreachable(picked pick) {
	b.withPool(picked.pool, func(p *pool) { p.load.RecordUnreachable(picked.candidate.ID, time.Now()) })
	b.d.checkTermination(picked.candidate.ID, picked.candidate.Address)
}

// recordMissingVersion records that a server refused a version that it had reported.
func (b *balancer) recordMissingVersion(picked pick, version string) {
	b.withPool(picked.pool, func(p *pool) {
		versions := slices.Clone(p.versions[picked.candidate.ID])
		p.versions[picked.candidate.ID] = slices.DeleteFunc(versions, func(v string) bool { return v == version })
	})
}

// probeNext reads the load of the next server in turn.
func (b *balancer) probeNext(ctx context.Context) {
	name, cand, ok := b.nextToProbe()
	if !ok {
		return
	}
	requestedAt := b.uptime()
	load, err := b.d.engine.Load(ctx, cand.Address)
	if err != nil {
		b.recordUnreached(name, cand.ID, err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			b.d.checkTermination(cand.ID, cand.Address)
		}
		return
	}
	b.recordReached(name, cand.ID)
	b.withPool(name, func(p *pool) {
		p.load.RecordReport(cand.ID, load.Running+load.Waiting, time.Now())
		if load.Versions != nil {
			p.versions[cand.ID] = load.Versions
		}
		b.observeDraining(cand.ID, load.Draining, requestedAt)
		p.load.SetLeaving(cand.ID, b.leaves(cand.ID))
		if load.WarmupRemainingMillis > 0 {
			p.warmAt[cand.ID] = b.uptime() + time.Duration(load.WarmupRemainingMillis)*time.Millisecond
		}
	})
}

func (b *balancer) nextToProbe() (string, routing.Candidate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.syncConfig(b.d.config.current())
	names := make([]string, 0, len(b.pools))
	for name := range b.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	type target struct {
		pool string
		c    routing.Candidate
	}
	var all []target
	for _, name := range names {
		for _, cand := range b.pools[name].load.Snapshot(nil, time.Now()) {
			if cand.ID != "" {
				all = append(all, target{name, cand})
			}
		}
	}
	if len(all) == 0 {
		return "", routing.Candidate{}, false
	}
	b.probeCursor++
	t := all[b.probeCursor%len(all)]
	return t.pool, t.c, true
}

// pollVMs reads the leaving servers from the VM list. Only readersPerDomain daemons
// of each failure domain read it, to limit the load on the list service; the others
// receive the result with heartbeats. While the service is unavailable, the last
// result stays in use.
func (b *balancer) pollVMs(ctx context.Context) {
	if !b.d.members.isDomainOwner("vm_list", readersPerDomain) {
		return
	}
	at := time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := b.d.deps.VMs.List(ctx)
	b.markServersUpdated()
	b.logListProblem(err)
	if unreadable := new(platform.UnreadableEntriesError); err != nil && !errors.As(err, &unreadable) {
		return
	}
	var ids []string
	for _, vm := range vms {
		if vm.State == platform.Leaving {
			ids = append(ids, vm.ID)
		}
	}
	b.applyLeaving(at, ids)
}

// logListProblem logs why the VM list, or a part of it, could not be read, when that changes.
func (b *balancer) logListProblem(err error) {
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if problem != b.listProblem {
		b.listProblem = problem
		b.d.log.Warn("VM list read", "problem", problem)
	}
}

func (b *balancer) markServersUpdated() {
	b.mu.Lock()
	b.serversUpdatedAt = time.Now()
	b.mu.Unlock()
}

// lastServersUpdate returns when the set of leaving servers was last confirmed.
func (b *balancer) lastServersUpdate() time.Time {
	if b.d.deps.VMs == nil {
		return time.Now()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serversUpdatedAt
}

// leavingServers returns the leaving servers and when they were read, in Unix
// milliseconds.
func (b *balancer) leavingServers() (at int64, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.leaving {
		ids = append(ids, id)
	}
	return b.leavingReadAt, ids
}

// applyLeaving replaces the set of leaving servers if the given one was read later.
func (b *balancer) applyLeaving(at int64, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at > 0 {
		b.serversUpdatedAt = time.Now()
	}
	if at <= b.leavingReadAt {
		return
	}
	leaving := make(map[string]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	for _, p := range b.pools {
		for id := range b.leaving {
			if !leaving[id] {
				p.load.SetLeaving(id, false)
			}
		}
		for id := range leaving {
			p.load.SetLeaving(id, true)
		}
	}
	b.leaving, b.leavingReadAt = leaving, at
}

// ServerView is the state of a server as tracked by this daemon.
type ServerView struct {
	Pool string `json:"pool"`
	routing.Candidate
	Versions []string `json:"versions"`
}

// Servers returns the servers of this daemon, sorted by pool and id.
func (d *Daemon) Servers() []ServerView {
	d.balancer.mu.Lock()
	defer d.balancer.mu.Unlock()
	d.balancer.syncConfig(d.config.current())
	var out []ServerView
	for name, p := range d.balancer.pools {
		for _, cand := range p.load.Snapshot(nil, time.Now()) {
			if cand.ID != "" {
				out = append(out, ServerView{name, cand, p.versions[cand.ID]})
			}
		}
	}
	slices.SortFunc(out, func(a, b ServerView) int {
		if a.Pool+a.ID < b.Pool+b.ID {
			return -1
		}
		return 1
	})
	return out
}
