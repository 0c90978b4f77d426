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
	// requestRate is the number of requests per second to all daemons.
	requestRate = 120
	// sessions is the number of concurrent sessions. Each is pinned to the version of
	// its first answer and lasts meanSessionRequests on average.
	sessions            = 400
	meanSessionRequests = 20
	// rolloutSeconds is the duration of a trial in virtual time.
	rolloutSeconds = 900
	// ratingShare is the fraction of rated answers; a rating takes ratingDelay seconds.
	ratingShare = 0.05
	ratingDelay = 30
	// Error, slow and bad answer rates of a good version.
	baseErrorRate, baseSlowRate, baseBadRate = 0.002, 0.02, 0.05
	// stageDuration is the duration of a stage of the fixed steps and the minimum
	// duration of a stage of the evidence controller.
	stageDuration = time.Minute
)

var stages = []float64{1, 10, 50, 100}

// injectedFault is a fault of the new version or of the servers. Its rates are
// probabilities per request.
type injectedFault struct {
	errors, slow, badAnswers float64
	// startSecond is the second from which the new version is faulty.
	startSecond int
	// servers fail requests to both versions at serverErrorRate.
	servers         []int
	serverErrorRate float64
	// allSlow makes all requests to both versions slow.
	allSlow bool
}

// outcome is the result of one roll-out.
type outcome struct {
	// affected counts the requests affected by the new version's fault.
	affected int
	// affectedPinned counts the affected requests of sessions that were pinned before
	// the fault started.
	affectedPinned int
	// rolledBackAt and completedAt are in seconds, or -1 if the event did not happen.
	rolledBackAt, completedAt int
	held                      bool
}

// rolloutController controls a roll-out.
type rolloutController interface {
	percent() float64
	// excludes reports whether a daemon sends no new sessions to the new version.
	excludes(daemon int) bool
	ratingShare(newVersion bool) float64
	// observe records a request, or its rating if r.rated is set.
	observe(r run)
	// evaluateSecond is called at the end of each second of virtual time.
	evaluateSecond(second int) (rolledBack, completed, held bool)
}

// run is one finished request.
type run struct {
	daemon, server          int
	newVersion              bool
	failed, slow, badAnswer bool
	rated                   bool
}

// delayedRating is a rating that arrives at second due.
type delayedRating struct {
	due int
	run run
}

// simulateRollout runs one roll-out.
func simulateRollout(seed uint64, fault injectedFault, controller rolloutController) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	// A session is not pinned (0), pinned to the old version (1) or to the new one (2).
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
		if second == fault.startSecond {
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
			r.newVersion = out.rolledBackAt < 0 && (pins[id] == 2 || pins[id] == 0 && buckets[id] < controller.percent() && !controller.excludes(r.daemon))
			affected := r.simulate(rng, fault, second)
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
			controller.observe(r)
			if !r.failed && rng.Float64() < controller.ratingShare(r.newVersion) {
				r.rated = true
				ratings = append(ratings, delayedRating{second + ratingDelay, r})
			}
		}
		for len(ratings) > 0 && ratings[0].due <= second {
			controller.observe(ratings[0].run)
			ratings = ratings[1:]
		}
		rolledBack, completed, held := controller.evaluateSecond(second)
		if rolledBack && out.rolledBackAt < 0 {
			out.rolledBackAt = second
		}
		if completed && out.completedAt < 0 {
			out.completedAt = second
		}
		out.held = out.held || held
	}
	return out
}

// simulate sets the result of a request and reports whether it was affected by the new
// version's fault.
func (r *run) simulate(rng *rand.Rand, fault injectedFault, second int) bool {
	r.failed = rng.Float64() < baseErrorRate
	r.slow = fault.allSlow || rng.Float64() < baseSlowRate
	r.badAnswer = rng.Float64() < baseBadRate
	for _, s := range fault.servers {
		if s == r.server && rng.Float64() < fault.serverErrorRate {
			r.failed = true
		}
	}
	if !r.newVersion || second < fault.startSecond {
		return false
	}
	affected := false
	for _, c := range []struct {
		rate float64
		flag *bool
	}{{fault.errors, &r.failed}, {fault.slow, &r.slow}, {fault.badAnswers, &r.badAnswer}} {
		if c.rate > 0 && rng.Float64() < c.rate {
			*c.flag, affected = true, true
		}
	}
	return affected
}

// evidenceController evaluates the merged evidence of all daemons every second. Each
// daemon also excludes the new version based on its own evidence.
type evidenceController struct {
	policy     rollout.StagePolicy
	rollout    fleet.Rollout
	stageStart int
	evidence   [daemonCount]rollout.Evidence
	suspended  [daemonCount]bool
}

func newEvidenceController() *evidenceController {
	c := &evidenceController{policy: rollout.DefaultStagePolicy(), rollout: fleet.Rollout{Model: "m", TargetVersion: "v2", Stages: stages, State: fleet.RolloutRunning}}
	c.policy.MinStageDuration = stageDuration
	for d := range c.evidence {
		for s := range engineCount {
			domain := fmt.Sprint("fd", s%5)
			id := fmt.Sprintf("s%02d", s)
			c.evidence[d] = append(c.evidence[d], rollout.ServerCounts{Server: id, FailureDomain: domain}, rollout.ServerCounts{Server: id, FailureDomain: domain, New: true})
		}
	}
	return c
}

