package daemon

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// Explanation says how a request would be routed at this moment.
type Explanation struct {
	Number        uint64               `json:"number"`
	Model         string               `json:"model"`
	Version       string               `json:"version"`
	VersionReason string               `json:"why"`
	Pool          string               `json:"pool"`
	Chosen        string               `json:"chosen,omitempty"`
	RuleResults   []routing.RuleResult `json:"reasons"`
}

// Explain routes a request without sending it and returns each rule's word.
func (d *Daemon) Explain(workspace, name, sessionHeader, prompt string) (*Explanation, error) {
	c := d.config.current()
	w, ok := c.Workspaces[workspace]
	if !ok {
		return nil, fault.NewField(fault.NotFound, "workspace", "no workspace %q", workspace)
	}
	models, err := entitled(c, w, name)
	if err != nil {
		return nil, err
	}
	pin, err := d.pin(workspace, sessionHeader)
	if err != nil {
		return nil, err
	}
	model, version, err := d.version(c, w, models[0], pin)
	if err != nil {
		return nil, err
	}
	v, _ := c.Version(model, version)
	e := &Explanation{Number: c.Number, Model: model, Version: version, Pool: v.Pool, VersionReason: "the stable version"}
	switch ro, moving := c.RolloutFor(model); {
	case pin.VersionOf(model) != "":
		e.VersionReason = "the session is pinned"
	case moving && version == ro.TargetVersion:
		e.VersionReason = "the roll-out's share"
	}
	r := routing.Request{PromptTokens: len(prompt) / bytesPerToken, BlockTokens: routing.BlockTokens, Blocks: routing.Blocks(nil, model+"@"+version, prompt)}
	d.pools.mu.Lock()
	defer d.pools.mu.Unlock()
	d.pools.sync(c)
	st := d.pools.byName[v.Pool]
	if st == nil {
		return e, nil
	}
	candidates := st.picture.Snapshot(nil, time.Now())
	st.picture.Prefix.Lookup(&r)
	e.RuleResults = routing.DefaultPipeline().Explain(&r, candidates)
	if dec := routing.DefaultPipeline().Pick(&r, candidates, d.pools.rng); dec.Index >= 0 {
		e.Chosen = candidates[dec.Index].ID
	}
	return e, nil
}
