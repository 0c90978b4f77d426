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
	// evaluateInterval is the period of reporting evidence and judging it.
	evaluateInterval = time.Second
	// maxReportsPerSecond bounds the reports that a roll-out's home gets; daemons of
	// a large fleet report less often, and brake by themselves meanwhile.
	maxReportsPerSecond = 50
	// slowRunFactor is the speed, against what the picture expected, from which a run
	// counts as slow.
	slowRunFactor = 3
	// minSlowDelay is the least delay that counts as slow, below it timing is noise.
	minSlowDelay = 150 * time.Millisecond
)

// rolloutController gathers evidence, brakes locally and, at the home of a model's
// roll-out, proposes the next step.
type rolloutController struct {
	d             *Daemon
	mu            sync.Mutex
	localEvidence map[string]*stageEvidence
	fleetEvidence map[string]*mergedEvidence
	stopped       map[string]bool
	// reportedAt is when this daemon last sent its evidence.
	reportedAt time.Time
}

type stageEvidence struct {
	stage string
	cells rollout.Evidence
}

type mergedEvidence struct {
	stage    string
	since    time.Time
	byDaemon map[string]rollout.Evidence
	decision rollout.Decision
}

func newRolloutController(d *Daemon) *rolloutController {
	return &rolloutController{d: d, localEvidence: map[string]*stageEvidence{}, fleetEvidence: map[string]*mergedEvidence{}, stopped: map[string]bool{}}
}

func (r *rolloutController) register(s *peer.Server) {
	peer.Handle(s, "evidence", func(_ context.Context, _ string, q peer.EvidenceReport) (peer.Empty, error) {
		r.applyReport(q)
		return peer.Empty{}, nil
	})
}

func stageKey(ro fleet.Rollout) string { return fmt.Sprintf("%s/%d", ro.TargetVersion, ro.Stage) }

// runObservation is what one finished run says about its version.
type runObservation struct {
	model, version, server, domain string
	failed, timed, slow            bool
}

func (r *rolloutController) recordRun(o runObservation) {
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
	r.addCounts(o.model, o.version, o.server, o.domain, n)
}

func (r *rolloutController) recordRating(model, version, server string, good bool) {
	n := rollout.Counts{Rated: 1}
	if !good {
		n.Bad = 1
	}
	r.addCounts(model, version, server, "", n)
}

func (r *rolloutController) addCounts(model, version, server, domain string, n rollout.Counts) {
	c := r.d.config.current()
	ro, active := c.RolloutFor(model)
	isNew := version == ro.TargetVersion
	if !active || !rollout.CarriesTraffic(ro) || !isNew && version != c.Models[model].Stable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.localEvidence[model]
	if st == nil || st.stage != stageKey(ro) {
		st = &stageEvidence{stage: stageKey(ro)}
		r.localEvidence[model] = st
	}
	st.cells = st.cells.Merge(rollout.Evidence{{Server: server, FailureDomain: domain, New: isNew, Counts: n}})
	if signal, stop := rollout.DefaultStagePolicy().ShouldStopLocally(st.cells); stop && !r.stopped[model+"@"+ro.TargetVersion] {
		r.stopped[model+"@"+ro.TargetVersion] = true
		r.d.metrics.rolloutBraked.Inc(1)
		r.d.log.Warn("stopped using a new version on own evidence", "model", model, "version", ro.TargetVersion, "signal", signal)
	}
}

// isStopped reports whether unpinned sessions keep off a version here.
func (r *rolloutController) isStopped(model, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped[model+"@"+version]
}

func (r *rolloutController) run(ctx context.Context) {
	runPeriodically(ctx, evaluateInterval, r.evaluateAll)
}

func (r *rolloutController) evaluateAll(ctx context.Context) {
	c := r.d.config.current()
	r.clearStopped(c)
	due := time.Since(r.reportedAt) >= time.Duration(r.d.members.aliveCount())*time.Second/maxReportsPerSecond
	if due {
		r.reportedAt = time.Now()
	}
	for model, ro := range c.Rollouts {
		if !rollout.CarriesTraffic(ro) {
			continue
		}
		homes := r.d.members.owners("rollout/"+model, 1)
		if len(homes) == 0 {
			continue
		}
		report := r.localReport(model, ro)
		if homes[0].ID != r.d.settings.ID {
			if due && len(report.Cells) > 0 {
				callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
				_, _ = peer.Call[peer.EvidenceReport, peer.Empty](callCtx, r.d.peers, homes[0].PeerAddress, "evidence", report)
				cancel()
			}
			continue
		}
		r.applyReport(report)
		r.evaluate(ctx, c, model, ro)
	}
}

// clearStopped lifts the brake on versions that no roll-out moves any more.
func (r *rolloutController) clearStopped(c *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for mv := range r.stopped {
		running := false
		for model, ro := range c.Rollouts {
			running = running || mv == model+"@"+ro.TargetVersion && ro.State != fleet.RolloutDone && ro.State != fleet.RolloutRolledBack
		}
		if !running {
			delete(r.stopped, mv)
		}
	}
}

func (r *rolloutController) localReport(model string, ro fleet.Rollout) peer.EvidenceReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := peer.EvidenceReport{Daemon: r.d.settings.ID, Model: model, Stage: stageKey(ro)}
	if st := r.localEvidence[model]; st != nil && st.stage == out.Stage {
		out.Cells = slices.Clone(st.cells)
	}
	return out
}

// applyReport replaces a daemon's cumulative evidence; a late or repeated report does
// no harm.
func (r *rolloutController) applyReport(q peer.EvidenceReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fleetEvidence[q.Model]
	if f == nil || f.stage != q.Stage {
		f = &mergedEvidence{stage: q.Stage, since: time.Now(), byDaemon: map[string]rollout.Evidence{}}
		r.fleetEvidence[q.Model] = f
	}
	f.byDaemon[q.Daemon] = q.Cells
}

func (f *mergedEvidence) merged() rollout.Evidence {
	var all rollout.Evidence
	for _, e := range f.byDaemon {
		all = all.Merge(e)
	}
	return all
}

func (r *rolloutController) evaluate(ctx context.Context, c *fleet.Config, model string, ro fleet.Rollout) {
	r.mu.Lock()
	f := r.fleetEvidence[model]
	v := rollout.DefaultStagePolicy().Evaluate(ro, f.merged(), time.Since(f.since))
	f.decision = v
	r.mu.Unlock()
	if v.Step == rollout.Wait {
		return
	}
	r.submitStep(ctx, c, model, ro, v)
}

// submitStep appends the step as an ordinary patch. Its id follows from the state
// it was decided on, so that a step decided twice, by an old and a new home, is
// one patch; a stale base makes it void.
func (r *rolloutController) submitStep(ctx context.Context, c *fleet.Config, model string, ro fleet.Rollout, v rollout.Decision) {
	patch, err := stepPatch(c, model, ro, v.Step)
	if err != nil {
		return
	}
	id := fmt.Sprintf("rollout/%s/%s/%s@%d", model, stageKey(ro), v.Step, c.Number)
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
	Decision       string           `json:"verdict,omitempty"`
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
		if h := d.members.owners("rollout/"+model, 1); len(h) > 0 {
			v.Owner = h[0].ID
		}
		d.rollouts.mu.Lock()
		if f := d.rollouts.fleetEvidence[model]; f != nil && v.Owner == d.settings.ID && f.stage == stageKey(ro) {
			v.Cells, v.Decision, v.Reason = f.merged(), f.decision.Step.String(), f.decision.Reason
		} else if st := d.rollouts.localEvidence[model]; st != nil && st.stage == stageKey(ro) {
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
