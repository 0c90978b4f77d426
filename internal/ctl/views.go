package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/cli"
	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

func (cmds *commands) status(ctx context.Context, c *client, _ []string) error {
	var status api.Status
	if err := c.doJSON(ctx, http.MethodGet, "/operator/v1/status", nil, &status); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(status)
	}
	fmt.Fprintf(cmds.out, "as %s sees it: configuration %d, ready %v\n", status.ID, status.Number, status.Ready)
	var rows []string
	for _, member := range status.Members {
		logAge := "never"
		if member.LogAgeMillis != membership.LogAgeUnknown {
			logAge = (time.Duration(member.LogAgeMillis) * time.Millisecond).String()
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%v\t%d\t%d\t%v\t%s", member.ID, member.Address, member.FailureDomain, member.State, member.Serving, member.ConfigNumber, member.InFlight, member.Leaving, logAge))
	}
	return cmds.printTable("DAEMON\tADDRESS\tFAILURE DOMAIN\tSTATE\tSERVING\tNUMBER\tIN FLIGHT\tLEAVING\tLOG AGE", rows)
}

func (cmds *commands) servers(ctx context.Context, c *client, _ []string) error {
	var servers []daemon.ServerView
	if err := c.doJSON(ctx, http.MethodGet, "/operator/v1/servers", nil, &servers); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(servers)
	}
	var rows []string
	for _, s := range servers {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%.1f\t%.3f\t%v\t%v\t%v", s.Pool, s.ID, s.FailureDomain, s.InFlight, s.OthersInFlight, s.ErrorRate, s.Leaving, s.Suspect, s.Versions))
	}
	return cmds.printTable("POOL\tSERVER\tFAILURE DOMAIN\tOWN\tOTHERS\tERRORS\tLEAVING\tSUSPECT\tVERSIONS", rows)
}

func (cmds *commands) rollout(ctx context.Context, c *client, args []string) error {
	if len(args) == 0 || args[0] == "show" {
		return cmds.showRollouts(ctx, c)
	}
	if len(args) != 2 {
		return cli.UsageError(errors.New("rollout needs show, or hold, resume or withdraw and a model"))
	}
	cfg, err := c.config(ctx)
	if err != nil {
		return err
	}
	rollout, ok := cfg.Rollouts[args[1]]
	if !ok {
		return cli.UsageError(fmt.Errorf("model %q has no roll-out", args[1]))
	}
	if cmds.baseNumber < 0 {
		cmds.baseNumber = int64(cfg.Number)
	}
	change := map[string]any{}
	switch args[0] {
	case "hold":
		change["rollouts"] = map[string]any{rollout.Model: map[string]any{"state": fleet.RolloutHeld}}
	case "resume":
		change["rollouts"] = map[string]any{rollout.Model: map[string]any{"state": fleet.RolloutRunning}}
	case "withdraw":
		withdrawn := map[string]any{"state": fleet.Withdrawn, "successor": cfg.Models[rollout.Model].Stable}
		change["rollouts"] = map[string]any{rollout.Model: map[string]any{"state": fleet.RolloutRolledBack}}
		change["models"] = map[string]any{rollout.Model: map[string]any{"versions": map[string]any{rollout.TargetVersion: withdrawn}}}
	default:
		return cli.UsageError(fmt.Errorf("rollout knows show, hold, resume and withdraw, not %q", args[0]))
	}
	return cmds.submitPatch(ctx, c, change)
}

func (cmds *commands) showRollouts(ctx context.Context, c *client) error {
	var rollouts []daemon.RolloutView
	if err := c.doJSON(ctx, http.MethodGet, "/operator/v1/rollouts", nil, &rollouts); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(rollouts)
	}
	var rows []string
	for _, r := range rollouts {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%.1f%%\t%d/%d\t%d/%d\t%s\t%s", r.Model, r.TargetVersion, r.State, r.Percent,
			r.NewVersion.Errors, r.NewVersion.Requests, r.RunningVersion.Errors, r.RunningVersion.Requests, valueOrDash(r.Owner), valueOrDash(r.Reason)))
	}
	return cmds.printTable("MODEL\tTO\tSTATE\tSHARE\tNEW ERRORS\tRUNNING ERRORS\tHOME\tREASON", rows)
}

