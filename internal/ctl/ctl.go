// Package ctl holds the commands of the rudderctl binary, which operators use.
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

// tool is what all commands share.
type tool struct {
	out     io.Writer
	address string
	key     string
	ca      string
	json    bool
	base    int64
	author  string
	id      string
	again   bool
	// back takes an evacuation back, and reason is shown with one.
	back   bool
	reason string
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errw io.Writer) int {
	return cli.Main(command(&tool{out: out}), "RUDDERCTL", args, out, errw)
}

func (t *tool) flags(name string, more func(*flag.FlagSet)) ff.Flags {
	return cli.Flags(name, nil, func(f *flag.FlagSet) {
		f.StringVar(&t.address, "address", "", "addresses of daemons, comma-separated; the first that answers is used")
		f.StringVar(&t.key, "key", "", "operator key; better set RUDDERCTL_KEY")
		f.StringVar(&t.ca, "ca", "", "authorities for https:// addresses, PEM, beside the system's own")
		f.BoolVar(&t.json, "json", false, "print JSON")
		if more != nil {
			more(f)
		}
	})
}

func (t *tool) patchFlags(f *flag.FlagSet) {
	f.Int64Var(&t.base, "base", -1, "configuration number the change is written against")
	f.StringVar(&t.author, "author", "", "name shown in the history")
	f.StringVar(&t.id, "id", "", "patch id; give the same one to repeat a patch whose reply was lost")
}

