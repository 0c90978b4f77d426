package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/cli"
)

// holdHTTPMethods maps the subcommands of holds to HTTP methods.
var holdHTTPMethods = map[string]string{"add": http.MethodPut, "release": http.MethodDelete}

func (cmds *commands) holds(ctx context.Context, c *client, args []string) error {
	if len(args) == 0 {
		return cmds.listHolds(ctx, c)
	}
	method, ok := holdHTTPMethods[args[0]]
	if !ok || len(args) != 2 {
		return cli.UsageError(errors.New("holds needs nothing, or add or release and a fingerprint"))
	}
	var remaining []api.HeldRequest
	return c.doJSON(ctx, method, "/operator/v1/holds/"+url.PathEscape(args[1]), nil, &remaining)
}

func (cmds *commands) listHolds(ctx context.Context, c *client) error {
	var held []api.HeldRequest
	if err := c.doJSON(ctx, http.MethodGet, "/operator/v1/holds", nil, &held); err != nil {
		return err
	}
	if cmds.json {
		return cmds.printJSON(held)
	}
	var rows []string
	for _, h := range held {
		rows = append(rows, fmt.Sprintf("%s\t%.0fs\t%.0fs", h.Fingerprint, h.AgeSeconds, h.RemainingSeconds))
	}
	return cmds.printTable("FINGERPRINT\tHELD FOR\tLEFT", rows)
}