func (cmds *commands) endpoints(ctx context.Context, c *client, _ []string) error {
	var r struct {
		Endpoints  []string `json:"endpoints"`
		TTLSeconds float64  `json:"ttl_seconds"`
	}
	if err := c.doJSON(ctx, http.MethodGet, "/v1/endpoints", nil, &r); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(r)
	}
	fmt.Fprintf(cmds.out, "for %gs: %v\n", r.TTLSeconds, r.Endpoints)
	return nil
}

func (cmds *commands) usage(ctx context.Context, c *client, _ []string) error {
	var r struct {
		Bills      int                `json:"bills"`
		Duplicates int                `json:"duplicates"`
		Doubtful   []string           `json:"doubtful"`
		Lines      []billing.LineItem `json:"lines"`
	}
	if err := c.doJSON(ctx, http.MethodGet, "/operator/v1/usage", nil, &r); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(r)
	}
	var rows []string
	for _, item := range r.Lines {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%.6f", item.Workspace, item.Model, valueOrDash(item.Version), item.Requests, item.Truncated, item.Tokens, float64(item.Micros)/1e6))
	}
	if err := cmds.printTable("WORKSPACE\tMODEL\tVERSION\tREQUESTS\tCUT\tTOKENS\tPRICE", rows); err != nil {
		return err
	}
	fmt.Fprintf(cmds.out, "%d bills, %d duplicate records folded, %d doubtful\n", r.Bills, r.Duplicates, len(r.Doubtful))
	for _, id := range r.Doubtful {
		fmt.Fprintln(cmds.out, "doubtful:", id)
	}
	return nil
}

func (cmds *commands) burn(ctx context.Context, c *client, _ []string) error {
	var r struct {
		Lines   []slo.ObjectiveBurn `json:"lines"`
		Missing []string            `json:"missing"`
	}
	if err := c.doJSON(ctx, http.MethodGet, "/operator/v1/burn", nil, &r); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(r)
	}
	var rows []string
	for _, objective := range r.Lines {
		exhaustedIn := "-"
		if objective.ExhaustedIn > 0 {
			exhaustedIn = objective.ExhaustedIn.Round(time.Minute).String()
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%.2f\t%.0f%%\t%s\t%s", objective.Workspace, objective.Objective, objective.Window, objective.Requests, objective.Bad, objective.Burn, 100*objective.Remaining, exhaustedIn, valueOrDash(objective.Worst)))
	}
	if err := cmds.printTable("WORKSPACE\tOBJECTIVE\tWINDOW\tREQUESTS\tBAD\tBURN\tLEFT\tEXHAUSTED IN\tMOST FROM", rows); err != nil {
		return err
	}
	if len(r.Missing) > 0 {
		fmt.Fprintf(cmds.out, "without the counters of %v\n", r.Missing)
	}
	return nil
}

func (cmds *commands) explain(ctx context.Context, c *client, args []string) error {
	if len(args) < 2 || len(args) > 3 {
		return cli.UsageError(errors.New("explain needs a workspace and a model, and takes a session"))
	}
	in := map[string]string{"workspace": args[0], "model": args[1]}
	if len(args) == 3 {
		in["session"] = args[2]
	}
	var explanation daemon.Explanation
	if err := c.doJSON(ctx, http.MethodPost, "/operator/v1/explain", in, &explanation); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(explanation)
	}
	fmt.Fprintf(cmds.out, "configuration %d: %s@%s (%s), pool %s, server %s\n", explanation.Number, explanation.Model, explanation.Version, explanation.VersionReason, explanation.Pool, valueOrDash(explanation.Chosen))
	var rows []string
	for _, r := range explanation.RuleResults {
		result := r.Cost.String()
		if !r.Kept {
			result = "out"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", r.Server, r.Rule, result))
	}
	return cmds.printTable("SERVER\tRULE\tWORD", rows)
}
