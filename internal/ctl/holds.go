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

// holdMethods are what is done to one held request.
var holdMethods = map[string]string{"add": http.MethodPut, "release": http.MethodDelete}

func (t *tool) holds(ctx context.Context, c *client, args []string) error {
	if len(args) == 0 {
		return t.listHolds(ctx, c)
	}
	method, known := holdMethods[args[0]]
	if !known || len(args) != 2 {
		return cli.Usage(errors.New("holds needs nothing, or add or release and a fingerprint"))
	}
	var left []api.HeldRequest
	return c.do(ctx, method, "/operator/v1/holds/"+url.PathEscape(args[1]), nil, &left)
}

func (t *tool) listHolds(ctx context.Context, c *client) error {
	var all []api.HeldRequest
	if err := c.do(ctx, http.MethodGet, "/operator/v1/holds", nil, &all); err != nil {
		return err
	}
	if t.json {
		return t.printJSON(all)
	}
	var rows []string
	for _, h := range all {
		rows = append(rows, fmt.Sprintf("%s\t%.0fs\t%.0fs", h.Fingerprint, h.AgeSeconds, h.LeftSeconds))
	}
	return t.table("FINGERPRINT\tHELD FOR\tLEFT", rows)
}
