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
	sessions            = 400
	meanSessionRequests = 20
	// rolloutSeconds ends a roll-out trial.
	rolloutSeconds = 900
	// ratingShare and ratingDelay describe the rating service.
	ratingShare        = 0.05
	rolloutRatingDelay = 30
	// Base rates of a good version.
	baseErrorRate, baseSlowRate, baseBadRate = 0.002, 0.02, 0.05
	// stageDuration is the fixed time of a stage for the naive rule and the least
	// time of ours.
	stageDuration = time.Minute
)

var stages = []float64{1, 10, 50, 100}

// injectedFault is what is wrong with the new version, or with a place.
type injectedFault struct {
	errors, slow, badAnswers float64
	// startSecond is when the version turns bad, in seconds.
	startSecond int
	// servers fail runs of both versions at placeErrors.
	servers         []int
	serverErrorRate float64
	// allSlow makes every run of both versions slow.
	allSlow bool
}

// outcome is what one roll-out did.
type outcome struct {
	// affected counts requests harmed by the new version's fault.
	affected int
	// affectedPinned counts those of sessions that were pinned before it turned bad.
	affectedPinned int
	// rolledBackAt and done are when, in seconds; -1 is never.
	rolledBackAt, completedAt int
	held                      bool
}

// rolloutController is a rule that steers a roll-out, called once a virtual second.
type rolloutController interface {
	percent() float64
	excludes(daemon int) bool
	ratingShare(fresh bool) float64
	observe(r run)
	tick(second int) (stop, done, held bool)
}

// run is one finished request.
type run struct {
	daemon, server          int
	newVersion              bool
	failed, slow, badAnswer bool
	rated                   bool
}

type delayedRating struct {
	due int
	run run
}

// simulateRollout runs one roll-out.
func simulateRollout(seed uint64, f injectedFault, s rolloutController) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	pins := make([]int8, sessions)
	pinnedBefore := make([]bool, sessions)
	buckets := make([]float64, sessions)
	for i := range buckets {
		buckets[i] = fleet.Bucket("m", fmt.Sprint(seed, "/", i))
	}
	out := outcome{rolledBackAt: -1, completedAt: -1}
	sessionCount := sessions
	var ratings []delayedRating
	for second := range rolloutSeconds {
		if second == f.startSecond {
			for i, p := range pins {
				pinnedBefore[i] = p == 2
			}
		}
		for range requestRate {
			id := rng.IntN(sessions)
			if rng.IntN(meanSessionRequests) == 0 {
				sessionCount++
				pins[id], pinnedBefore[id], buckets[id] = 0, false, fleet.Bucket("m", fmt.Sprint(seed, "/", sessionCount))
			}
			r := run{daemon: rng.IntN(daemonCount), server: rng.IntN(engineCount)}
			r.newVersion = out.rolledBackAt < 0 && (pins[id] == 2 || pins[id] == 0 && buckets[id] < s.percent() && !s.excludes(r.daemon))
			affected := r.simulate(rng, f, second)
			if affected {
				out.affected++
				if pinnedBefore[id] {
					out.affectedPinned++
				}
			}
			if !r.failed {
				pins[id] = 1
				if r.newVersion {
					pins[id] = 2
				}
			}
			s.observe(r)
			if !r.failed && rng.Float64() < s.ratingShare(r.newVersion) {
				r.rated = true
				ratings = append(ratings, delayedRating{second + rolloutRatingDelay, r})
			}
		}
		for len(ratings) > 0 && ratings[0].due <= second {
			s.observe(ratings[0].run)
			ratings = ratings[1:]
		}
		stop, done, held := s.tick(second)
		if stop && out.rolledBackAt < 0 {
			out.rolledBackAt = second
		}
		if done && out.completedAt < 0 {
			out.completedAt = second
		}
		out.held = out.held || held
	}
	return out
}

// simulate decides how a run went and whether the new version's fault harmed it.
func (r *run) simulate(rng *rand.Rand, f injectedFault, second int) bool {
	r.failed = rng.Float64() < baseErrorRate
	r.slow = f.allSlow || rng.Float64() < baseSlowRate
	r.badAnswer = rng.Float64() < baseBadRate
	for _, s := range f.servers {
		if s == r.server && rng.Float64() < f.serverErrorRate {
			r.failed = true
		}
	}
	if !r.newVersion || second < f.startSecond {
		return false
	}
	affected := false
	for _, c := range []struct {
		rate float64
		flag *bool
	}{{f.errors, &r.failed}, {f.slow, &r.slow}, {f.badAnswers, &r.badAnswer}} {
		if c.rate > 0 && rng.Float64() < c.rate {
			*c.flag, affected = true, true
		}
	}
	return affected
}

// evidenceController steers by the project's rules: evidence by server, judged every second at
// the home, with a brake in each daemon.
type evidenceController struct {
	policy     rollout.StagePolicy
	rollout    fleet.Rollout
	stageStart int
	evidence   [daemonCount]rollout.Evidence
	braked     [daemonCount]bool
}

func newEvidenceController() *evidenceController {
	o := &evidenceController{policy: rollout.DefaultStagePolicy(), rollout: fleet.Rollout{Model: "m", TargetVersion: "v2", Stages: stages, State: fleet.RolloutRunning}}
	o.policy.MinStageDuration = stageDuration
	for d := range o.evidence {
		for s := range engineCount {
			domain := fmt.Sprint("fd", s%5)
			id := fmt.Sprintf("s%02d", s)
			o.evidence[d] = append(o.evidence[d], rollout.ServerCounts{Server: id, FailureDomain: domain}, rollout.ServerCounts{Server: id, FailureDomain: domain, New: true})
		}
	}
	return o
}

