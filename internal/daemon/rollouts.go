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
	// evaluateInterval is the period of reporting and evaluating evidence.
	evaluateInterval = time.Second
	// maxReportsPerSecond bounds the reports to the owner of a roll-out. Daemons of
	// a larger fleet report less often.
	maxReportsPerSecond = 50
	// slowRunFactor is the ratio of actual to expected time to the first token above
	// which a run counts as slow.
	slowRunFactor = 3
	// minSlowDelay is the shortest time to the first token that counts as slow.
	minSlowDelay = 150 * time.Millisecond
)

// rolloutController collects evidence about roll-outs. It stops using a new version
// on local evidence, and submits the next step of the roll-outs that this daemon
// owns.
type rolloutController struct {
	d             *Daemon
	mu            sync.Mutex
	localEvidence map[string]*stageEvidence
	fleetEvidence map[string]*fleetStageEvidence
	suspended     map[string]bool
	// reportedAt is when this daemon last reported its evidence.
	reportedAt time.Time
}

type stageEvidence struct {
	stage string
	cells rollout.Evidence
}

type fleetStageEvidence struct {
	stage    string
	since    time.Time
	byDaemon map[string]rollout.Evidence
	decision rollout.Decision
}

func newRolloutController(d *Daemon) *rolloutController {
	return &rolloutController{d: d, localEvidence: map[string]*stageEvidence{}, fleetEvidence: map[string]*fleetStageEvidence{}, suspended: map[string]bool{}}
}

func (r *rolloutController) register(server *peer.Server) {
	peer.Handle(server, "evidence", func(_ context.Context, _ string, report peer.EvidenceReport) (peer.Empty, error) {
		r.applyReport(report)
		return peer.Empty{}, nil
	})
}

func stageKey(ro fleet.Rollout) string { return fmt.Sprintf("%s/%d", ro.TargetVersion, ro.Stage) }

// runObservation is the result of one finished run.
type runObservation struct {
	model, version, server, domain string
	failed, timed, slow            bool
}

func (r *rolloutController) recordRun(observation runObservation) {
	counts := rollout.Counts{Requests: 1}
	if observation.failed {
		counts.Errors = 1
	}
	if observation.timed {
		counts.Timed = 1
	}
	if observation.timed && observation.slow {
		counts.Slow = 1
	}
	r.addCounts(observation.model, observation.version, observation.server, observation.domain, counts)
}

func (r *rolloutController) recordRating(model, version, server string, good bool) {
	counts := rollout.Counts{Rated: 1}
	if !good {
		counts.Bad = 1
	}
	r.addCounts(model, version, server, "", counts)
}

func (r *rolloutController) addCounts(model, version, server, domain string, counts rollout.Counts) {
	cfg := r.d.config.current()
	ro, active := cfg.RolloutFor(model)
	isNew := version == ro.TargetVersion
	if !active || !rollout.CarriesTraffic(ro) || !isNew && version != cfg.Models[model].Stable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	evidence := r.localEvidence[model]
	if evidence == nil || evidence.stage != stageKey(ro) {
		evidence = &stageEvidence{stage: stageKey(ro)}
		r.localEvidence[model] = evidence
	}
	evidence.cells = evidence.cells.Merge(rollout.Evidence{{Server: server, FailureDomain: domain, New: isNew, Counts: counts}})
	if signal, stop := rollout.DefaultStagePolicy().ShouldSuspend(evidence.cells); stop && !r.suspended[model+"@"+ro.TargetVersion] {
		r.suspended[model+"@"+ro.TargetVersion] = true
		r.d.metrics.versionsSuspended.Inc(1)
		r.d.log.Warn("stopped using a new version on local evidence", "model", model, "version", ro.TargetVersion, "signal", signal)
	}
}

// isSuspended reports whether this daemon assigns no more unpinned sessions to a version.
func (r *rolloutController) isSuspended(model, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspended[model+"@"+version]
}

func (r *rolloutController) run(ctx context.Context) {
	runPeriodically(ctx, evaluateInterval, r.evaluateAll)
}

func (r *rolloutController) evaluateAll(ctx context.Context) {
	cfg := r.d.config.current()
	r.clearSuspended(cfg)
	due := time.Since(r.reportedAt) >= time.Duration(r.d.members.aliveCount())*time.Second/maxReportsPerSecond
	if due {
		r.reportedAt = time.Now()
	}
	for model, ro := range cfg.Rollouts {
		if !rollout.CarriesTraffic(ro) {
			continue
		}
		owners := r.d.members.owners("rollout/"+model, 1)
		if len(owners) == 0 {
			continue
		}
		report := r.localReport(model, ro)
		if owners[0].ID != r.d.settings.ID {
			if due && len(report.Cells) > 0 {
				callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
				_, _ = peer.Call[peer.EvidenceReport, peer.Empty](callCtx, r.d.peers, owners[0].PeerAddress, "evidence", report)
				cancel()
			}
			continue
		}
		r.applyReport(report)
		r.evaluate(ctx, cfg, model, ro)
	}
}

// clearSuspended removes the stopped versions whose roll-out has ended.
func (r *rolloutController) clearSuspended(cfg *fleet.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for modelVersion := range r.suspended {
		active := false
		for model, ro := range cfg.Rollouts {
			active = active || modelVersion == model+"@"+ro.TargetVersion && ro.State != fleet.RolloutDone && ro.State != fleet.RolloutRolledBack
		}
		if !active {
			delete(r.suspended, modelVersion)
		}
	}
}

