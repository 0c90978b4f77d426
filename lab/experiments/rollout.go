package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/lab/naive"
)

const (
	// requestRate is the model's traffic over the whole fleet, a second.
	requestRate = 120
	// sessions take turns; each is pinned to the version of its first answer and
	// ends after sessionLength requests in the mean.
	sessions      = 400
	sessionLength = 20
	// horizon ends a roll-out trial.
	horizon = 900
	// ratingShare and ratingDelay describe the rating service.
	ratingShare = 0.05
	ratingDelay = 30
	// Base rates of a good version.
	baseErrors, baseSlow, baseBad = 0.002, 0.02, 0.05
	// stageTime is the fixed time of a stage for the naive rule and the least
	// time of ours.
	stageTime = time.Minute
)

var stages = []float64{1, 10, 50, 100}

// fault is what is wrong with the new version, or with a place.
type fault struct {
	errors, slow, wrong float64
	// from is when the version turns bad, in seconds.
	from int
	// servers fail runs of both versions at placeErrors.
	servers     []int
	placeErrors float64
	// drained makes every run of both versions slow.
	drained bool
}

// outcome is what one roll-out did.
type outcome struct {
	// hurt counts requests harmed by the new version's fault.
	hurt int
	// hurtPinned counts those of sessions that were pinned before it turned bad.
	hurtPinned int
	// stopped and done are when, in seconds; -1 is never.
	stopped, done int
	held          bool
}

// stepper is a rule that steers a roll-out, called once a virtual second.
type stepper interface {
	percent() float64
	avoids(daemon int) bool
	ratingShare(fresh bool) float64
	observe(r run)
	tick(second int) (stop, done, held bool)
}

// run is one finished request.
type run struct {
	daemon, server    int
	fresh             bool
	failed, slow, bad bool
	rated             bool
}

type late struct {
	due int
	run run
}

// simulate runs one roll-out.
func simulate(seed uint64, f fault, s stepper) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	pins := make([]int8, sessions)
	pinnedBefore := make([]bool, sessions)
	buckets := make([]float64, sessions)
	for i := range buckets {
		buckets[i] = fleet.Bucket("m", fmt.Sprint(seed, "/", i))
	}
	out := outcome{stopped: -1, done: -1}
	names := sessions
	var ratings []late
	for second := range horizon {
		if second == f.from {
			for i, p := range pins {
				pinnedBefore[i] = p == 2
			}
		}
		for range requestRate {
			id := rng.IntN(sessions)
			if rng.IntN(sessionLength) == 0 {
				names++
				pins[id], pinnedBefore[id], buckets[id] = 0, false, fleet.Bucket("m", fmt.Sprint(seed, "/", names))
			}
			r := run{daemon: rng.IntN(daemons), server: rng.IntN(engines)}
			r.fresh = out.stopped < 0 && (pins[id] == 2 || pins[id] == 0 && buckets[id] < s.percent() && !s.avoids(r.daemon))
			hurt := r.suffer(rng, f, second)
			if hurt {
				out.hurt++
				if pinnedBefore[id] {
					out.hurtPinned++
				}
			}
			if !r.failed {
				pins[id] = 1
				if r.fresh {
					pins[id] = 2
				}
			}
			s.observe(r)
			if !r.failed && rng.Float64() < s.ratingShare(r.fresh) {
				r.rated = true
				ratings = append(ratings, late{second + ratingDelay, r})
			}
		}
		for len(ratings) > 0 && ratings[0].due <= second {
			s.observe(ratings[0].run)
			ratings = ratings[1:]
		}
		stop, done, held := s.tick(second)
		if stop && out.stopped < 0 {
			out.stopped = second
		}
		if done && out.done < 0 {
			out.done = second
		}
		out.held = out.held || held
	}
	return out
}

// suffer decides how a run went and whether the new version's fault harmed it.
func (r *run) suffer(rng *rand.Rand, f fault, second int) bool {
	r.failed = rng.Float64() < baseErrors
	r.slow = f.drained || rng.Float64() < baseSlow
	r.bad = rng.Float64() < baseBad
	for _, s := range f.servers {
		if s == r.server && rng.Float64() < f.placeErrors {
			r.failed = true
		}
	}
	if !r.fresh || second < f.from {
		return false
	}
	hurt := false
	for _, c := range []struct {
		rate float64
		flag *bool
	}{{f.errors, &r.failed}, {f.slow, &r.slow}, {f.wrong, &r.bad}} {
		if c.rate > 0 && rng.Float64() < c.rate {
			*c.flag, hurt = true, true
		}
	}
	return hurt
}

// ours steers by the project's rules: evidence by server, judged every second at
// the home, with a brake in each daemon.
type ours struct {
	rules  rollout.StagePolicy
	ro     fleet.Rollout
	since  int
	own    [daemons]rollout.Evidence
	braked [daemons]bool
}

func newOurs() *ours {
	o := &ours{rules: rollout.DefaultStagePolicy(), ro: fleet.Rollout{Model: "m", TargetVersion: "v2", Stages: stages, State: fleet.RolloutRunning}}
	o.rules.MinStageDuration = stageTime
	for d := range o.own {
		for s := range engines {
			domain := fmt.Sprint("fd", s%5)
			id := fmt.Sprintf("s%02d", s)
			o.own[d] = append(o.own[d], rollout.ServerCounts{Server: id, FailureDomain: domain}, rollout.ServerCounts{Server: id, FailureDomain: domain, New: true})
		}
	}
	return o
}

func (o *ours) ratingShare(fresh bool) float64 {
	return rollout.RatingShare(ratingShare, o.ro.Percent(), fresh)
}
func (o *ours) percent() float64       { return o.ro.Percent() }
func (o *ours) avoids(daemon int) bool { return o.braked[daemon] }

