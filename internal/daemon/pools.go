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
	// probeEvery is the pause between two load probes of a daemon; probes walk
	// through the servers, so their rate does not grow with the pool.
	probeEvery = 250 * time.Millisecond
	// vmListEvery is the period of reading the list of VMs.
	vmListEvery = time.Second
	// vmListLimit bounds one reading: with the pause before it, a list that does not
	// answer is known to be down while its last word may still be relied on.
	vmListLimit = 900 * time.Millisecond
)

// pools keeps the picture of each pool's servers.
type pools struct {
	d       *Daemon
	mu      sync.Mutex
	number  uint64
	byName  map[string]*pool
	leaving map[string]bool
	// leavingAt is when leaving was read from the platform, in Unix ms.
	leavingAt int64
	// heardAt is when the list was last read, heard of, or found to be down.
	heardAt time.Time
	turn    int
	rng     *rand.Rand
	// gate is what every choice of a server passes.
	gate *gate.Gate
	// born is when the daemon began; the gate's times count from it.
	born time.Time
}

type pool struct {
	picture *routing.LoadTracker
	// holds tells the versions each server reported; a server without a report
	// is tried.
	holds map[string][]string
	// warmAt is when servers have warmed up by their own reports, on the gate's clock.
	warmAt map[string]time.Duration
}

func newPools(d *Daemon) *pools {
	return &pools{
		d: d, byName: map[string]*pool{}, leaving: map[string]bool{}, gate: gate.New(), born: time.Now(),
		rng: rand.New(rand.NewPCG(d.incarnation, uint64(len(d.settings.ID)))),
	}
}

func (p *pools) loop(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, probeEvery, p.probe) })
	wg.Go(func() { every(ctx, viewEvery, p.viewPeers) })
	if p.d.ports.VMs != nil {
		wg.Go(func() { every(ctx, vmListEvery, p.listVMs) })
	}
	wg.Wait()
}

// sync brings the pictures to the configuration in force. Callers hold mu.
func (p *pools) sync(c *fleet.Config) {
	if p.number == c.Number && len(p.byName) > 0 {
		return
	}
	p.number = c.Number
	p.syncEvacuations(c)
	for name, cp := range c.Pools {
		if len(p.d.settings.Pools) > 0 && !slices.Contains(p.d.settings.Pools, name) {
			continue
		}
		st := p.byName[name]
		if st == nil {
			st = &pool{picture: routing.NewLoadTracker(), holds: map[string][]string{}, warmAt: map[string]time.Duration{}}
			p.byName[name] = st
		}
		members := make([]routing.Member, len(cp.Servers))
		for i, s := range cp.Servers {
			members[i] = routing.Member{ID: s.ID, Address: s.Address, FailureDomain: s.FailureDomain, Slots: s.Slots}
		}
		st.picture.Update(routing.Subset(p.d.settings.ID, members, p.d.settings.Subset))
		for id := range p.leaving {
			st.picture.SetLeaving(id, true)
		}
	}
	for name := range p.byName {
		if _, stays := c.Pools[name]; !stays {
			delete(p.byName, name)
		}
	}
}

// choice is a picked server and what the picture expects of it.
type choice struct {
	pool      string
	candidate routing.Candidate
	uncached  int
	expected  time.Duration
	// limit is what the server bears while it warms up.
	limit slowstart.Limit
	// spare says that the server had a free slot, so that its speed speaks for
	// the version and not for the load.
	spare  bool
	urgent bool
}

// pick chooses a server for a version and marks the attempt as dispatched.
func (p *pools) pick(c *fleet.Config, poolName, version string, r *routing.Request, tried []string) (choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(c)
	st := p.byName[poolName]
	if st == nil {
		return choice{}, fault.New(fault.NoServer, "pool %s is not served here", poolName)
	}
	var room [routing.MaxCandidates]routing.Candidate
	candidates := st.picture.Snapshot(room[:0], time.Now())
	r.Tried = routing.Set{}
	for i, cand := range candidates {
		held, reported := st.holds[cand.ID]
		if slices.Contains(tried, cand.ID) || reported && version != "" && !slices.Contains(held, version) {
			r.Tried.Add(i)
		}
	}
	refused := p.bar(st, c.Pools[poolName].SlowStart, candidates, r)
	r.CachedBlocks = [routing.MaxCandidates]uint8{}
	st.picture.Prefix.Lookup(r)
	dec := routing.DefaultPipeline().Pick(r, candidates, p.rng)
	if dec.Index < 0 {
		return choice{}, refusal(dec, poolName, &refused)
	}
	chosen := candidates[dec.Index]
	p.pass(st, c.Pools[poolName].SlowStart, &chosen)
	st.picture.RecordDispatch(chosen.ID, r.Blocks, r.Urgent, time.Now())
	return choice{
		pool: poolName, candidate: chosen, expected: dec.Expected, urgent: r.Urgent, limit: limitOf(c.Pools[poolName].SlowStart),
		uncached: max(0, r.PromptTokens-int(r.CachedBlocks[dec.Index])*r.BlockTokens),
		spare:    float64(chosen.InFlight)+chosen.OthersInFlight < float64(chosen.Slots),
	}, nil
}

