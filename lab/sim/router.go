package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/lab/naive"
)

// Request is one request of a workload.
type Request struct {
	PromptTokens     int
	Blocks           []uint64
	CompletionTokens int
	Priority         int
	// Deadline bounds the time to the first token; zero means none.
	Deadline time.Duration
}

// Result is the outcome of a request.
type Result struct {
	SentAt time.Duration
	// FirstToken is the time to first token; zero if there was none.
	FirstToken time.Duration
	Refused    bool
	Failed     bool
	// TimedOut reports that there was no first token by the deadline.
	TimedOut bool
	Attempts int
	Priority int
	Server   int
}

// Policy selects servers in one daemon.
type Policy interface {
	// Pick returns the index of a server that was not tried, or -1 to refuse the request.
	Pick(r *Request, tried []int) int
	// RecordSend, RecordFirstToken, and RecordCompletion are called in the course of an
	// attempt. RecordFirstToken returns the part of the latency that was spent queueing.
	RecordSend(server int, r *Request)
	RecordFirstToken(server int, r *Request, latency time.Duration) time.Duration
	RecordCompletion(server int, r *Request, duration time.Duration, failed bool)
	// RecordUnreachable records that the server went down.
	RecordUnreachable(server int)
	// RecordReport records a load report of a server.
	RecordReport(server, load int)
}

// Cluster simulates several daemons in front of a pool of engines.
type Cluster struct {
	Clock        *Clock
	Engines      []*Engine
	Daemons      []Policy
	Results      []*Result
	rng          *rand.Rand
	budgets      []*request.RetryBudget
	networkDelay time.Duration
}

const (
	// probePeriod is the interval at which a daemon probes the next server.
	probePeriod = 250 * time.Millisecond
	// networkDelay is the one-way delay between a daemon and a server.
	networkDelay = 500 * time.Microsecond
)

// NewCluster returns a cluster with the given engines and number of daemons, each with its
// own policy.
func NewCluster(seed uint64, engines []*Engine, clock *Clock, daemons int, policy func(c *Cluster, daemon int, rng *rand.Rand) Policy) *Cluster {
	c := &Cluster{Clock: clock, Engines: engines, rng: rand.New(rand.NewPCG(seed, 1)), networkDelay: networkDelay}
	for i := range daemons {
		c.Daemons = append(c.Daemons, policy(c, i, rand.New(rand.NewPCG(seed, uint64(100+i)))))
		c.budgets = append(c.budgets, request.NewRetryBudget())
		c.scheduleProbe(i, i)
	}
	return c
}

// scheduleProbe schedules load reports from the servers in turn.
func (c *Cluster) scheduleProbe(daemon, n int) {
	c.Clock.After(probePeriod, func() {
		server := n % len(c.Engines)
		if !c.Engines[server].down {
			c.Daemons[daemon].RecordReport(server, c.Engines[server].ReportedLoad())
		}
		c.scheduleProbe(daemon, n+1)
	})
}

// Send sends a request to a random daemon.
func (c *Cluster) Send(r *Request) {
	res := &Result{SentAt: c.Clock.now, Priority: r.Priority, Server: -1}
	c.Results = append(c.Results, res)
	daemon := c.rng.IntN(len(c.Daemons))
	c.budgets[daemon].Deposit()
	retry := &request.RetryState{Repeatable: true}
	if r.Deadline > 0 {
		retry.Deadline = c.Clock.Now().Add(r.Deadline)
	}
	c.attempt(daemon, r, res, retry, nil)
}

func (c *Cluster) attempt(daemon int, r *Request, res *Result, retry *request.RetryState, tried []int) {
	policy := c.Daemons[daemon]
	remaining := *r
	if r.Deadline > 0 {
		remaining.Deadline = r.Deadline - (c.Clock.now - res.SentAt)
	}
	server := policy.Pick(&remaining, tried)
	if server < 0 {
		res.Refused = true
		return
	}
	tried = append(slices.Clone(tried), server)
	retry.RecordAttempt()
	res.Attempts++
	policy.RecordSend(server, r)
	start := c.Clock.now
	var wait time.Duration
	job := &Job{PromptTokens: r.PromptTokens, Blocks: r.Blocks, CompletionTokens: r.CompletionTokens, Priority: r.Priority}
	job.OnFirstToken = func() {
		c.Clock.After(c.networkDelay, func() {
			if res.TimedOut {
				return
			}
			res.FirstToken, res.Server = c.Clock.now-res.SentAt, server
			retry.RecordDelivery()
			wait = policy.RecordFirstToken(server, r, c.Clock.now-start)
		})
	}
	job.OnDone = func() {
		c.Clock.After(c.networkDelay, func() { policy.RecordCompletion(server, r, c.Clock.now-start-wait, false) })
	}
	job.OnLost = func() {
		if res.TimedOut {
			return
		}
		policy.RecordCompletion(server, r, c.Clock.now-start-wait, true)
		policy.RecordUnreachable(server)
		if retry.Next(request.RunNotFound, c.Clock.Now(), c.budgets[daemon]).Action == request.Retry {
			c.attempt(daemon, r, res, retry, tried)
			return
		}
		res.Failed = true
	}
	c.Clock.After(c.networkDelay, func() { c.Engines[server].Submit(job) })
	if r.Deadline > 0 {
		c.Clock.After(remaining.Deadline, func() { c.timeOut(daemon, server, r, res, job, c.Clock.now-start) })
	}
}