func (r *rolloutController) localReport(model string, ro fleet.Rollout) peer.EvidenceReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := peer.EvidenceReport{Daemon: r.d.settings.ID, Model: model, Stage: stageKey(ro)}
	if evidence := r.localEvidence[model]; evidence != nil && evidence.stage == report.Stage {
		report.Cells = slices.Clone(evidence.cells)
	}
	return report
}

// applyReport replaces the evidence of a daemon. Reports are cumulative, so repeated
// ones are harmless.
func (r *rolloutController) applyReport(report peer.EvidenceReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	evidence := r.fleetEvidence[report.Model]
	if evidence == nil || evidence.stage != report.Stage {
		evidence = &fleetStageEvidence{stage: report.Stage, since: time.Now(), byDaemon: map[string]rollout.Evidence{}}
		r.fleetEvidence[report.Model] = evidence
	}
	evidence.byDaemon[report.Daemon] = report.Cells
}

func (f *fleetStageEvidence) merged() rollout.Evidence {
	var all rollout.Evidence
	for _, evidence := range f.byDaemon {
		all = all.Merge(evidence)
	}
	return all
}

func (r *rolloutController) evaluate(ctx context.Context, cfg *fleet.Config, model string, ro fleet.Rollout) {
	r.mu.Lock()
	evidence := r.fleetEvidence[model]
	decision := rollout.DefaultStagePolicy().Evaluate(ro, evidence.merged(), time.Since(evidence.since))
	evidence.decision = decision
	r.mu.Unlock()
	if decision.Step == rollout.Wait {
		return
	}
	r.submitStep(ctx, cfg, model, ro, decision)
}

// submitStep submits a step as a patch. The patch id is derived from the stage and
// the configuration number, so that a step submitted by two owners is applied once.
// A patch on an outdated configuration is refused.
func (r *rolloutController) submitStep(ctx context.Context, cfg *fleet.Config, model string, ro fleet.Rollout, decision rollout.Decision) {
	patch, err := stepPatch(cfg, model, ro, decision.Step)
	if err != nil {
		return
	}
	id := fmt.Sprintf("rollout/%s/%s/%s@%d", model, stageKey(ro), decision.Step, cfg.Number)
	outcome, err := r.d.SubmitPatch(ctx, fleet.Record{PatchID: id, Base: cfg.Number, Author: "rollout: " + decision.Reason, Patch: patch})
	if err == nil && outcome.Accepted {
		r.d.log.Info("roll-out step", "model", model, "step", decision.Step, "reason", decision.Reason, "number", outcome.Number)
	}
}

// stepPatch encodes a step as a patch. A roll-back also withdraws the version, since
// pinned sessions would otherwise keep using it.
func stepPatch(cfg *fleet.Config, model string, ro fleet.Rollout, s rollout.Step) (json.RawMessage, error) {
	next := rollout.ApplyStep(ro, s)
	patch := map[string]map[string]any{"rollouts": {model: map[string]any{"stage": next.Stage, "state": next.State}}}
	switch {
	case s == rollout.RollBack:
		withdrawn := map[string]any{"state": fleet.Withdrawn, "successor": cfg.Models[model].Stable}
		patch["models"] = map[string]any{model: map[string]any{"versions": map[string]any{ro.TargetVersion: withdrawn}}}
	case next.State == fleet.RolloutDone:
		patch["models"] = map[string]any{model: map[string]any{"stable": ro.TargetVersion}}
	}
	return json.Marshal(patch)
}

// RolloutView is a roll-out with the evidence known to this daemon.
type RolloutView struct {
	fleet.Rollout
	Percent float64 `json:"percent"`
	// Owner is the id of the daemon that evaluates the roll-out.
	Owner          string           `json:"home"`
	Decision       string           `json:"verdict,omitempty"`
	Reason         string           `json:"reason,omitempty"`
	NewVersion     rollout.Counts   `json:"new_version"`
	RunningVersion rollout.Counts   `json:"running_version"`
	Cells          rollout.Evidence `json:"cells,omitempty"`
}

// Rollouts returns all roll-outs, sorted by model. The evidence is that of the whole
// fleet if this daemon owns the roll-out, and its own otherwise.
func (d *Daemon) Rollouts() []RolloutView {
	cfg := d.config.current()
	var out []RolloutView
	for model, ro := range cfg.Rollouts {
		view := RolloutView{Rollout: ro, Percent: ro.Percent()}
		if owners := d.members.owners("rollout/"+model, 1); len(owners) > 0 {
			view.Owner = owners[0].ID
		}
		d.rollouts.mu.Lock()
		if fleetWide := d.rollouts.fleetEvidence[model]; fleetWide != nil && view.Owner == d.settings.ID && fleetWide.stage == stageKey(ro) {
			view.Cells, view.Decision, view.Reason = fleetWide.merged(), fleetWide.decision.Step.String(), fleetWide.decision.Reason
		} else if evidence := d.rollouts.localEvidence[model]; evidence != nil && evidence.stage == stageKey(ro) {
			view.Cells = slices.Clone(evidence.cells)
		}
		d.rollouts.mu.Unlock()
		view.NewVersion, view.RunningVersion = view.Cells.Totals(nil)
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b RolloutView) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return out
}
