package main

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
	"github.com/damaskrudder/damaskrudder/lab/sim"
)

const (
	engineCount   = 10
	daemonCount   = 6
	slots         = 8
	prefill       = 200 * time.Microsecond
	perToken      = 15 * time.Millisecond
	cacheBlocks   = 1500
	reportLag     = 2 * time.Second
	trialDuration = 120 * time.Second
	// warmupDuration is the initial part of a trial, which is excluded from the results.
	warmupDuration = 20 * time.Second
)

var deskWorkload = sim.Workload{PrefixGroups: 400, SharedTokens: 1024, UniqueTokens: 256, MeanCompletionTokens: 60}

type policyFactory = func(c *sim.Cluster, daemon int, rng *rand.Rand) sim.Policy

func newEngines(c *sim.Clock) []*sim.Engine {
	var out []*sim.Engine
	for range engineCount {
		e := sim.NewEngine(c, slots, prefill, perToken, cacheBlocks)
		e.ReportDelay = reportLag
		out = append(out, e)
	}
	return out
}

type trial struct {
	seed     uint64
	load     float64
	workload sim.Workload
	setup    func(c *sim.Cluster)
}

func (t trial) run(newPolicy policyFactory) *sim.Cluster {
	clock := &sim.Clock{}
	c := sim.NewCluster(t.seed, newEngines(clock), clock, daemonCount, newPolicy)
	if t.setup != nil {
		t.setup(c)
	}
	c.ScheduleArrivals(t.seed, t.workload, t.load, trialDuration)
	clock.Run(trialDuration + 30*time.Second)
	return c
}

func afterWarmup(r *sim.Result) bool { return r.SentAt > warmupDuration && r.SentAt < trialDuration }

// capacity returns the requests per second that a saturated pool completes with the
// default routing pipeline.
func capacity(seed uint64, workload sim.Workload) float64 {
	workload.Deadline = 0
	c := trial{seed: seed, load: 200, workload: workload}.run(sim.NewPipelinePolicy(routing.DefaultPipeline()))
	completed := 0
	for _, r := range c.Results {
		if at := r.SentAt + r.FirstToken; r.FirstToken > 0 && at > warmupDuration && at < trialDuration {
			completed++
		}
	}
	return float64(completed) / (trialDuration - warmupDuration).Seconds()
}

func routingTable(out io.Writer, seeds int) {
	rows := []row{
		{name: "p99 first token at 80% load, ours / round robin", target: 0.6},
		{name: "p99 first token at 80% load, ours / least reported", target: 0.8},
		{name: "  ours, ms"},
		{name: "  round robin, ms"},
		{name: "  least reported, ms"},
		{name: "goodput at 130% load, ours / capacity", target: 0.9, atLeast: true},
		{name: "  round robin / capacity"},
		{name: "  least reported / capacity"},
		{name: "p99 of high priority at 130% load / unloaded", target: 1.3},
		{name: "attempts per request with a failure domain gone", target: 1.1},
		{name: "p95 first token from 5 s after a failure domain went, ms", target: 1500},
	}
	writeTable(out, "routing: 10 engines, 6 daemons, reports lag 2 s, shared prefixes, one slow server", collectValues(seeds, rows, routingTrial))
}

func routingTrial(seed uint64) []float64 {
	ours := sim.NewPipelinePolicy(routing.DefaultPipeline())
	capacityRate := capacity(seed, deskWorkload)
	slow := trial{seed: seed, load: 0.8 * capacityRate, workload: deskWorkload, setup: func(c *sim.Cluster) { c.Engines[3].Slowdown = 3 }}
	p99 := func(p policyFactory) float64 {
		return float64(sim.Quantile(slow.run(p).Results, 0.99, afterWarmup)) / float64(time.Millisecond)
	}
	oursP99, roundRobinP99, leastReportedP99 := p99(ours), p99(sim.NewRoundRobin), p99(sim.NewLeastReported)
	out := []float64{oursP99 / roundRobinP99, oursP99 / leastReportedP99, oursP99, roundRobinP99, leastReportedP99}
	out = append(out, overload(seed, capacityRate, ours)...)
	return append(out, domainLoss(seed, capacityRate, ours)...)
}

// overloadDeadline is the first-token deadline of the overload trial.
const overloadDeadline = 1500 * time.Millisecond

// overload runs a trial at 130% load. It returns the goodput of each policy as a
// fraction of the capacity, and the p99 of high-priority requests relative to 10% load.
func overload(seed uint64, capacityRate float64, ours policyFactory) []float64 {
	workload := deskWorkload
	workload.Deadline, workload.UrgentFraction = overloadDeadline, 0.1
	overloaded := trial{seed: seed, load: 1.3 * capacityRate, workload: workload}
	goodput := func(c *sim.Cluster) float64 {
		good := 0
		for _, r := range c.Results {
			if afterWarmup(r) && r.FirstToken > 0 && r.FirstToken <= overloadDeadline {
				good++
			}
		}
		return float64(good) / (trialDuration - warmupDuration).Seconds() / capacityRate
	}
	loaded := overloaded.run(ours)
	urgent := func(r *sim.Result) bool { return afterWarmup(r) && r.Priority == 0 }
	unloaded := trial{seed: seed, load: 0.1 * capacityRate, workload: workload}.run(ours)
	ratio := float64(sim.Quantile(loaded.Results, 0.99, urgent)) / float64(sim.Quantile(unloaded.Results, 0.99, urgent))
	return []float64{goodput(loaded), goodput(overloaded.run(sim.NewRoundRobin)), goodput(overloaded.run(sim.NewLeastReported)), ratio}
}

// domainLoss fails two engines halfway through a trial at 60% load. It returns the
// attempts per request after the loss and the p95 of the first token after recovery.
func domainLoss(seed uint64, capacityRate float64, ours policyFactory) []float64 {
	const lossTime, recovery = trialDuration / 2, 5 * time.Second
	workload := deskWorkload
	workload.Deadline = 10 * time.Second
	c := trial{seed: seed, load: 0.6 * capacityRate, workload: workload, setup: func(c *sim.Cluster) {
		c.Clock.After(lossTime, func() {
			c.Engines[0].SetDown(true)
			c.Engines[1].SetDown(true)
		})
	}}.run(ours)
	attempts, requests := 0, 0
	for _, r := range c.Results {
		if r.SentAt > lossTime {
			attempts += r.Attempts
			requests++
		}
	}
	recoveredP95 := sim.Quantile(c.Results, 0.95, func(r *sim.Result) bool { return afterWarmup(r) && r.SentAt > lossTime+recovery })
	return []float64{float64(attempts) / float64(requests), float64(recoveredP95) / float64(time.Millisecond)}
}