func command(t *tool) *ff.Command {
	sub := func(name, args, short, example string, more func(*flag.FlagSet), run func(context.Context, *client, []string) error) *ff.Command {
		return &ff.Command{
			Name: name, Usage: "rudderctl " + name + " " + args, ShortHelp: short,
			LongHelp: "Example:\n  " + example + "\n\nExit codes: 0 done, 1 failed, 2 wrong use, 3 stale base, 4 no daemon answers.",
			Flags:    t.flags(name, more),
			Exec: func(ctx context.Context, args []string) error {
				c, err := newClient(t.address, t.key, t.ca)
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
			sub("get", "[section/name]", "print the configuration in force", "rudderctl get workspaces/goldfields-desk", nil, t.get),
			sub("diff", "DIR", "show what apply would change", "rudderctl diff examples/goldfields", nil, t.diff),
			sub("apply", "-base N DIR", "make a directory of declarations the configuration", "rudderctl apply -base 12 -author ana examples/goldfields",
				func(f *flag.FlagSet) {
					t.patchFlags(f)
					f.BoolVar(&t.again, "unwithdraw", false, "allow that a withdrawn version serves again")
				}, t.apply),
			sub("patch", "-base N JSON", "send one patch", `rudderctl patch -base 12 '{"workspaces":{"desk":{"priority":1}}}'`, t.patchFlags, t.patch),
			sub("history", "", "list the newest patches", "rudderctl history", nil, t.history),
			sub("status", "", "show daemons, numbers and draining", "rudderctl status", nil, t.status),
			sub("servers", "", "show the backend servers as one daemon sees them", "rudderctl servers", nil, t.servers),
			sub("rollout", "<show|hold|resume|withdraw> [model]", "see and steer roll-outs", "rudderctl rollout hold bib-lookup", t.patchFlags, t.rollout),
			sub("endpoints", "", "show which addresses callers are given", "rudderctl endpoints", nil, t.endpoints),
			sub("usage", "", "sum the bills that the log holds and list doubtful ones", "rudderctl usage", nil, t.usage),
			sub("holds", "[add|release FINGERPRINT]", "see the requests that are kept from servers that end by them, add one, release one", "rudderctl holds release 1f0c6a5be2d94477", nil, t.holds),
			sub("evacuate", "[-back] FAILURE-DOMAIN", "send nothing more to the servers of a failure domain, or take that back", "rudderctl evacuate -reason cooling kalgoorlie-hall",
				func(f *flag.FlagSet) {
					f.BoolVar(&t.back, "back", false, "take the order back")
					f.StringVar(&t.reason, "reason", "", "shown with the order")
					f.StringVar(&t.author, "author", "", "name shown in the history")
				}, t.evacuate),
			sub("evacuations", "", "list the failure domains that get nothing new", "rudderctl evacuations", nil, t.evacuations),
			sub("burn", "", "report how fast objectives use up their allowance", "rudderctl burn", nil, t.burn),
			sub("explain", "WORKSPACE MODEL [SESSION]", "say how a request would be routed now", "rudderctl explain goldfields-desk desk", nil, t.explain),
			t.traceCommand(),
		},
	}
}

func (t *tool) printJSON(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints rows under a head; cells are separated by tabs.
func (t *tool) table(head string, rows []string) error {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	for _, r := range rows {
		fmt.Fprintln(w, r)
	}
	return w.Flush()
}

func (t *tool) get(ctx context.Context, c *client, args []string) error {
	cfg, err := c.config(ctx)
	if err != nil {
		return err
	}
	if len(args) == 0 {
		return t.printJSON(cfg)
	}
	var doc map[string]json.RawMessage
	data, _ := json.Marshal(cfg)
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	section, name, deep := strings.Cut(args[0], "/")
	value, ok := doc[section]
	if ok && deep {
		var entities map[string]json.RawMessage
		_ = json.Unmarshal(value, &entities)
		value, ok = entities[name]
	}
	if !ok {
		return cli.Usage(fmt.Errorf("configuration %d has no %s", cfg.Number, args[0]))
	}
	return t.printJSON(value)
}

func (t *tool) wanted(ctx context.Context, c *client, args []string) (cfg, wanted *fleet.Config, p fleet.Patch, changes []fleet.Change, err error) {
	if len(args) != 1 {
		return nil, nil, p, nil, cli.Usage(errors.New("one directory of declarations is needed"))
	}
	if wanted, err = loadDeclarations(args[0]); err != nil {
		return nil, nil, p, nil, cli.Usage(err)
	}
	if cfg, err = c.config(ctx); err != nil {
		return nil, nil, p, nil, err
	}
	p, changes, err = fleet.Diff(cfg, wanted)
	return cfg, wanted, p, changes, err
}

func (t *tool) diff(ctx context.Context, c *client, args []string) error {
	cfg, wanted, _, changes, err := t.wanted(ctx, c, args)
	if err != nil {
		return err
	}
	if t.json {
		return t.printJSON(map[string]any{"base": cfg.Number, "changes": changes})
	}
	fmt.Fprintf(t.out, "against configuration %d: %d changes\n", cfg.Number, len(changes))
	printChanges(t.out, cfg, changes)
	for _, v := range fleet.ReinstatedVersions(cfg, wanted) {
		fmt.Fprintf(t.out, "! %s is withdrawn and would serve again; apply asks for -unwithdraw\n", v)
	}
	return nil
}

func (t *tool) apply(ctx context.Context, c *client, args []string) error {
	cfg, wanted, p, changes, err := t.wanted(ctx, c, args)
	if err != nil {
		return err
	}
	if again := fleet.ReinstatedVersions(cfg, wanted); len(again) > 0 && !t.again {
		return cli.Usage(fmt.Errorf("%s would serve again after its withdrawal; mark it withdrawn in the declarations or give -unwithdraw", strings.Join(again, ", ")))
	}
	if len(changes) == 0 {
		fmt.Fprintf(t.out, "configuration %d is as declared\n", cfg.Number)
		return nil
	}
	return t.send(ctx, c, p)
}

// send appends a patch against -base and prints what became of it.
func (t *tool) send(ctx context.Context, c *client, p any) error {
	if t.base < 0 {
		return cli.Usage(errors.New("-base is needed: the configuration number the change is written against"))
	}
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if t.id == "" {
		t.id = ulid.Make().String()
	}
	began := time.Now()
	o, err := c.patch(ctx, fleet.Record{PatchID: t.id, Base: uint64(t.base), Author: t.author, Patch: data})
	if err != nil {
		return fmt.Errorf("patch %s: %w", t.id, err)
	}
	if t.json {
		return t.printJSON(o)
	}
	fmt.Fprintf(t.out, "accepted as configuration %d after %s: %s\n", o.Number, time.Since(began).Round(time.Millisecond), strings.Join(o.Changed, " "))
	return nil
}

func (t *tool) patch(ctx context.Context, c *client, args []string) error {
	if len(args) != 1 {
		return cli.Usage(errors.New("one patch is needed"))
	}
	if !json.Valid([]byte(args[0])) {
		return cli.Usage(fmt.Errorf("the patch is not JSON: %s", args[0]))
	}
	return t.send(ctx, c, json.RawMessage(args[0]))
}

func (t *tool) history(ctx context.Context, c *client, _ []string) error {
	var all []fleet.PatchOutcome
	if err := c.do(ctx, http.MethodGet, "/operator/v1/history", nil, &all); err != nil {
		return err
	}
	if t.json {
		return t.printJSON(all)
	}
	var rows []string
	for _, o := range all {
		word := "accepted"
		if !o.Accepted {
			word = string(o.Kind)
		}
		rows = append(rows, fmt.Sprintf("%d\t%d\t%s\t%s\t%s\t%s", o.Number, o.Base, word, orDash(o.Author), o.PatchID, strings.Join(append(o.Changed, o.Detail), " ")))
	}
	return t.table("NUMBER\tBASE\tOUTCOME\tAUTHOR\tPATCH\tWHAT", rows)
}
