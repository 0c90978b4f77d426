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
	Prompt   int
	Blocks   []uint64
	Answer   int
	Priority int
	// Deadline bounds the wait for the first token; zero is none.
	Deadline time.Duration
}

// Result is what became of a request.
type Result struct {
	Sent time.Duration
	// First is the first-token latency; zero when there was none.
	First   time.Duration
	Refused bool
	Lost    bool
	// Abandoned says that there was no first token by the deadline.
	Abandoned bool
	Attempts  int
	Priority  int
	Server    int
}

// Policy chooses a server for an attempt.
type Policy interface {
	// Pick returns the index of a server or -1 for a refusal.
	Pick(r *Request, tried []int) int
	// Began, First and Ended follow an attempt. First returns the part of the
	// first token that was a wait.
	Began(server int, r *Request)
	First(server int, r *Request, took time.Duration) time.Duration
	Ended(server int, r *Request, held time.Duration, failed bool)
	// Unreachable tells that the server went away.
	Unreachable(server int)
	// Report brings a load report of a server.
	Report(server, load int)
}

// Cluster is a pool of engines in front of several daemons.
type Cluster struct {
	Clock   *Clock
	Engines []*Engine
	Daemons []Policy
	Results []*Result
	rng     *rand.Rand
	budgets []*request.RetryBudget
	network time.Duration
}

const (
	// probePeriod is how often a daemon hears from one of its servers.
	probePeriod = 250 * time.Millisecond
	// networkDelay is one way between a daemon and a server.
	networkDelay = 500 * time.Microsecond
)

// NewCluster returns a pool of engines and daemons made by policy.
func NewCluster(seed uint64, engines []*Engine, clock *Clock, daemons int, policy func(c *Cluster, daemon int, rng *rand.Rand) Policy) *Cluster {
	c := &Cluster{Clock: clock, Engines: engines, rng: rand.New(rand.NewPCG(seed, 1)), network: networkDelay}
	for i := range daemons {
		c.Daemons = append(c.Daemons, policy(c, i, rand.New(rand.NewPCG(seed, uint64(100+i)))))
		c.budgets = append(c.budgets, request.NewRetryBudget())
		c.probe(i, i)
	}
	return c
}

func (c *Cluster) probe(daemon, turn int) {
	c.Clock.After(probePeriod, func() {
		server := turn % len(c.Engines)
		if !c.Engines[server].down {
			c.Daemons[daemon].Report(server, c.Engines[server].Reported())
		}
		c.probe(daemon, turn+1)
	})
}

// Send gives a request to a random daemon.
func (c *Cluster) Send(r *Request) {
	res := &Result{Sent: c.Clock.now, Priority: r.Priority, Server: -1}
	c.Results = append(c.Results, res)
	daemon := c.rng.IntN(len(c.Daemons))
	c.budgets[daemon].Deposit()
	life := &request.RetryState{Repeatable: true}
	if r.Deadline > 0 {
		life.Deadline = c.Clock.Now().Add(r.Deadline)
	}
	c.attempt(daemon, r, res, life, nil)
}

func (c *Cluster) attempt(daemon int, r *Request, res *Result, life *request.RetryState, tried []int) {
	p := c.Daemons[daemon]
	left := *r
	if r.Deadline > 0 {
		left.Deadline = r.Deadline - (c.Clock.now - res.Sent)
	}
	server := p.Pick(&left, tried)
	if server < 0 {
		res.Refused = true
		return
	}
	tried = append(slices.Clone(tried), server)
	life.RecordAttempt()
	res.Attempts++
	p.Began(server, r)
	began := c.Clock.now
	var wait time.Duration
	j := &Job{Prompt: r.Prompt, Blocks: r.Blocks, Answer: r.Answer, Priority: r.Priority}
	j.First = func() {
		c.Clock.After(c.network, func() {
			if res.Abandoned {
				return
			}
			res.First, res.Server = c.Clock.now-res.Sent, server
			life.RecordDelivery()
			wait = p.First(server, r, c.Clock.now-began)
		})
	}
	j.Done = func() {
		c.Clock.After(c.network, func() { p.Ended(server, r, c.Clock.now-began-wait, false) })
	}
	j.Lost = func() {
		if res.Abandoned {
			return
		}
		p.Ended(server, r, c.Clock.now-began-wait, true)
		p.Unreachable(server)
		if life.Next(request.RunNotFound, c.Clock.Now(), c.budgets[daemon]).Action == request.Retry {
			c.attempt(daemon, r, res, life, tried)
			return
		}
		res.Lost = true
	}
	c.Clock.After(c.network, func() { c.Engines[server].Submit(j) })
	if r.Deadline > 0 {
		c.Clock.After(left.Deadline, func() { c.abandon(daemon, server, r, res, j, c.Clock.now-began) })
	}
}

