package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

const (
	// judgeEvery is the period of reporting evidence and judging it.
	judgeEvery = time.Second
	// reportsPerSecond bounds the reports that a roll-out's home gets; daemons of
	// a large fleet report less often, and brake by themselves meanwhile.
	reportsPerSecond = 50
	// slowRun is the speed, against what the picture expected, from which a run
	// counts as slow.
	slowRun = 3
	// slowFloor is the least delay that counts as slow, below it timing is noise.
	slowFloor = 150 * time.Millisecond
)

// rollouts gathers evidence, brakes locally and, at the home of a model's
// roll-out, proposes the next step.
type rollouts struct {
	d      *Daemon
	mu     sync.Mutex
	own    map[string]*stageEvidence
	fleet  map[string]*fleetEvidence
	braked map[string]bool
	// reported is when this daemon last sent its evidence.
	reported time.Time
}

type stageEvidence struct {
	stage string
	cells rollout.Evidence
}

type fleetEvidence struct {
	stage    string
	since    time.Time
	byDaemon map[string]rollout.Evidence
	verdict  rollout.Decision
}

func newRollouts(d *Daemon) *rollouts {
	return &rollouts{d: d, own: map[string]*stageEvidence{}, fleet: map[string]*fleetEvidence{}, braked: map[string]bool{}}
}

func (r *rollouts) register(s *peer.Server) {
	peer.Handle(s, "evidence", func(_ context.Context, _ string, q peer.EvidenceReport) (peer.Empty, error) {
		r.take(q)
		return peer.Empty{}, nil
	})
}

func stageOf(ro fleet.Rollout) string { return fmt.Sprintf("%s/%d", ro.TargetVersion, ro.Stage) }

// observation is what one finished run says about its version.
type observation struct {
	model, version, server, domain string
	failed, timed, slow            bool
}

func (r *rollouts) observe(o observation) {
	n := rollout.Counts{Requests: 1}
	if o.failed {
		n.Errors = 1
	}
	if o.timed {
		n.Timed = 1
	}
	if o.timed && o.slow {
		n.Slow = 1
	}
	r.count(o.model, o.version, o.server, o.domain, n)
}

func (r *rollouts) rated(model, version, server string, good bool) {
	n := rollout.Counts{Rated: 1}
	if !good {
		n.Bad = 1
	}
	r.count(model, version, server, "", n)
}

func (r *rollouts) count(model, version, server, domain string, n rollout.Counts) {
	c := r.d.config.current()
	ro, active := c.RolloutFor(model)
	isNew := version == ro.TargetVersion
	if !active || !rollout.CarriesTraffic(ro) || !isNew && version != c.Models[model].Stable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.own[model]
	if st == nil || st.stage != stageOf(ro) {
		st = &stageEvidence{stage: stageOf(ro)}
		r.own[model] = st
	}
	st.cells = st.cells.Merge(rollout.Evidence{{Server: server, FailureDomain: domain, New: isNew, Counts: n}})
	if signal, stop := rollout.DefaultStagePolicy().ShouldStopLocally(st.cells); stop && !r.braked[model+"@"+ro.TargetVersion] {
		r.braked[model+"@"+ro.TargetVersion] = true
		r.d.metrics.braked.Inc(1)
		r.d.log.Warn("stopped using a new version on own evidence", "model", model, "version", ro.TargetVersion, "signal", signal)
	}
}

// avoided reports whether unpinned sessions keep off a version here.
func (r *rollouts) avoided(model, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.braked[model+"@"+version]
}

func (r *rollouts) loop(ctx context.Context) { every(ctx, judgeEvery, r.round) }

func (r *rollouts) round(ctx context.Context) {
	c := r.d.config.current()
	r.releaseBrakes(c)
	due := time.Since(r.reported) >= time.Duration(r.d.members.size())*time.Second/reportsPerSecond
	if due {
		r.reported = time.Now()
	}
	for model, ro := range c.Rollouts {
		if !rollout.CarriesTraffic(ro) {
			continue
		}
		homes := r.d.members.homes("rollout/"+model, 1)
		if len(homes) == 0 {
			continue
		}
		report := r.report(model, ro)
		if homes[0].ID != r.d.settings.ID {
			if due && len(report.Cells) > 0 {
				callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
				_, _ = peer.Call[peer.EvidenceReport, peer.Empty](callCtx, r.d.links, homes[0].PeerAddress, "evidence", report)
				cancel()
			}
			continue
		}
		r.take(report)
		r.judge(ctx, c, model, ro)
	}
}

// releaseBrakes lifts the brake on versions that no roll-out moves any more.
func (r *rollouts) releaseBrakes(c *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for mv := range r.braked {
		running := false
		for model, ro := range c.Rollouts {
			running = running || mv == model+"@"+ro.TargetVersion && ro.State != fleet.RolloutDone && ro.State != fleet.RolloutRolledBack
		}
		if !running {
			delete(r.braked, mv)
		}
	}
}