func (o *evidenceController) ratingShare(fresh bool) float64 {
	return rollout.RatingShare(ratingShare, o.rollout.Percent(), fresh)
}
func (o *evidenceController) percent() float64         { return o.rollout.Percent() }
func (o *evidenceController) excludes(daemon int) bool { return o.braked[daemon] }

func (o *evidenceController) observe(r run) {
	at := 2 * r.server
	if r.newVersion {
		at++
	}
	n := &o.evidence[r.daemon][at].Counts
	if r.rated {
		n.Rated++
		if r.badAnswer {
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

func (o *evidenceController) tick(second int) (stop, done, held bool) {
	if rollout.CarriesTraffic(o.rollout) {
		o.evaluate(second)
	}
	return o.rollout.State == fleet.RolloutRolledBack, o.rollout.Percent() == 100, o.rollout.State == fleet.RolloutHeld
}

func (o *evidenceController) evaluate(second int) {
	var all rollout.Evidence
	for d := range o.evidence {
		_, stop := o.policy.ShouldStopLocally(o.evidence[d])
		o.braked[d] = o.braked[d] || stop
		all = all.Merge(o.evidence[d])
	}
	v := o.policy.Evaluate(o.rollout, all, time.Duration(second-o.stageStart)*time.Second)
	if v.Step == rollout.Wait {
		return
	}
	o.rollout = rollout.ApplyStep(o.rollout, v.Step)
	o.stageStart = second
	if v.Step != rollout.Advance {
		return
	}
	for d := range o.evidence {
		for i := range o.evidence[d] {
			o.evidence[d][i].Counts = rollout.Counts{}
		}
	}
}

// fixedStepsController steers by the naive rule.
type fixedStepsController struct {
	rule             naive.FixedSteps
	second           int
	requests, errors int
}

func newFixedStepsController() *fixedStepsController {
	return &fixedStepsController{rule: naive.FixedSteps{Stages: stages, StageTime: stageDuration, Threshold: 0.05, Window: 30 * time.Second}}
}

func (f *fixedStepsController) percent() float64 {
	return f.rule.Percent(time.Duration(f.second) * time.Second)
}
func (f *fixedStepsController) excludes(int) bool        { return false }
func (f *fixedStepsController) ratingShare(bool) float64 { return ratingShare }
func (f *fixedStepsController) observe(r run) {
	if r.rated {
		return
	}
	f.requests++
	if r.failed {
		f.errors++
	}
}

func (f *fixedStepsController) tick(second int) (stop, done, held bool) {
	f.second = second
	at := time.Duration(second) * time.Second
	f.rule.Observe(at, f.requests, f.errors)
	f.requests, f.errors = 0, 0
	return f.rule.Percent(at) == 0, f.rule.Done(at), false
}

var badVersions = []struct {
	name string
	f    injectedFault
}{
	{"2% errors", injectedFault{errors: 0.02}},
	{"10% errors", injectedFault{errors: 0.1}},
	{"50% errors", injectedFault{errors: 0.5}},
	{"30% slow", injectedFault{slow: 0.3}},
	{"30% wrong by rating", injectedFault{badAnswers: 0.3}},
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
	writeTable(out, "roll-out: 120 requests/s, 400 sessions of 20 requests, stages 1, 10, 50, 100%, ratings of 5% after 30 s, 15 minutes", collectValues(seeds, rows, rolloutTrial))
	reportFalseHalts(out, 50*seeds)
	reportFalseRollbacks(out, seeds)
}

func rolloutTrial(seed uint64) []float64 {
	var out []float64
	for _, b := range badVersions {
		a, n := simulateRollout(seed, b.f, newEvidenceController()), simulateRollout(seed, b.f, newFixedStepsController())
		out = append(out, float64(a.affected)/float64(max(n.affected, 1)), float64(a.affected), float64(n.affected), float64(a.rolledBackAt))
	}
	delayed := simulateRollout(seed, injectedFault{errors: 0.5, startSecond: 200}, newEvidenceController())
	good, fixedGood := simulateRollout(seed, injectedFault{}, newEvidenceController()), simulateRollout(seed, injectedFault{}, newFixedStepsController())
	if good.completedAt < 0 {
		good.completedAt = rolloutSeconds
	}
	return append(out, float64(delayed.affectedPinned), float64(delayed.rolledBackAt-200), float64(good.completedAt)/float64(fixedGood.completedAt))
}

// reportFalseHalts counts good versions that were rolled back or held.
func reportFalseHalts(out io.Writer, runs int) {
	halts := 0
	for seed := range runs {
		if o := simulateRollout(uint64(seed+1000), injectedFault{}, newEvidenceController()); o.rolledBackAt >= 0 || o.held {
			halts++
		}
	}
	r := row{name: fmt.Sprintf("good versions halted, of %d runs", runs), values: []float64{float64(halts) / float64(runs)}, target: 0.01}
	r.write(out)
}

// reportFalseRollbacks counts good versions that were blamed for something else.
func reportFalseRollbacks(out io.Writer, runs int) {
	cases := []struct {
		name string
		f    injectedFault
	}{
		{"a bad server", injectedFault{servers: []int{3}, serverErrorRate: 0.5}},
		{"a bad failure domain", injectedFault{servers: []int{0, 5}, serverErrorRate: 0.5}},
		{"a drained pool", injectedFault{allSlow: true}},
	}
	for _, c := range cases {
		rolledBack := 0
		for seed := range runs {
			if simulateRollout(uint64(seed+1), c.f, newEvidenceController()).rolledBackAt >= 0 {
				rolledBack++
			}
		}
		r := row{name: fmt.Sprintf("good versions rolled back for %s, of %d runs", c.name, runs), values: []float64{float64(rolledBack) / float64(runs)}, target: 0.01}
		r.write(out)
	}
}