// abandon ends an attempt that has no first token by the deadline, as a daemon does
// when the caller's time is over: the engine is free for those who still wait.
func (c *Cluster) abandon(daemon, server int, r *Request, res *Result, j *Job, held time.Duration) {
	if res.First > 0 || res.Lost || res.Abandoned {
		return
	}
	res.Abandoned = true
	c.Engines[server].Cancel(j)
	c.Daemons[daemon].Ended(server, r, held, true)
}

// Ours is the project's routing in one daemon.
type Ours struct {
	cluster *Cluster
	picture *routing.LoadTracker
	pipe    routing.Pipeline
	rng     *rand.Rand
	room    []routing.Candidate
}

// NewOurs returns the policy with a pipeline.
func NewOurs(pipe routing.Pipeline) func(*Cluster, int, *rand.Rand) Policy {
	return func(c *Cluster, _ int, rng *rand.Rand) Policy {
		o := &Ours{cluster: c, picture: routing.NewLoadTracker(), pipe: pipe, rng: rng}
		var members []routing.Member
		for i, e := range c.Engines {
			members = append(members, routing.Member{ID: serverID(i), Address: serverID(i), Slots: e.Slots})
		}
		o.picture.Update(members)
		return o
	}
}

func serverID(i int) string { return fmt.Sprintf("s%02d", i) }

func (o *Ours) request(r *Request) routing.Request {
	return routing.Request{PromptTokens: r.Prompt, Blocks: r.Blocks, BlockTokens: routing.BlockTokens, Budget: r.Deadline, Urgent: r.Priority == 0}
}

// Pick implements Policy.
func (o *Ours) Pick(r *Request, tried []int) int {
	o.room = o.picture.Snapshot(o.room[:0], o.cluster.Clock.Now())
	q := o.request(r)
	for _, t := range tried {
		q.Tried.Add(t)
	}
	o.picture.Prefix.Lookup(&q)
	return o.pipe.Pick(&q, o.room, o.rng).Index
}

// Began implements Policy.
func (o *Ours) Began(server int, r *Request) {
	o.picture.RecordDispatch(serverID(server), r.Blocks, r.Priority == 0, o.cluster.Clock.Now())
}

// First implements Policy.
func (o *Ours) First(server int, r *Request, took time.Duration) time.Duration {
	q := o.request(r)
	o.picture.Prefix.Lookup(&q)
	return o.picture.RecordFirstToken(serverID(server), took, max(0, r.Prompt-int(q.CachedBlocks[server])*routing.BlockTokens), o.cluster.Clock.Now())
}

// Ended implements Policy.
func (o *Ours) Ended(server int, r *Request, held time.Duration, failed bool) {
	o.picture.RecordCompletion(serverID(server), held, failed, r.Priority == 0, o.cluster.Clock.Now())
}

// Unreachable implements Policy.
func (o *Ours) Unreachable(server int) {
	o.picture.RecordUnreachable(serverID(server), o.cluster.Clock.Now())
}

// Report implements Policy.
func (o *Ours) Report(server, load int) {
	o.picture.RecordReport(serverID(server), load, o.cluster.Clock.Now())
}

// Naive wraps one of the plain rules.
type Naive struct {
	cluster  *Cluster
	reported []int
	robin    naive.RoundRobin
	least    bool
}

// NewRoundRobin returns the round-robin policy.
func NewRoundRobin(c *Cluster, daemon int, _ *rand.Rand) Policy {
	n := &Naive{cluster: c, reported: make([]int, len(c.Engines))}
	for range daemon {
		n.robin.Pick(make([]routing.Candidate, len(c.Engines)))
	}
	return n
}

// NewLeastReported returns the policy that follows the lowest report.
func NewLeastReported(c *Cluster, _ int, _ *rand.Rand) Policy {
	return &Naive{cluster: c, reported: make([]int, len(c.Engines)), least: true}
}

// Pick implements Policy.
func (n *Naive) Pick(_ *Request, tried []int) int {
	candidates := make([]routing.Candidate, len(n.cluster.Engines))
	for _, t := range tried {
		candidates[t].Suspect = true
	}
	if n.least {
		return naive.LeastReported{}.Pick(candidates, n.reported)
	}
	return n.robin.Pick(candidates)
}

// Began implements Policy.
func (n *Naive) Began(int, *Request) {}

// First implements Policy.
func (n *Naive) First(int, *Request, time.Duration) time.Duration { return 0 }

// Ended implements Policy.
func (n *Naive) Ended(int, *Request, time.Duration, bool) {}

// Unreachable implements Policy.
func (n *Naive) Unreachable(int) {}

// Report implements Policy.
func (n *Naive) Report(server, load int) { n.reported[server] = load }
