package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/oklog/ulid/v2"

	"github.com/damaskrudder/damaskrudder/internal/cli"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// maxEvacuateAttempts is the number of attempts to submit an evacuation while other patches
// make its base stale. Retrying is safe because the patch touches no other entity.
const maxEvacuateAttempts = 5

// evacuate starts or, with -back, ends the evacuation of a failure domain. Servers in an
// evacuated domain get no new requests.
func (cmds *commands) evacuate(ctx context.Context, c *client, args []string) error {
	if len(args) != 1 {
		return cli.UsageError(errors.New("evacuate needs one failure domain"))
	}
	value := json.RawMessage("null")
	if !cmds.revertEvacuation {
		data, err := json.Marshal(fleet.Evacuation{Reason: cmds.evacuationReason})
		if err != nil {
			return err
		}
		value = data
	}
	for range maxEvacuateAttempts {
		done, err := cmds.patchEvacuation(ctx, c, args[0], value)
		var e *cli.ExitError
		if done || err != nil && !(errors.As(err, &e) && e.Code == cli.ExitConflict) {
			return err
		}
	}
	return &cli.ExitError{Code: cli.ExitConflict, Err: errors.New("the configuration changed with every try")}
}

// patchEvacuation submits the change against the configuration in force. It does nothing if
// the configuration already has the wanted state.
func (cmds *commands) patchEvacuation(ctx context.Context, c *client, domain string, value json.RawMessage) (done bool, err error) {
	cfg, err := c.config(ctx)
	if err != nil {
		return false, err
	}
	if _, ordered := cfg.Evacuations[domain]; ordered != cmds.revertEvacuation {
		fmt.Fprintf(cmds.out, "configuration %d says so already\n", cfg.Number)
		return true, nil
	}
	if !cmds.revertEvacuation && countServers(cfg, domain) == 0 {
		fmt.Fprintf(cmds.out, "no server stands in %s now\n", domain)
	}
	patch, err := json.Marshal(map[string]any{"evacuations": map[string]json.RawMessage{domain: value}})
	if err != nil {
		return false, err
	}
	outcome, err := c.patch(ctx, fleet.Record{PatchID: ulid.Make().String(), Base: cfg.Number, Author: cmds.author, Patch: patch})
	if err != nil {
		return false, err
	}
	fmt.Fprintf(cmds.out, "accepted as configuration %d\n", outcome.Number)
	return true, nil
}

func (cmds *commands) evacuations(ctx context.Context, c *client, _ []string) error {
	cfg, err := c.config(ctx)
	if err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(cfg.Evacuations)
	}
	var rows []string
	for domain, e := range cfg.Evacuations {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s", domain, countServers(cfg, domain), valueOrDash(strings.Join(evacuatedPools(cfg, domain), " ")), valueOrDash(e.Reason)))
	}
	slices.Sort(rows)
	return cmds.printTable("FAILURE DOMAIN\tSERVERS\tPOOLS WITHOUT ANY LEFT\tREASON", rows)
}

// countServers returns the number of servers in a failure domain.
func countServers(cfg *fleet.Config, domain string) (n int) {
	for _, p := range cfg.Pools {
		for _, s := range p.Servers {
			if s.FailureDomain == domain {
				n++
			}
		}
	}
	return n
}

// evacuatedPools returns the sorted names of the pools that have servers in the given domain
// and whose servers are all in evacuated domains.
func evacuatedPools(cfg *fleet.Config, domain string) (pools []string) {
	for name, p := range cfg.Pools {
		open := func(s fleet.Server) bool { _, evacuated := cfg.Evacuations[s.FailureDomain]; return !evacuated }
		inDomain := func(s fleet.Server) bool { return s.FailureDomain == domain }
		if slices.ContainsFunc(p.Servers, inDomain) && !slices.ContainsFunc(p.Servers, open) {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	return pools
}