func refusal(dec routing.Decision, pool string, refused *gate.Refusals) *fault.Error {
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

func (p *pools) with(name string, f func(*pool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.byName[name]; st != nil {
		f(st)
	}
}

// firstToken books a first token and returns the part of it that was a wait.
func (p *pools) firstToken(c choice, took time.Duration) (wait time.Duration) {
	p.with(c.pool, func(st *pool) {
		wait = st.picture.RecordFirstToken(c.candidate.ID, took, c.uncached, time.Now())
		p.answered(c)
	})
	return wait
}

// completed books the end of an attempt that held a slot for some time.
func (p *pools) completed(c choice, held time.Duration, failed bool) {
	p.with(c.pool, func(st *pool) {
		st.picture.RecordCompletion(c.candidate.ID, held, failed, c.urgent, time.Now())
		if !failed {
			p.answered(c)
		}
	})
}

func (p *pools) silent(c choice) {
	p.with(c.pool, func(st *pool) { st.picture.RecordTimeout(c.candidate.ID, time.Now()) })
}

func (p *pools) unreachable(c choice) {
	p.with(c.pool, func(st *pool) {
		st.picture.RecordUnreachable(c.candidate.ID, time.Now())
		p.gate.ServerTerminated(c.candidate.ID, p.boot())
	})
}

// lacks records that a server refused a version it was thought to hold.
func (p *pools) lacks(c choice, version string) {
	p.with(c.pool, func(st *pool) {
		held := slices.Clone(st.holds[c.candidate.ID])
		st.holds[c.candidate.ID] = slices.DeleteFunc(held, func(v string) bool { return v == version })
	})
}

// probe asks the next server for its load.
func (p *pools) probe(ctx context.Context) {
	name, cand, ok := p.nextToProbe()
	if !ok {
		return
	}
	l, err := p.d.engine.Load(ctx, cand.Address)
	if err != nil {
		return
	}
	p.with(name, func(st *pool) {
		st.picture.RecordReport(cand.ID, l.Running+l.Waiting, time.Now())
		if l.Versions != nil {
			st.holds[cand.ID] = l.Versions
		}
		st.picture.SetLeaving(cand.ID, l.Draining || p.leaving[cand.ID])
		if l.WarmUpMillis > 0 {
			st.warmAt[cand.ID] = p.boot() + time.Duration(l.WarmUpMillis)*time.Millisecond
		}
	})
}

func (p *pools) nextToProbe() (string, routing.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(p.d.config.current())
	names := make([]string, 0, len(p.byName))
	for n := range p.byName {
		names = append(names, n)
	}
	slices.Sort(names)
	type target struct {
		pool string
		c    routing.Candidate
	}
	var all []target
	for _, n := range names {
		for _, c := range p.byName[n].picture.Snapshot(nil, time.Now()) {
			if c.ID != "" {
				all = append(all, target{n, c})
			}
		}
	}
	if len(all) == 0 {
		return "", routing.Candidate{}, false
	}
	p.turn++
	t := all[p.turn%len(all)]
	return t.pool, t.c, true
}

// listVMs reads the platform's word on leaving servers. Two daemons of each
// failure domain read it and the others hear it with their heartbeats, since the
// list names every VM and hundreds of readers would swamp its service. While the
// list is down the last word stands.
func (p *pools) listVMs(ctx context.Context) {
	if !p.d.members.isHomeIn("vm_list", readersPerDomain) {
		return
	}
	at := time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(ctx, vmListLimit)
	defer cancel()
	vms, err := p.d.ports.VMs.List(ctx)
	p.heard()
	if err != nil {
		return
	}
	var ids []string
	for _, vm := range vms {
		if vm.State == platform.Leaving {
			ids = append(ids, vm.ID)
		}
	}
	p.takeLeaving(at, ids)
}

func (p *pools) heard() {
	p.mu.Lock()
	p.heardAt = time.Now()
	p.mu.Unlock()
}

// serversHeard returns when the daemon last heard which servers leave.
func (p *pools) serversHeard() time.Time {
	if p.d.ports.VMs == nil {
		return time.Now()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heardAt
}

// leavingWord returns the newest word on leaving servers and when it was read.
func (p *pools) leavingWord() (at int64, ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.leaving {
		ids = append(ids, id)
	}
	return p.leavingAt, ids
}

// takeLeaving applies a word on leaving servers that is newer than the known one.
func (p *pools) takeLeaving(at int64, ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at > 0 {
		p.heardAt = time.Now()
	}
	if at <= p.leavingAt {
		return
	}
	now := make(map[string]bool, len(ids))
	for _, id := range ids {
		now[id] = true
	}
	for _, st := range p.byName {
		for id := range p.leaving {
			if !now[id] {
				st.picture.SetLeaving(id, false)
			}
		}
		for id := range now {
			st.picture.SetLeaving(id, true)
		}
	}
	p.leaving, p.leavingAt = now, at
}

// ServerView is a server as this daemon sees it.
type ServerView struct {
	Pool string `json:"pool"`
	routing.Candidate
	Versions []string `json:"versions"`
}

// Servers returns the daemon's view of its servers.
func (d *Daemon) Servers() []ServerView {
	d.pools.mu.Lock()
	defer d.pools.mu.Unlock()
	d.pools.sync(d.config.current())
	var out []ServerView
	for name, st := range d.pools.byName {
		for _, c := range st.picture.Snapshot(nil, time.Now()) {
			if c.ID != "" {
				out = append(out, ServerView{name, c, st.holds[c.ID]})
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
