// Package ctl implements the commands of the rudderctl binary.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v4"

	"github.com/damaskrudder/damaskrudder/internal/cli"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// commands holds the output and the flag values of all commands.
type commands struct {
	out            io.Writer
	address        string
	key            string
	caFile         string
	json           bool
	baseNumber     int64
	author         string
	patchID        string
	allowReinstate bool
	// revertEvacuation ends an evacuation instead of starting one.
	revertEvacuation bool
	evacuationReason string
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Main(newCommand(&commands{out: stdout}), "RUDDERCTL", args, stdout, stderr)
}

func (cmds *commands) newFlags(name string, addFlags func(*flag.FlagSet)) ff.Flags {
	return cli.NewFlagSet(name, nil, func(f *flag.FlagSet) {
		f.StringVar(&cmds.address, "address", "", "addresses of daemons, comma-separated; the first that answers is used")
		f.StringVar(&cmds.key, "key", "", "operator key; better set RUDDERCTL_KEY")
		f.StringVar(&cmds.caFile, "ca", "", "authorities for https:// addresses, PEM, beside the system's own")
		f.BoolVar(&cmds.json, "json", false, "print JSON")
		if addFlags != nil {
			addFlags(f)
		}
	})
}

func (cmds *commands) addPatchFlags(f *flag.FlagSet) {
	f.Int64Var(&cmds.baseNumber, "base", -1, "configuration number the change is written against")
	f.StringVar(&cmds.author, "author", "", "name shown in the history")
	f.StringVar(&cmds.patchID, "id", "", "patch id; give the same one to repeat a patch whose reply was lost")
}

func newCommand(cmds *commands) *ff.Command {
	newSubcommand := func(name, args, short, example string, addFlags func(*flag.FlagSet), run func(context.Context, *client, []string) error) *ff.Command {
		return &ff.Command{
			Name: name, Usage: "rudderctl " + name + " " + args, ShortHelp: short,
			LongHelp: "Example:\n  " + example + "\n\nExit codes: 0 done, 1 failed, 2 wrong use, 3 stale base, 4 no daemon answers.",
			Flags:    cmds.newFlags(name, addFlags),
			Exec: func(ctx context.Context, args []string) error {
				c, err := newClient(cmds.address, cmds.key, cmds.caFile)
				if err != nil {
					return err
				}
				return run(ctx, c, args)
			},
		}
	}
	return &ff.Command{
		Name: "rudderctl", Usage: "rudderctl <command> [flags]", ShortHelp: "operate a fleet of damaskrudder daemons",
		Subcommands: []*ff.Command{
			newSubcommand("get", "[section/name]", "print the configuration in force", "rudderctl get workspaces/goldfields-desk", nil, cmds.get),
			newSubcommand("diff", "DIR", "show what apply would change", "rudderctl diff examples/goldfields", nil, cmds.diff),
			newSubcommand("apply", "-base N DIR", "make a directory of declarations the configuration", "rudderctl apply -base 12 -author ana examples/goldfields",
				func(f *flag.FlagSet) {
					cmds.addPatchFlags(f)
					f.BoolVar(&cmds.allowReinstate, "unwithdraw", false, "allow that a withdrawn version serves again")
				}, cmds.apply),
			newSubcommand("patch", "-base N JSON", "send one patch", `rudderctl patch -base 12 '{"workspaces":{"desk":{"priority":1}}}'`, cmds.addPatchFlags, cmds.patch),
			newSubcommand("history", "", "list the newest patches", "rudderctl history", nil, cmds.history),
			newSubcommand("status", "", "show daemons, numbers and draining", "rudderctl status", nil, cmds.status),
			newSubcommand("servers", "", "show the backend servers as one daemon sees them", "rudderctl servers", nil, cmds.servers),
			newSubcommand("rollout", "<show|hold|resume|withdraw> [model]", "see and steer roll-outs", "rudderctl rollout hold bib-lookup", cmds.addPatchFlags, cmds.rollout),
			newSubcommand("endpoints", "", "show which addresses callers are given", "rudderctl endpoints", nil, cmds.endpoints),
			newSubcommand("usage", "", "sum the bills that the log holds and list doubtful ones", "rudderctl usage", nil, cmds.usage),
			newSubcommand("holds", "[add|release FINGERPRINT]", "see the requests that are kept from servers that end by them, add one, release one", "rudderctl holds release 1f0c6a5be2d94477", nil, cmds.holds),
			newSubcommand("evacuate", "[-back] FAILURE-DOMAIN", "send nothing more to the servers of a failure domain, or take that back", "rudderctl evacuate -reason cooling kalgoorlie-hall",
				func(f *flag.FlagSet) {
					f.BoolVar(&cmds.revertEvacuation, "back", false, "take the order back")
					f.StringVar(&cmds.evacuationReason, "reason", "", "shown with the order")
					f.StringVar(&cmds.author, "author", "", "name shown in the history")
				}, cmds.evacuate),
			newSubcommand("evacuations", "", "list the failure domains that get nothing new", "rudderctl evacuations", nil, cmds.evacuations),
			newSubcommand("burn", "", "report how fast objectives use up their allowance", "rudderctl burn", nil, cmds.burn),
			newSubcommand("explain", "WORKSPACE MODEL [SESSION]", "say how a request would be routed now", "rudderctl explain goldfields-desk desk", nil, cmds.explain),
			cmds.traceCommand(),
		},
	}
}