func (o *ours) observe(r run) {
	at := 2 * r.server
	if r.fresh {
		at++
	}
	n := &o.own[r.daemon][at].Counts
	if r.rated {
		n.Rated++
		if r.bad {
			n.Bad++
		}
		return
	}
	n.Requests++
	if r.failed {
		n.Errors++
		return
	}
	n.Timed++
	if r.slow {
		n.Slow++
	}
}

func (o *ours) tick(second int) (stop, done, held bool) {
	if rollout.CarriesTraffic(o.ro) {
		o.judge(second)
	}
	return o.ro.State == fleet.RolloutRolledBack, o.ro.Percent() == 100, o.ro.State == fleet.RolloutHeld
}

func (o *ours) judge(second int) {
	var all rollout.Evidence
	for d := range o.own {
		_, stop := o.rules.ShouldStopLocally(o.own[d])
		o.braked[d] = o.braked[d] || stop
		all = all.Merge(o.own[d])
	}
	v := o.rules.Evaluate(o.ro, all, time.Duration(second-o.since)*time.Second)
	if v.Step == rollout.Wait {
		return
	}
	o.ro = rollout.ApplyStep(o.ro, v.Step)
	o.since = second
	if v.Step != rollout.Advance {
		return
	}
	for d := range o.own {
		for i := range o.own[d] {
			o.own[d][i].Counts = rollout.Counts{}
		}
	}
}

// fixed steers by the naive rule.
type fixed struct {
	rule             naive.FixedStages
	second           int
	requests, errors int
}

func newFixed() *fixed {
	return &fixed{rule: naive.FixedStages{Stages: stages, StageDuration: stageTime, MaxErrorRate: 0.05, Window: 30 * time.Second}}
}

func (f *fixed) percent() float64 {
	return f.rule.TrafficPercent(time.Duration(f.second) * time.Second)
}
func (f *fixed) avoids(int) bool          { return false }
func (f *fixed) ratingShare(bool) float64 { return ratingShare }
func (f *fixed) observe(r run) {
	if r.rated {
		return
	}
	f.requests++
	if r.failed {
		f.errors++
	}
}

func (f *fixed) tick(second int) (stop, done, held bool) {
	f.second = second
	at := time.Duration(second) * time.Second
	f.rule.Observe(at, f.requests, f.errors)
	f.requests, f.errors = 0, 0
	return f.rule.TrafficPercent(at) == 0, f.rule.Done(at), false
}

var badVersions = []struct {
	name string
	f    fault
}{
	{"2% errors", fault{errors: 0.02}},
	{"10% errors", fault{errors: 0.1}},
	{"50% errors", fault{errors: 0.5}},
	{"30% slow", fault{slow: 0.3}},
	{"30% wrong by rating", fault{wrong: 0.3}},
}

func rolloutTable(out io.Writer, seeds int) {
	var rows []row
	for _, b := range badVersions {
		rows = append(rows, row{name: b.name + ": requests hurt, ours / fixed steps", target: 0.2},
			row{name: "  ours, requests hurt"}, row{name: "  fixed steps, requests hurt"}, row{name: "  ours, seconds until withdrawn"})
	}
	rows = append(rows, row{name: "50% errors from 200 s on: pinned requests hurt, ours"},
		row{name: "  seconds until withdrawn"},
		row{name: "good version, seconds to everyone, ours / fixed steps", target: 1.2})
	writeTable(out, "roll-out: 120 requests/s, 400 sessions of 20 requests, stages 1, 10, 50, 100%, ratings of 5% after 30 s, 15 minutes", collect(seeds, rows, rolloutTrial))
	falseHalts(out, 50*seeds)
	wrongBlame(out, seeds)
}

func rolloutTrial(seed uint64) []float64 {
	var out []float64
	for _, b := range badVersions {
		a, n := simulate(seed, b.f, newOurs()), simulate(seed, b.f, newFixed())
		out = append(out, float64(a.hurt)/float64(max(n.hurt, 1)), float64(a.hurt), float64(n.hurt), float64(a.stopped))
	}
	turned := simulate(seed, fault{errors: 0.5, from: 200}, newOurs())
	good, fixedGood := simulate(seed, fault{}, newOurs()), simulate(seed, fault{}, newFixed())
	if good.done < 0 {
		good.done = horizon
	}
	return append(out, float64(turned.hurtPinned), float64(turned.stopped-200), float64(good.done)/float64(fixedGood.done))
}

// falseHalts counts good versions that were rolled back or held.
func falseHalts(out io.Writer, runs int) {
	halts := 0
	for seed := range runs {
		if o := simulate(uint64(seed+1000), fault{}, newOurs()); o.stopped >= 0 || o.held {
			halts++
		}
	}
	r := row{name: fmt.Sprintf("good versions halted, of %d runs", runs), values: []float64{float64(halts) / float64(runs)}, target: 0.01}
	r.write(out)
}

// wrongBlame counts good versions that were blamed for something else.
func wrongBlame(out io.Writer, runs int) {
	cases := []struct {
		name string
		f    fault
	}{
		{"a bad server", fault{servers: []int{3}, placeErrors: 0.5}},
		{"a bad failure domain", fault{servers: []int{0, 5}, placeErrors: 0.5}},
		{"a drained pool", fault{drained: true}},
	}
	for _, c := range cases {
		blamed := 0
		for seed := range runs {
			if simulate(uint64(seed+1), c.f, newOurs()).stopped >= 0 {
				blamed++
			}
		}
		r := row{name: fmt.Sprintf("good versions rolled back for %s, of %d runs", c.name, runs), values: []float64{float64(blamed) / float64(runs)}, target: 0.01}
		r.write(out)
	}
}
