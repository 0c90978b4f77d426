package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/internal/slowstart"
)

const (
	// loadProbeInterval is the pause between two load probes of a daemon; probes walk
	// through the servers, so their rate does not grow with the pool.
	loadProbeInterval = 250 * time.Millisecond
	// vmListInterval is the period of reading the list of VMs.
	vmListInterval = time.Second
	// vmListTimeout bounds one reading: with the pause before it, a list that does not
	// answer is known to be down while its last word may still be relied on.
	vmListTimeout = 900 * time.Millisecond
)

// balancer keeps the picture of each pool's servers.
type balancer struct {
	d            *Daemon
	mu           sync.Mutex
	configNumber uint64
	pools        map[string]*pool
	leaving      map[string]bool
	// leavingReadAt is when leaving was read from the platform, in Unix ms.
	leavingReadAt int64
	// serversUpdatedAt is when the list was last read, heard of, or found to be down.
	serversUpdatedAt time.Time
	probeCursor      int
	rng              *rand.Rand
	// gate is what every choice of a server passes.
	gate *gate.Gate
	// startedAt is when the daemon began; the gate's times count from it.
	startedAt time.Time
}

type pool struct {
	load *routing.LoadTracker
	// versions tells the versions each server reported; a server without a report
	// is tried.
	versions map[string][]string
	// warmAt is when servers have warmed up by their own reports, on the gate's clock.
	warmAt map[string]time.Duration
}

func newBalancer(d *Daemon) *balancer {
	return &balancer{
		d: d, pools: map[string]*pool{}, leaving: map[string]bool{}, gate: gate.New(), startedAt: time.Now(),
		rng: rand.New(rand.NewPCG(d.incarnation, uint64(len(d.settings.ID)))),
	}
}

func (b *balancer) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, loadProbeInterval, b.probeNext) })
	wg.Go(func() { runPeriodically(ctx, peerViewInterval, b.updatePeerView) })
	if b.d.deps.VMs != nil {
		wg.Go(func() { runPeriodically(ctx, vmListInterval, b.pollVMs) })
	}
	wg.Wait()
}