func (cmds *commands) printJSON(v any) error {
	encoder := json.NewEncoder(cmds.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable prints rows of tab-separated cells under a header.
func (cmds *commands) printTable(header string, rows []string) error {
	w := tabwriter.NewWriter(cmds.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	return w.Flush()
}

func (cmds *commands) get(ctx context.Context, c *client, args []string) error {
	cfg, err := c.config(ctx)
	if err != nil {
		return err
	}
	if len(args) == 0 {
		return cmds.printJSON(cfg)
	}
	var doc map[string]json.RawMessage
	data, _ := json.Marshal(cfg)
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	section, name, hasName := strings.Cut(args[0], "/")
	value, ok := doc[section]
	if ok && hasName {
		var entities map[string]json.RawMessage
		_ = json.Unmarshal(value, &entities)
		value, ok = entities[name]
	}
	if !ok {
		return cli.UsageError(fmt.Errorf("configuration %d has no %s", cfg.Number, args[0]))
	}
	return cmds.printJSON(value)
}

func (cmds *commands) diffDeclarations(ctx context.Context, c *client, args []string) (cfg, desired *fleet.Config, p fleet.Patch, changes []fleet.Change, err error) {
	if len(args) != 1 {
		return nil, nil, p, nil, cli.UsageError(errors.New("one directory of declarations is needed"))
	}
	if desired, err = loadDeclarations(args[0]); err != nil {
		return nil, nil, p, nil, cli.UsageError(err)
	}
	if cfg, err = c.config(ctx); err != nil {
		return nil, nil, p, nil, err
	}
	p, changes, err = fleet.Diff(cfg, desired)
	return cfg, desired, p, changes, err
}

func (cmds *commands) diff(ctx context.Context, c *client, args []string) error {
	cfg, desired, _, changes, err := cmds.diffDeclarations(ctx, c, args)
	if err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(map[string]any{"base": cfg.Number, "changes": changes})
	}
	fmt.Fprintf(cmds.out, "against configuration %d: %d changes\n", cfg.Number, len(changes))
	printChanges(cmds.out, cfg, changes)
	for _, v := range fleet.ReinstatedVersions(cfg, desired) {
		fmt.Fprintf(cmds.out, "! %s is withdrawn and would serve again; apply asks for -unwithdraw\n", v)
	}
	return nil
}

func (cmds *commands) apply(ctx context.Context, c *client, args []string) error {
	cfg, desired, p, changes, err := cmds.diffDeclarations(ctx, c, args)
	if err != nil {
		return err
	}
	if reinstated := fleet.ReinstatedVersions(cfg, desired); len(reinstated) > 0 && !cmds.allowReinstate {
		return cli.UsageError(fmt.Errorf("%s would serve again after its withdrawal; mark it withdrawn in the declarations or give -unwithdraw", strings.Join(reinstated, ", ")))
	}
	if len(changes) == 0 {
		fmt.Fprintf(cmds.out, "configuration %d is as declared\n", cfg.Number)
		return nil
	}
	return cmds.submitPatch(ctx, c, p)
}

// submitPatch submits a patch with the base number of -base and prints the outcome.
func (cmds *commands) submitPatch(ctx context.Context, c *client, p any) error {
	if cmds.baseNumber < 0 {
		return cli.UsageError(errors.New("-base is needed: the configuration number the change is written against"))
	}
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if cmds.patchID == "" {
		cmds.patchID = ulid.Make().String()
	}
	start := time.Now()
	outcome, err := c.patch(ctx, fleet.Record{PatchID: cmds.patchID, Base: uint64(cmds.baseNumber), Author: cmds.author, Patch: data})
	if err != nil {
		return fmt.Errorf("patch %s: %w", cmds.patchID, err)
	}
	if cmds.json {
		return cmds.printJSON(outcome)
	}
	fmt.Fprintf(cmds.out, "accepted as configuration %d after %s: %s\n", outcome.Number, time.Since(start).Round(time.Millisecond), strings.Join(outcome.Changed, " "))
	return nil
}

func (cmds *commands) patch(ctx context.Context, c *client, args []string) error {
	if len(args) != 1 {
		return cli.UsageError(errors.New("one patch is needed"))
	}
	if !json.Valid([]byte(args[0])) {
		return cli.UsageError(fmt.Errorf("the patch is not JSON: %s", args[0]))
	}
	return cmds.submitPatch(ctx, c, json.RawMessage(args[0]))
}

func (cmds *commands) history(ctx context.Context, c *client, _ []string) error {
	var patches []fleet.PatchOutcome
	if err := c.doJSON(ctx, http.MethodGet, "/operator/v1/history", nil, &patches); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(patches)
	}
	var rows []string
	for _, outcome := range patches {
		result := "accepted"
		if !outcome.Accepted {
			result = string(outcome.Kind)
		}
		rows = append(rows, fmt.Sprintf("%d\t%d\t%s\t%s\t%s\t%s", outcome.Number, outcome.Base, result, valueOrDash(outcome.Author), outcome.PatchID, strings.Join(append(outcome.Changed, outcome.Detail), " ")))
	}
	return cmds.printTable("NUMBER\tBASE\tOUTCOME\tAUTHOR\tPATCH\tWHAT", rows)
}
