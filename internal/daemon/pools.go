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

func (p *balancer) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, loadProbeInterval, p.probeNext) })
	wg.Go(func() { runPeriodically(ctx, peerViewInterval, p.updatePeerView) })
	if p.d.deps.VMs != nil {
		wg.Go(func() { runPeriodically(ctx, vmListInterval, p.pollVMs) })
	}
	wg.Wait()
}

// syncConfig brings the pictures to the configuration in force. Callers hold mu.
func (p *balancer) syncConfig(c *fleet.Config) {
	if p.configNumber == c.Number && len(p.pools) > 0 {
		return
	}
	p.configNumber = c.Number
	p.syncEvacuations(c)
	for name, cp := range c.Pools {
		if len(p.d.settings.Pools) > 0 && !slices.Contains(p.d.settings.Pools, name) {
			continue
		}
		st := p.pools[name]
		if st == nil {
			st = &pool{load: routing.NewLoadTracker(), versions: map[string][]string{}, warmAt: map[string]time.Duration{}}
			p.pools[name] = st
		}
		members := make([]routing.Member, len(cp.Servers))
		for i, s := range cp.Servers {
			members[i] = routing.Member{ID: s.ID, Address: s.Address, FailureDomain: s.FailureDomain, Slots: s.Slots}
		}
		st.load.Update(routing.Subset(p.d.settings.ID, members, p.d.settings.Subset))
		for id := range p.leaving {
			st.load.SetLeaving(id, true)
		}
	}
	for name := range p.pools {
		if _, stays := c.Pools[name]; !stays {
			delete(p.pools, name)
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
func (p *balancer) pickServer(c *fleet.Config, poolName, version string, r *routing.Request, tried []string) (pick, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncConfig(c)
	st := p.pools[poolName]
	if st == nil {
		return pick{}, fault.New(fault.NoServer, "pool %s is not served here", poolName)
	}
	var room [routing.MaxCandidates]routing.Candidate
	candidates := st.load.Snapshot(room[:0], time.Now())
	r.Tried = routing.Set{}
	for i, cand := range candidates {
		held, reported := st.versions[cand.ID]
		if slices.Contains(tried, cand.ID) || reported && version != "" && !slices.Contains(held, version) {
			r.Tried.Add(i)
		}
	}
	refused := p.excludeRefused(st, c.Pools[poolName].SlowStart, candidates, r)
	r.CachedBlocks = [routing.MaxCandidates]uint8{}
	st.load.Prefix.Lookup(r)
	dec := routing.DefaultPipeline().Pick(r, candidates, p.rng)
	if dec.Index < 0 {
		return pick{}, pickError(dec, poolName, &refused)
	}
	chosen := candidates[dec.Index]
	p.recordSend(st, c.Pools[poolName].SlowStart, &chosen)
	st.load.RecordDispatch(chosen.ID, r.Blocks, r.Urgent, time.Now())
	return pick{
		pool: poolName, candidate: chosen, expectedFirstToken: dec.Expected, urgent: r.Urgent, slowStart: slowStartLimit(c.Pools[poolName].SlowStart),
		uncachedTokens: max(0, r.PromptTokens-int(r.CachedBlocks[dec.Index])*r.BlockTokens),
		hadFreeSlot:    float64(chosen.InFlight)+chosen.OthersInFlight < float64(chosen.Slots),
	}, nil
}

func pickError(dec routing.Decision, pool string, refused *gate.Refusals) *fault.Error {
	if dec.Refusal == routing.BudgetExceeded {
		return fault.New(fault.Overloaded, "pool %s would answer in %s, after the deadline", pool, dec.Expected.Round(time.Millisecond)).WithRetryAfter(max(time.Second, dec.Expected/2))
	}
	switch reason, left := refused.Primary(); reason {
	case gate.Warming:
		return fault.New(fault.Warming, "the servers of pool %s that are left are warming up", pool).WithRetryAfter(left)
	case gate.Evacuated:
		return fault.New(fault.Evacuated, "the servers of pool %s that are left stand in evacuated failure domains", pool)
	}
	return fault.New(fault.NoServer, "no live server of pool %s is left", pool)
}

func (p *balancer) withPool(name string, f func(*pool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.pools[name]; st != nil {
		f(st)
	}
}

// recordFirstToken books a first token and returns the part of it that was a wait.
func (p *balancer) recordFirstToken(c pick, took time.Duration) (wait time.Duration) {
	p.withPool(c.pool, func(st *pool) {
		wait = st.load.RecordFirstToken(c.candidate.ID, took, c.uncachedTokens, time.Now())
		p.recordResponse(c)
	})
	return wait
}

// recordCompletion books the end of an attempt that held a slot for some time.
func (p *balancer) recordCompletion(c pick, held time.Duration, failed bool) {
	p.withPool(c.pool, func(st *pool) {
		st.load.RecordCompletion(c.candidate.ID, held, failed, c.urgent, time.Now())
		if !failed {
			p.recordResponse(c)
		}
	})
}

func (p *balancer) recordTimeout(c pick) {
	p.withPool(c.pool, func(st *pool) { st.load.RecordTimeout(c.candidate.ID, time.Now()) })
}

func (p *balancer) recordUnreachable(c pick) {
	p.withPool(c.pool, func(st *pool) {
		st.load.RecordUnreachable(c.candidate.ID, time.Now())
		p.gate.ServerTerminated(c.candidate.ID, p.uptime())
	})
}

// recordMissingVersion records that a server refused a version it was thought to hold.
func (p *balancer) recordMissingVersion(c pick, version string) {
	p.withPool(c.pool, func(st *pool) {
		held := slices.Clone(st.versions[c.candidate.ID])
		st.versions[c.candidate.ID] = slices.DeleteFunc(held, func(v string) bool { return v == version })
	})
}

// probeNext asks the next server for its load.
func (p *balancer) probeNext(ctx context.Context) {
	name, cand, ok := p.nextToProbe()
	if !ok {
		return
	}
	l, err := p.d.engine.Load(ctx, cand.Address)
	if err != nil {
		return
	}
	p.withPool(name, func(st *pool) {
		st.load.RecordReport(cand.ID, l.Running+l.Waiting, time.Now())
		if l.Versions != nil {
			st.versions[cand.ID] = l.Versions
		}
		st.load.SetLeaving(cand.ID, l.Draining || p.leaving[cand.ID])
		if l.WarmingMillis > 0 {
			st.warmAt[cand.ID] = p.uptime() + time.Duration(l.WarmingMillis)*time.Millisecond
		}
	})
}

func (p *balancer) nextToProbe() (string, routing.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncConfig(p.d.config.current())
	names := make([]string, 0, len(p.pools))
	for n := range p.pools {
		names = append(names, n)
	}
	slices.Sort(names)
	type target struct {
		pool string
		c    routing.Candidate
	}
	var all []target
	for _, n := range names {
		for _, c := range p.pools[n].load.Snapshot(nil, time.Now()) {
			if c.ID != "" {
				all = append(all, target{n, c})
			}
		}
	}
	if len(all) == 0 {
		return "", routing.Candidate{}, false
	}
	p.probeCursor++
	t := all[p.probeCursor%len(all)]
	return t.pool, t.c, true
}

// pollVMs reads the platform's word on leaving servers. Two daemons of each
// failure domain read it and the others hear it with their heartbeats, since the
// list names every VM and hundreds of readers would swamp its service. While the
// list is down the last word stands.
func (p *balancer) pollVMs(ctx context.Context) {
	if !p.d.members.isDomainOwner("vm_list", readersPerDomain) {
		return
	}
	at := time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := p.d.deps.VMs.List(ctx)
	p.markServersUpdated()
	if err != nil {
		return
	}
	var ids []string
	for _, vm := range vms {
		if vm.State == platform.Leaving {
			ids = append(ids, vm.ID)
		}
	}
	p.applyLeaving(at, ids)
}

func (p *balancer) markServersUpdated() {
	p.mu.Lock()
	p.serversUpdatedAt = time.Now()
	p.mu.Unlock()
}

// lastServersUpdate returns when the daemon last heard which servers leave.
func (p *balancer) lastServersUpdate() time.Time {
	if p.d.deps.VMs == nil {
		return time.Now()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serversUpdatedAt
}

// leavingServers returns the newest word on leaving servers and when it was read.
func (p *balancer) leavingServers() (at int64, ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.leaving {
		ids = append(ids, id)
	}
	return p.leavingReadAt, ids
}

// applyLeaving applies a word on leaving servers that is newer than the known one.
func (p *balancer) applyLeaving(at int64, ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at > 0 {
		p.serversUpdatedAt = time.Now()
	}
	if at <= p.leavingReadAt {
		return
	}
	now := make(map[string]bool, len(ids))
	for _, id := range ids {
		now[id] = true
	}
	for _, st := range p.pools {
		for id := range p.leaving {
			if !now[id] {
				st.load.SetLeaving(id, false)
			}
		}
		for id := range now {
			st.load.SetLeaving(id, true)
		}
	}
	p.leaving, p.leavingReadAt = now, at
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
	for name, st := range d.balancer.pools {
		for _, c := range st.load.Snapshot(nil, time.Now()) {
			if c.ID != "" {
				out = append(out, ServerView{name, c, st.versions[c.ID]})
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