func (r *rollouts) report(model string, ro fleet.Rollout) peer.EvidenceReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := peer.EvidenceReport{Daemon: r.d.settings.ID, Model: model, Stage: stageOf(ro)}
	if st := r.own[model]; st != nil && st.stage == out.Stage {
		out.Cells = slices.Clone(st.cells)
	}
	return out
}

// take replaces a daemon's cumulative evidence; a late or repeated report does
// no harm.
func (r *rollouts) take(q peer.EvidenceReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fleet[q.Model]
	if f == nil || f.stage != q.Stage {
		f = &fleetEvidence{stage: q.Stage, since: time.Now(), byDaemon: map[string]rollout.Evidence{}}
		r.fleet[q.Model] = f
	}
	f.byDaemon[q.Daemon] = q.Cells
}

func (f *fleetEvidence) merged() rollout.Evidence {
	var all rollout.Evidence
	for _, e := range f.byDaemon {
		all = all.Merge(e)
	}
	return all
}

func (r *rollouts) judge(ctx context.Context, c *fleet.Config, model string, ro fleet.Rollout) {
	r.mu.Lock()
	f := r.fleet[model]
	v := rollout.DefaultStagePolicy().Evaluate(ro, f.merged(), time.Since(f.since))
	f.verdict = v
	r.mu.Unlock()
	if v.Step == rollout.Wait {
		return
	}
	r.propose(ctx, c, model, ro, v)
}

// propose appends the step as an ordinary patch. Its id follows from the state
// it was decided on, so that a step decided twice, by an old and a new home, is
// one patch; a stale base makes it void.
func (r *rollouts) propose(ctx context.Context, c *fleet.Config, model string, ro fleet.Rollout, v rollout.Decision) {
	patch, err := stepPatch(c, model, ro, v.Step)
	if err != nil {
		return
	}
	id := fmt.Sprintf("rollout/%s/%s/%s@%d", model, stageOf(ro), v.Step, c.Number)
	out, err := r.d.SubmitPatch(ctx, fleet.Record{PatchID: id, Base: c.Number, Author: "rollout: " + v.Reason, Patch: patch})
	if err == nil && out.Accepted {
		r.d.log.Info("roll-out step", "model", model, "step", v.Step, "reason", v.Reason, "number", out.Number)
	}
}

// stepPatch writes a step as a patch. A roll-back withdraws the version too:
// sessions pinned to it would otherwise stay on it.
func stepPatch(c *fleet.Config, model string, ro fleet.Rollout, s rollout.Step) (json.RawMessage, error) {
	next := rollout.ApplyStep(ro, s)
	p := map[string]map[string]any{"rollouts": {model: map[string]any{"stage": next.Stage, "state": next.State}}}
	switch {
	case s == rollout.RollBack:
		gone := map[string]any{"state": fleet.Withdrawn, "successor": c.Models[model].Stable}
		p["models"] = map[string]any{model: map[string]any{"versions": map[string]any{ro.TargetVersion: gone}}}
	case next.State == fleet.RolloutDone:
		p["models"] = map[string]any{model: map[string]any{"stable": ro.TargetVersion}}
	}
	return json.Marshal(p)
}

// RolloutView is a roll-out with the evidence this daemon has.
type RolloutView struct {
	fleet.Rollout
	Percent float64 `json:"percent"`
	// Owner is the daemon that judges.
	Owner          string           `json:"home"`
	Verdict        string           `json:"verdict,omitempty"`
	Reason         string           `json:"reason,omitempty"`
	NewVersion     rollout.Counts   `json:"new_version"`
	RunningVersion rollout.Counts   `json:"running_version"`
	Cells          rollout.Evidence `json:"cells,omitempty"`
}

// Rollouts returns every roll-out with its evidence: the fleet's at the home,
// the daemon's own elsewhere.
func (d *Daemon) Rollouts() []RolloutView {
	c := d.config.current()
	var out []RolloutView
	for model, ro := range c.Rollouts {
		v := RolloutView{Rollout: ro, Percent: ro.Percent()}
		if h := d.members.homes("rollout/"+model, 1); len(h) > 0 {
			v.Owner = h[0].ID
		}
		d.rollouts.mu.Lock()
		if f := d.rollouts.fleet[model]; f != nil && v.Owner == d.settings.ID && f.stage == stageOf(ro) {
			v.Cells, v.Verdict, v.Reason = f.merged(), f.verdict.Step.String(), f.verdict.Reason
		} else if st := d.rollouts.own[model]; st != nil && st.stage == stageOf(ro) {
			v.Cells = slices.Clone(st.cells)
		}
		d.rollouts.mu.Unlock()
		v.NewVersion, v.RunningVersion = v.Cells.Totals(nil)
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b RolloutView) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}
