package daemon

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// Explanation describes how a request would be routed with the current
// configuration and load.
type Explanation struct {
	Number        uint64               `json:"number"`
	Model         string               `json:"model"`
	Version       string               `json:"version"`
	VersionReason string               `json:"why"`
	Pool          string               `json:"pool"`
	Chosen        string               `json:"chosen,omitempty"`
	RuleResults   []routing.RuleResult `json:"reasons"`
}

// Explain routes a request without sending it and returns the result of each
// routing rule. Errors are of type *fault.Error.
func (d *Daemon) Explain(workspace, name, sessionHeader, prompt string) (*Explanation, error) {
	cfg := d.config.current()
	w, ok := cfg.Workspaces[workspace]
	if !ok {
		return nil, fault.NewField(fault.NotFound, "workspace", "no workspace %q", workspace)
	}
	models, err := resolveModels(cfg, w, name)
	if err != nil {
		return nil, err
	}
	pin, err := d.resolvePin(workspace, sessionHeader)
	if err != nil {
		return nil, err
	}
	model, version, err := d.chooseVersion(cfg, w, models[0], pin)
	if err != nil {
		return nil, err
	}
	v, _ := cfg.Version(model, version)
	explanation := &Explanation{Number: cfg.Number, Model: model, Version: version, Pool: v.Pool, VersionReason: "the stable version"}
	switch ro, active := cfg.RolloutFor(model); {
	case pin.VersionOf(model) != "":
		explanation.VersionReason = "the session is pinned"
	case active && version == ro.TargetVersion:
		explanation.VersionReason = "the roll-out's share"
	}
	req := routing.Request{PromptTokens: len(prompt) / bytesPerToken, BlockTokens: routing.BlockTokens, Blocks: routing.Blocks(nil, model+"@"+version, prompt)}
	d.balancer.mu.Lock()
	defer d.balancer.mu.Unlock()
	d.balancer.syncConfig(cfg)
	p := d.balancer.pools[v.Pool]
	if p == nil {
		return explanation, nil
	}
	candidates := p.load.Snapshot(nil, time.Now())
	p.load.Prefix.Lookup(&req)
	explanation.RuleResults = routing.DefaultPipeline().Explain(&req, candidates)
	if decision := routing.DefaultPipeline().Pick(&req, candidates, d.balancer.rng); decision.Index >= 0 {
		explanation.Chosen = candidates[decision.Index].ID
	}
	return explanation, nil
}