// syncConfig brings the pictures to the configuration in force. Callers hold mu.
func (b *balancer) syncConfig(cfg *fleet.Config) {
	if b.configNumber == cfg.Number && len(b.pools) > 0 {
		return
	}
	b.configNumber = cfg.Number
	b.syncEvacuations(cfg)
	for name, poolCfg := range cfg.Pools {
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
		p.load.Update(routing.Subset(b.d.settings.ID, members, b.d.settings.Subset))
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

// pick is a picked server and what the picture expects of it.
type pick struct {
	pool               string
	candidate          routing.Candidate
	uncachedTokens     int
	expectedFirstToken time.Duration
	// slowStart is what the server bears while it warms up.
	slowStart slowstart.Limit
	// hadFreeSlot says that the server had a free slot, so that its speed speaks for
	// the version and not for the load.
	hadFreeSlot bool
	urgent      bool
}

// pickServer chooses a server for a version and marks the attempt as dispatched.
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
	refused := b.excludeRefused(p, cfg.Pools[poolName].SlowStart, candidates, r)
	r.CachedBlocks = [routing.MaxCandidates]uint8{}
	p.load.Prefix.Lookup(r)
	decision := routing.DefaultPipeline().Pick(r, candidates, b.rng)
	if decision.Index < 0 {
		return pick{}, pickError(decision, poolName, &refused)
	}
	chosen := candidates[decision.Index]
	b.recordSend(p, cfg.Pools[poolName].SlowStart, &chosen)
	p.load.RecordDispatch(chosen.ID, r.Blocks, r.Urgent, time.Now())
	return pick{
		pool: poolName, candidate: chosen, expectedFirstToken: decision.Expected, urgent: r.Urgent, slowStart: slowStartLimit(cfg.Pools[poolName].SlowStart),
		uncachedTokens: max(0, r.PromptTokens-int(r.CachedBlocks[decision.Index])*r.BlockTokens),
		hadFreeSlot:    float64(chosen.InFlight)+chosen.OthersInFlight < float64(chosen.Slots),
	}, nil
}

func pickError(decision routing.Decision, pool string, refused *gate.Refusals) *fault.Error {
	if decision.Refusal == routing.BudgetExceeded {
		return fault.New(fault.Overloaded, "pool %s would answer in %s, after the deadline", pool, decision.Expected.Round(time.Millisecond)).WithRetryAfter(max(time.Second, decision.Expected/2))
	}
	switch reason, remaining := refused.Primary(); reason {
	case gate.Warming:
		return fault.New(fault.Warming, "the servers of pool %s that are left are warming up", pool).WithRetryAfter(remaining)
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

// recordFirstToken books a first token and returns the part of it that was a wait.
func (b *balancer) recordFirstToken(picked pick, elapsed time.Duration) (queueWait time.Duration) {
	b.withPool(picked.pool, func(p *pool) {
		queueWait = p.load.RecordFirstToken(picked.candidate.ID, elapsed, picked.uncachedTokens, time.Now())
		b.recordResponse(picked)
	})
	return queueWait
}

// recordCompletion books the end of an attempt that held a slot for some time.
func (b *balancer) recordCompletion(picked pick, held time.Duration, failed bool) {
	b.withPool(picked.pool, func(p *pool) {
		p.load.RecordCompletion(picked.candidate.ID, held, failed, picked.urgent, time.Now())
		if !failed {
			b.recordResponse(picked)
		}
	})
}

func (b *balancer) recordTimeout(picked pick) {
	b.withPool(picked.pool, func(p *pool) { p.load.RecordTimeout(picked.candidate.ID, time.Now()) })
}

func (b *balancer) recordUnreachable(picked pick) {
	b.withPool(picked.pool, func(p *pool) {
		p.load.RecordUnreachable(picked.candidate.ID, time.Now())
		b.gate.ServerTerminated(picked.candidate.ID, b.uptime())
	})
}

// recordMissingVersion records that a server refused a version it was thought to hold.
func (b *balancer) recordMissingVersion(picked pick, version string) {
	b.withPool(picked.pool, func(p *pool) {
		versions := slices.Clone(p.versions[picked.candidate.ID])
		p.versions[picked.candidate.ID] = slices.DeleteFunc(versions, func(v string) bool { return v == version })
	})
}

// probeNext asks the next server for its load.
func (b *balancer) probeNext(ctx context.Context) {
	name, cand, ok := b.nextToProbe()
	if !ok {
		return
	}
	load, err := b.d.engine.Load(ctx, cand.Address)
	if err != nil {
		return
	}
	b.withPool(name, func(p *pool) {
		p.load.RecordReport(cand.ID, load.Running+load.Waiting, time.Now())
		if load.Versions != nil {
			p.versions[cand.ID] = load.Versions
		}
		p.load.SetLeaving(cand.ID, load.Draining || b.leaving[cand.ID])
		if load.WarmingMillis > 0 {
			p.warmAt[cand.ID] = b.uptime() + time.Duration(load.WarmingMillis)*time.Millisecond
		}
	})
}

func (b *balancer) nextToProbe() (string, routing.Candidate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.syncConfig(b.d.config.current())
	names := make([]string, 0, len(b.pools))
	for n := range b.pools {
		names = append(names, n)
	}
	slices.Sort(names)
	type target struct {
		pool string
		c    routing.Candidate
	}
	var all []target
	for _, n := range names {
		for _, c := range b.pools[n].load.Snapshot(nil, time.Now()) {
			if c.ID != "" {
				all = append(all, target{n, c})
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

// pollVMs reads the platform's word on leaving servers. Two daemons of each
// failure domain read it and the others hear it with their heartbeats, since the
// list names every VM and hundreds of readers would swamp its service. While the
// list is down the last word stands.
func (b *balancer) pollVMs(ctx context.Context) {
	if !b.d.members.isDomainOwner("vm_list", readersPerDomain) {
		return
	}
	at := time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := b.d.deps.VMs.List(ctx)
	b.markServersUpdated()
	if err != nil {
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

func (b *balancer) markServersUpdated() {
	b.mu.Lock()
	b.serversUpdatedAt = time.Now()
	b.mu.Unlock()
}

// lastServersUpdate returns when the daemon last heard which servers leave.
func (b *balancer) lastServersUpdate() time.Time {
	if b.d.deps.VMs == nil {
		return time.Now()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serversUpdatedAt
}

// leavingServers returns the newest word on leaving servers and when it was read.
func (b *balancer) leavingServers() (at int64, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.leaving {
		ids = append(ids, id)
	}
	return b.leavingReadAt, ids
}

// applyLeaving applies a word on leaving servers that is newer than the known one.
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

// ServerView is a server as this daemon sees it.
type ServerView struct {
	Pool string `json:"pool"`
	routing.Candidate
	Versions []string `json:"versions"`
}

// Servers returns the daemon's view of its servers.
func (d *Daemon) Servers() []ServerView {
	d.balancer.mu.Lock()
	defer d.balancer.mu.Unlock()
	d.balancer.syncConfig(d.config.current())
	var out []ServerView
	for name, p := range d.balancer.pools {
		for _, c := range p.load.Snapshot(nil, time.Now()) {
			if c.ID != "" {
				out = append(out, ServerView{name, c, p.versions[c.ID]})
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