func (c *evidenceController) ratingShare(newVersion bool) float64 {
	return rollout.RatingShare(ratingShare, c.rollout.Percent(), newVersion)
}
func (c *evidenceController) percent() float64         { return c.rollout.Percent() }
func (c *evidenceController) excludes(daemon int) bool { return c.suspended[daemon] }

func (c *evidenceController) observe(r run) {
	index := 2 * r.server
	if r.newVersion {
		index++
	}
	counts := &c.evidence[r.daemon][index].Counts
	if r.rated {
		counts.Rated++
		if r.badAnswer {
			counts.Bad++
		}
		return
	}
	counts.Requests++
	if r.failed {
		counts.Errors++
		return
	}
	counts.Timed++
	if r.slow {
		counts.Slow++
	}
}

func (c *evidenceController) evaluateSecond(second int) (rolledBack, completed, held bool) {
	if rollout.CarriesTraffic(c.rollout) {
		c.evaluate(second)
	}
	return c.rollout.State == fleet.RolloutRolledBack, c.rollout.Percent() == 100, c.rollout.State == fleet.RolloutHeld
}

func (c *evidenceController) evaluate(second int) {
	var merged rollout.Evidence
	for d := range c.evidence {
		_, stop := c.policy.ShouldSuspend(c.evidence[d])
		c.suspended[d] = c.suspended[d] || stop
		merged = merged.Merge(c.evidence[d])
	}
	verdict := c.policy.Evaluate(c.rollout, merged, time.Duration(second-c.stageStart)*time.Second)
	if verdict.Step == rollout.Wait {
		return
	}
	c.rollout = rollout.ApplyStep(c.rollout, verdict.Step)
	c.stageStart = second
	if verdict.Step != rollout.Advance {
		return
	}
	for d := range c.evidence {
		for i := range c.evidence[d] {
			c.evidence[d][i].Counts = rollout.Counts{}
		}
	}
}

// fixedStepsController advances after a fixed time unless the error rate exceeds a
// threshold.
type fixedStepsController struct {
	rule             naive.FixedStages
	lastSecond       int
	requests, errors int
}

func newFixedStepsController() *fixedStepsController {
	return &fixedStepsController{rule: naive.FixedStages{Stages: stages, StageDuration: stageDuration, MaxErrorRate: 0.05, Window: 30 * time.Second}}
}

func (c *fixedStepsController) percent() float64 {
	return c.rule.TrafficPercent(time.Duration(c.lastSecond) * time.Second)
}
func (c *fixedStepsController) excludes(int) bool        { return false }
func (c *fixedStepsController) ratingShare(bool) float64 { return ratingShare }
func (c *fixedStepsController) observe(r run) {
	if r.rated {
		return
	}
	c.requests++
	if r.failed {
		c.errors++
	}
}

func (c *fixedStepsController) evaluateSecond(second int) (rolledBack, completed, held bool) {
	c.lastSecond = second
	elapsed := time.Duration(second) * time.Second
	c.rule.Observe(elapsed, c.requests, c.errors)
	c.requests, c.errors = 0, 0
	return c.rule.TrafficPercent(elapsed) == 0, c.rule.Done(elapsed), false
}

var badVersions = []struct {
	name  string
	fault injectedFault
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
		evidence, fixed := simulateRollout(seed, b.fault, newEvidenceController()), simulateRollout(seed, b.fault, newFixedStepsController())
		out = append(out, float64(evidence.affected)/float64(max(fixed.affected, 1)), float64(evidence.affected), float64(fixed.affected), float64(evidence.rolledBackAt))
	}
	delayed := simulateRollout(seed, injectedFault{errors: 0.5, startSecond: 200}, newEvidenceController())
	good, fixedGood := simulateRollout(seed, injectedFault{}, newEvidenceController()), simulateRollout(seed, injectedFault{}, newFixedStepsController())
	if good.completedAt < 0 {
		good.completedAt = rolloutSeconds
	}
	return append(out, float64(delayed.affectedPinned), float64(delayed.rolledBackAt-200), float64(good.completedAt)/float64(fixedGood.completedAt))
}

// reportFalseHalts writes the fraction of good versions that were rolled back or held.
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

// reportFalseRollbacks writes the fraction of good versions that were rolled back
// because of faulty servers.
func reportFalseRollbacks(out io.Writer, runs int) {
	cases := []struct {
		name  string
		fault injectedFault
	}{
		{"a bad server", injectedFault{servers: []int{3}, serverErrorRate: 0.5}},
		{"a bad failure domain", injectedFault{servers: []int{0, 5}, serverErrorRate: 0.5}},
		{"a drained pool", injectedFault{allSlow: true}},
	}
	for _, c := range cases {
		rolledBack := 0
		for seed := range runs {
			if simulateRollout(uint64(seed+1), c.fault, newEvidenceController()).rolledBackAt >= 0 {
				rolledBack++
			}
		}
		r := row{name: fmt.Sprintf("good versions rolled back for %s, of %d runs", c.name, runs), values: []float64{float64(rolledBack) / float64(runs)}, target: 0.01}
		r.write(out)
	}
}
