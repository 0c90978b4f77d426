// Package engine speaks to backend servers: model engines with an
// OpenAI-compatible API, server-sent events that can be resumed, cancellation,
// load reports and orders; and plain HTTP services.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/damaskrudder/damaskrudder/internal/lease"
)

// Run is one attempt to execute a request.
type Run struct {
	// ID is the attempt's own; a server that sees it twice runs it once.
	ID string
	// Version is "model@version".
	Version string
	// Priority orders waiting work, 0 first.
	Priority int
	// Body is the caller's request; its model is replaced by Version.
	Body map[string]json.RawMessage
}

// ErrNotStarted is the server's proof that it did not start the run.
var ErrNotStarted = errors.New("the server did not start the run")

// ErrNotConnected means that nothing was sent.
var ErrNotConnected = errors.New("no connection to the server")

// ErrRunNotFound means that the server knows no such run.
var ErrRunNotFound = errors.New("the server knows no such run")

// Client talks to backend servers.
type Client struct {
	pooled *http.Client
	// unpooled never reuses a connection; see Resume.
	unpooled    *http.Client
	idleTimeout time.Duration
}

const (
	dialTimeout = 2 * time.Second
	// controlTimeout bounds a load report, an order or a cancellation.
	controlTimeout = 2 * time.Second
	// maxIdleConnsPerHost keeps connections for the usual concurrency on one server.
	maxIdleConnsPerHost = 64
	// maxResponseBytes bounds a plain service's reply in bytes.
	maxResponseBytes = 1 << 20
)

// NewClient returns a client that takes a stream for silent after silence.
func NewClient(silence time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute}
	single := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: single}, idleTimeout: silence}
}

// Start sends a run and returns its stream. The error is ErrNotConnected or
// ErrNotStarted when the run is proven not to have started; any other error
// leaves that open.
func (c *Client) Start(ctx context.Context, address string, r Run) (*Stream, error) {
	body := make(map[string]json.RawMessage, len(r.Body)+2)
	for k, v := range r.Body {
		body[k] = v
	}
	body["model"], _ = json.Marshal(r.Version)
	body["stream"] = json.RawMessage("true")
	data, err := json.Marshal(body)
	if err != nil {
		return nil, oops.In("engine").Wrapf(err, "encode run")
	}
	header := http.Header{"X-Run-Id": {r.ID}, "X-Priority": {strconv.Itoa(r.Priority)}, "Content-Type": {"application/json"}}
	return c.stream(ctx, c.pooled, http.MethodPost, "http://"+address+"/v1/chat/completions", header, data)
}

// Resume continues a run after an event. It always opens a new connection: the
// old one may be one of those that something between the two ends forgot, on
// which writes succeed and nothing ever comes back.
func (c *Client) Resume(ctx context.Context, address, run string, after int) (*Stream, error) {
	header := http.Header{"Last-Event-ID": {strconv.Itoa(after)}}
	return c.stream(ctx, c.unpooled, http.MethodGet, "http://"+address+"/v1/runs/"+url.PathEscape(run)+"/events", header, nil)
}

func (c *Client) stream(ctx context.Context, client *http.Client, method, target string, header http.Header, body []byte) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, oops.In("engine").Wrapf(err, "build request")
	}
	req.Header = header
	watch := time.AfterFunc(c.idleTimeout, cancel)
	resp, err := client.Do(req)
	if err != nil {
		watch.Stop()
		cancel()
		return nil, wrapDialError(err)
	}
	if err := checkStatus(resp); err != nil {
		watch.Stop()
		_ = resp.Body.Close()
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel, watch, c.idleTimeout), nil
}

// ConnectionRefused reports whether the VM at an address refuses connections: what listened there has
// ended.
func (c *Client) ConnectionRefused(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // it was opened for the question alone
	return false
}

func wrapDialError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	return oops.In("engine").Wrap(err)
}

func checkStatus(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get("X-Started") == "false":
		return fmt.Errorf("%w: %s", ErrNotStarted, resp.Status)
	case resp.StatusCode == http.StatusNotFound:
		return ErrRunNotFound
	}
	return oops.In("engine").Errorf("server answered %s", resp.Status)
}

// Cancel ends a run on its server.
func (c *Client) Cancel(address, run string) error {
	return c.doControl(context.Background(), http.MethodDelete, "http://"+address+"/v1/runs/"+url.PathEscape(run), nil, nil)
}

// LoadReport is a server's lagged report.
type LoadReport struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Versions []string `json:"versions"`
	Fence    uint64   `json:"fence"`
	// Draining is set by a server that wants no new work.
	Draining bool `json:"draining"`
	// WarmUpMillis is how much longer the server bears little; negative values count as
	// none.
	WarmUpMillis int64 `json:"warming_ms"`
}

// Load fetches a server's report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	err := c.doControl(ctx, http.MethodGet, "http://"+address+"/load", nil, &l)
	return l, err
}

type orderBody struct {
	Fence uint64 `json:"fence"`
	lease.Order
}

// SendOrder tells a server to load or unload a version under a fencing number.
func (c *Client) SendOrder(ctx context.Context, address string, fence uint64, o lease.Order) error {
	return c.doControl(ctx, http.MethodPost, "http://"+address+"/orders", orderBody{fence, o}, nil)
}

func (c *Client) doControl(ctx context.Context, method, target string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return oops.In("engine").Wrapf(err, "encode %s", target)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return oops.In("engine").Wrapf(err, "build %s", target)
	}
	// A pooled connection that went silent costs one timeout and is closed; the
	// next call opens a new one.
	resp, err := c.pooled.Do(req)
	if err != nil {
		return oops.In("engine").Wrapf(err, "%s %s", method, target)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return oops.In("engine").Wrapf(err, "read %s", target)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return oops.In("engine").With("status", resp.StatusCode).Errorf("%s %s answered %s", method, target, resp.Status)
	}
	if out == nil {
		return nil
	}
	return oops.In("engine").Wrapf(json.Unmarshal(data, out), "decode %s", target)
}

// Call sends a plain service call and returns its status and body. The error is
// ErrNotConnected when nothing was sent.
func (c *Client) Call(ctx context.Context, address, run string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/call", bytes.NewReader(body))
	if err != nil {
		return 0, nil, oops.In("engine").Wrapf(err, "build call")
	}
	req.Header.Set("X-Run-Id", run)
	req.Header.Set("Content-Type", "application/json")
	// A transport repeats a request on a connection that was closed under it
	// when it takes the request for idempotent. GetBody unset prevents that: a
	// payment would run twice.
	req.GetBody = nil
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return 0, nil, wrapDialError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, oops.In("engine").Wrapf(err, "read reply")
}