// timeOut cancels an attempt without a first token at the deadline, which frees its slot on
// the engine.
func (c *Cluster) timeOut(daemon, server int, r *Request, res *Result, job *Job, duration time.Duration) {
	if res.FirstToken > 0 || res.Failed || res.TimedOut {
		return
	}
	res.TimedOut = true
	c.Engines[server].Cancel(job)
	c.Daemons[daemon].RecordCompletion(server, r, duration, true)
}

// PipelinePolicy routes with routing.Pipeline and a load tracker per daemon.
type PipelinePolicy struct {
	cluster    *Cluster
	tracker    *routing.LoadTracker
	pipeline   routing.Pipeline
	rng        *rand.Rand
	candidates []routing.Candidate
}

// NewPipelinePolicy returns a constructor for the policies of daemons that use the pipeline.
func NewPipelinePolicy(pipeline routing.Pipeline) func(*Cluster, int, *rand.Rand) Policy {
	return func(c *Cluster, _ int, rng *rand.Rand) Policy {
		p := &PipelinePolicy{cluster: c, tracker: routing.NewLoadTracker(), pipeline: pipeline, rng: rng}
		var members []routing.Member
		for i, e := range c.Engines {
			members = append(members, routing.Member{ID: serverID(i), Address: serverID(i), Slots: e.Slots})
		}
		p.tracker.Update(members)
		return p
	}
}

func serverID(i int) string { return fmt.Sprintf("s%02d", i) }

func (p *PipelinePolicy) request(r *Request) routing.Request {
	return routing.Request{PromptTokens: r.PromptTokens, Blocks: r.Blocks, BlockTokens: routing.BlockTokens, Budget: r.Deadline, Urgent: r.Priority == 0}
}

// Pick implements Policy.
func (p *PipelinePolicy) Pick(r *Request, tried []int) int {
	p.candidates = p.tracker.Snapshot(p.candidates[:0], p.cluster.Clock.Now())
	q := p.request(r)
	for _, t := range tried {
		q.Tried.Add(t)
	}
	p.tracker.Prefix.Lookup(&q)
	return p.pipeline.Pick(&q, p.candidates, p.rng).Index
}

// RecordSend implements Policy.
func (p *PipelinePolicy) RecordSend(server int, r *Request) {
	p.tracker.RecordSend(serverID(server), r.Blocks, r.Priority == 0, p.cluster.Clock.Now())
}

// RecordFirstToken implements Policy.
func (p *PipelinePolicy) RecordFirstToken(server int, r *Request, latency time.Duration) time.Duration {
	q := p.request(r)
	p.tracker.Prefix.Lookup(&q)
	return p.tracker.RecordFirstToken(serverID(server), latency, max(0, r.PromptTokens-int(q.CachedBlocks[server])*routing.BlockTokens), p.cluster.Clock.Now())
}

// RecordCompletion implements Policy.
func (p *PipelinePolicy) RecordCompletion(server int, r *Request, duration time.Duration, failed bool) {
	p.tracker.RecordCompletion(serverID(server), duration, failed, r.Priority == 0, p.cluster.Clock.Now())
}

// RecordUnreachable implements Policy.
func (p *PipelinePolicy) RecordUnreachable(server int) {
	p.tracker.RecordUnreachable(serverID(server), p.cluster.Clock.Now())
}

// RecordReport implements Policy.
func (p *PipelinePolicy) RecordReport(server, load int) {
	p.tracker.RecordReport(serverID(server), load, p.cluster.Clock.Now())
}

// BaselinePolicy routes with one of the baseline algorithms of package naive.
type BaselinePolicy struct {
	cluster       *Cluster
	reported      []int
	roundRobin    naive.RoundRobin
	leastReported bool
}

// NewRoundRobin returns a round-robin policy. Each daemon starts at a different server.
func NewRoundRobin(c *Cluster, daemon int, _ *rand.Rand) Policy {
	p := &BaselinePolicy{cluster: c, reported: make([]int, len(c.Engines))}
	for range daemon {
		p.roundRobin.Pick(make([]routing.Candidate, len(c.Engines)))
	}
	return p
}

// NewLeastReported returns a policy that picks the server with the lowest reported load.
func NewLeastReported(c *Cluster, _ int, _ *rand.Rand) Policy {
	return &BaselinePolicy{cluster: c, reported: make([]int, len(c.Engines)), leastReported: true}
}

// Pick implements Policy.
func (p *BaselinePolicy) Pick(_ *Request, tried []int) int {
	candidates := make([]routing.Candidate, len(p.cluster.Engines))
	for _, t := range tried {
		candidates[t].Suspect = true
	}
	if p.leastReported {
		return naive.LeastReported{}.Pick(candidates, p.reported)
	}
	return p.roundRobin.Pick(candidates)
}

// RecordSend implements Policy.
func (p *BaselinePolicy) RecordSend(int, *Request) {}

// RecordFirstToken implements Policy.
func (p *BaselinePolicy) RecordFirstToken(int, *Request, time.Duration) time.Duration { return 0 }

// RecordCompletion implements Policy.
func (p *BaselinePolicy) RecordCompletion(int, *Request, time.Duration, bool) {}

// RecordUnreachable implements Policy.
func (p *BaselinePolicy) RecordUnreachable(int) {}

// RecordReport implements Policy.
func (p *BaselinePolicy) RecordReport(server, load int) { p.reported[server] = load }
