package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/checkedconn"
	"github.com/damaskrudder/damaskrudder/internal/cli"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
)

// client calls the operator API of the first reachable daemon.
type client struct {
	addresses  []string
	key        string
	httpClient *http.Client
}

const (
	requestTimeout = 15 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
)

var errResponseTooLong = fmt.Errorf("the response is longer than %d bytes", maxResponseBytes)

// newClient returns a client for a comma-separated list of daemon addresses. The CA
// certificates in caFile, if set, are trusted in addition to those of the system.
func newClient(addresses, key, caFile string) (*client, error) {
	if addresses == "" {
		return nil, cli.UsageError(errors.New("-address is needed, or RUDDERCTL_ADDRESS"))
	}
	if key == "" {
		return nil, cli.UsageError(errors.New("-key is needed, or RUDDERCTL_KEY"))
	}
	c := &client{strings.Split(addresses, ","), key, &http.Client{Timeout: requestTimeout, Transport: checkedconn.Transport(nil)}}
	if caFile == "" {
		return c, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, cli.UsageError(err)
	}
	pool, err := x509.SystemCertPool()
	if err != nil {
		pool = x509.NewCertPool()
	}
	if !pool.AppendCertsFromPEM(data) {
		return nil, cli.UsageError(fmt.Errorf("-ca: %s holds no certificate", caFile))
	}
	c.httpClient.Transport = checkedconn.Transport(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12})
	return c, nil
}

func (c *client) baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// doJSON sends in as JSON to the first reachable daemon and decodes the response into out.
func (c *client) doJSON(ctx context.Context, method, path string, in, out any) error {
	var lastErr error
	for _, address := range c.addresses {
		status, data, err := c.doOnce(ctx, address, method, path, in)
		if err != nil {
			lastErr = err
			continue
		}
		if status >= http.StatusBadRequest {
			return responseError(status, data)
		}
		return json.Unmarshal(data, out)
	}
	return &cli.ExitError{Code: cli.ExitUnreachable, Err: fmt.Errorf("no daemon answered: %w", lastErr)}
}

func (c *client) doOnce(ctx context.Context, address, method, path string, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL(address)+path, body)
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = errResponseTooLong
	}
	return resp.StatusCode, data, err
}

// responseError converts an error response to an error with the matching exit code.
func responseError(status int, data []byte) error {
	var resp api.PatchErrorResponse
	_ = json.Unmarshal(data, &resp)
	if resp.Error.Message == "" {
		return fmt.Errorf("the daemon answered %d: %s", status, bytes.TrimSpace(data))
	}
	err := fmt.Errorf("%s: %s (%s, request %s)", resp.Error.Code, resp.Error.Message, resp.Error.ExecutionState, resp.Error.RequestID)
	if status != http.StatusConflict {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%v\nin force: %d; changed since your base:", err, resp.CurrentNumber)
	for _, newer := range resp.NewerPatches {
		fmt.Fprintf(&b, "\n  %d by %s: %s", newer.Number, valueOrDash(newer.Author), strings.Join(newer.Changed, " "))
	}
	return &cli.ExitError{Code: cli.ExitConflict, Err: errors.New(b.String())}
}

func valueOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (c *client) config(ctx context.Context) (*fleet.Config, error) {
	cfg := fleet.NewConfig()
	err := c.doJSON(ctx, http.MethodGet, "/operator/v1/config", nil, cfg)
	return cfg, err
}

func (c *client) patch(ctx context.Context, record fleet.Record) (fleet.PatchOutcome, error) {
	var outcome fleet.PatchOutcome
	err := c.doJSON(ctx, http.MethodPost, "/operator/v1/patches", record, &outcome)
	return outcome, err
}
