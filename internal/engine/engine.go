// Package engine is the client of backend servers. A backend server is either a plain HTTP
// service or a model engine with an OpenAI-compatible API that is extended by resumable
// streams of server-sent events, cancellation, load reports and orders.
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

	"github.com/damaskrudder/damaskrudder/internal/checkedconn"
	"github.com/damaskrudder/damaskrudder/internal/lease"
)

// Run is one attempt to execute a request.
type Run struct {
	// ID identifies the attempt. A server that receives it twice runs it once.
	ID string
	// Version is "model@version".
	Version string
	// Priority orders queued runs; 0 is the highest.
	Priority int
	// Body is the client's request. Its model is replaced by Version.
	Body map[string]json.RawMessage
}

// ErrNotStarted means that the server stated that it did not start the run.
var ErrNotStarted = errors.New("run was not started by the server")

// ErrVersionNotLoaded means that a run was not started because the server lacks its version. It
// comes with ErrNotStarted.
var ErrVersionNotLoaded = errors.New("version is not loaded on the server")

// ErrNotConnected means that no connection was opened, so nothing was sent.
var ErrNotConnected = errors.New("cannot connect to the server")

// ErrRunNotFound means that the server has no run with the requested ID.
var ErrRunNotFound = errors.New("run not found on the server")

// Client sends requests to backend servers.
type Client struct {
	dial   DialFunc
	pooled *http.Client
	// unpooled opens a new connection for each request.
	unpooled *http.Client
	// idleTimeout is the longest time between two lines of a stream.
	idleTimeout time.Duration
	// ObserveStatements is called with the responses to runs and calls, if it is set.
	ObserveStatements StatementObserver
}

const (
	dialTimeout = time.Second
	// controlTimeout applies to load reports, orders and cancellations.
	controlTimeout      = 2 * time.Second
	maxIdleConnsPerHost = 64
	// maxResponseBytes bounds the body of responses that are not streams.
	maxResponseBytes = 1 << 20
	// maxHeadBytes bounds the status line and fields of a response, those of interim responses included.
	maxHeadBytes = 32 << 10
)

// errResponseTooLong means that the body of a response exceeds maxResponseBytes.
var errResponseTooLong = fmt.Errorf("the response has a body of more than %d bytes", maxResponseBytes)

// DialFunc opens a connection.
type DialFunc = checkedconn.DialFunc

// NewClient returns a client that closes streams without data for idleTimeout. If dial is nil, it
// opens TCP connections.
func NewClient(idleTimeout time.Duration, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	pooled := &http.Transport{DialContext: checkedconn.Dialer(dial), MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	unpooled := &http.Transport{DialContext: checkedconn.Dialer(dial), DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{dial: dial, pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}, idleTimeout: idleTimeout}
}

// Start starts a run and returns its stream. The run has certainly not started if the
// error is ErrNotConnected or ErrNotStarted; after other errors it may have.
func (c *Client) Start(ctx context.Context, address string, run Run) (*Stream, error) {
	body := make(map[string]json.RawMessage, len(run.Body)+2)
	for k, v := range run.Body {
		body[k] = v
	}
	body["model"], _ = json.Marshal(run.Version)
	body["stream"] = json.RawMessage("true")
	data, err := json.Marshal(body)
	if err != nil {
		return nil, oops.In("engine").Wrapf(err, "encode run")
	}
	header := http.Header{"X-Run-Id": {run.ID}, "X-Priority": {strconv.Itoa(run.Priority)}, "Content-Type": {"application/json"}}
	sentAt := time.Now()
	resp, stream, err := c.stream(ctx, c.pooled, http.MethodPost, "http://"+address+"/v1/chat/completions", header, data)
	if resp != nil {
		c.observe(address, sentAt, resp, err == nil)
	}
	return stream, err
}

// Resume continues the stream of a run after the event with an offset. It always opens
// a new connection, since a pooled one may have been dropped silently by a middlebox.
func (c *Client) Resume(ctx context.Context, address, runID string, lastEvent int) (*Stream, error) {
	header := http.Header{"Last-Event-ID": {strconv.Itoa(lastEvent)}}
	_, stream, err := c.stream(ctx, c.unpooled, http.MethodGet, "http://"+address+"/v1/runs/"+url.PathEscape(runID)+"/events", header, nil)
	return stream, err
}

// stream sends a request whose response is a stream. The idle timeout also applies to
// the wait for the response header. It returns the response also with an error status.
func (c *Client) stream(ctx context.Context, client *http.Client, method, target string, header http.Header, body []byte) (*http.Response, *Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, nil, oops.In("engine").Wrapf(err, "build request")
	}
	req.Header = header
	idleTimer := time.AfterFunc(c.idleTimeout, cancel)
	resp, err := client.Do(req)
	if err != nil {
		idleTimer.Stop()
		cancel()
		return nil, nil, wrapDialError(err)
	}
	if err := checkStatus(resp); err != nil {
		idleTimer.Stop()
		_ = resp.Body.Close()
		cancel()
		return resp, nil, err
	}
	return resp, newStream(resp.Body, cancel, idleTimer, c.idleTimeout), nil
}

// Connect opens and closes a connection, to check that a server accepts connections.
func (c *Client) Connect(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// RefusesConnections reports whether the VM refuses connections to an address, which means
// that no process listens there.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // an error has no consequence
	return false
}

func wrapDialError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	return oops.In("engine").Wrap(err)
}

func checkStatus(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get("X-Started") == "false" && resp.StatusCode == http.StatusConflict:
		return fmt.Errorf("%w: %w: %s", ErrNotStarted, ErrVersionNotLoaded, resp.Status)
	case resp.Header.Get("X-Started") == "false":
		return fmt.Errorf("%w: %s", ErrNotStarted, resp.Status)
	case resp.StatusCode == http.StatusNotFound:
		return ErrRunNotFound
	}
	return oops.In("engine").Errorf("server returned %s", resp.Status)
}

// Cancel cancels a run on its server.
func (c *Client) Cancel(address, runID string) error {
	return c.doControl(context.Background(), http.MethodDelete, "http://"+address+"/v1/runs/"+url.PathEscape(runID), nil, nil)
}

// LoadReport is the load that a server reports. It may lag behind the actual load.
type LoadReport struct {
	// Running and Waiting count the server's runs.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Versions lists the loaded versions as "model@version".
	Versions []string `json:"versions"`
	// Fence is the highest fencing number of the orders that the server received.
	Fence uint64 `json:"fence"`
	// Draining reports that the server accepts no new runs.
	Draining bool `json:"draining"`
	// WarmupRemainingMillis is the remaining warm-up time; negative values mean none.
	WarmupRemainingMillis int64 `json:"warming_ms"`
}

// Load fetches the load report of a server.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.doControl(ctx, http.MethodGet, "http://"+address+"/load", nil, &report)
	return report, err
}

type orderBody struct {
	Fence uint64 `json:"fence"`
	lease.Order
}

// SendOrder orders a server to load or unload a version under a fencing number.
func (c *Client) SendOrder(ctx context.Context, address string, fence uint64, order lease.Order) error {
	return c.doControl(ctx, http.MethodPost, "http://"+address+"/orders", orderBody{fence, order}, nil)
}

// doControl sends a JSON request and decodes the response into out unless it is nil.
func (c *Client) doControl(ctx context.Context, method, target string, payload, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body io.Reader
	if payload != nil {
		data, err := json.Marshal(payload)
		if err != nil {
			return oops.In("engine").Wrapf(err, "encode %s", target)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return oops.In("engine").Wrapf(err, "build %s", target)
	}
	// A stalled pooled connection costs one timeout: it is then closed, and the next
	// call opens a new one.
	resp, err := c.pooled.Do(req)
	if err != nil {
		return oops.In("engine").Wrapf(err, "%s %s", method, target)
	}
	defer resp.Body.Close()
	data, err := readBody(resp.Body)
	if err != nil {
		return oops.In("engine").Wrapf(err, "read %s", target)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return oops.In("engine").With("status", resp.StatusCode).Errorf("%s %s returned %s", method, target, resp.Status)
	}
	if out == nil {
		return nil
	}
	return oops.In("engine").Wrapf(json.Unmarshal(data, out), "decode %s", target)
}

// readBody reads the body of a response that is not a stream. A part of it is never taken for the
// whole.
func readBody(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		return nil, errResponseTooLong
	}
	return data, err
}

// Call sends a request to a plain service and returns the status and body of the
// response. The error is ErrNotConnected if nothing was sent.
func (c *Client) Call(ctx context.Context, address, runID string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/call", bytes.NewReader(body))
	if err != nil {
		return 0, nil, oops.In("engine").Wrapf(err, "build call")
	}
	req.Header.Set("X-Run-Id", runID)
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot resend the request after a lost
	// connection, so that a non-idempotent request does not run twice.
	req.GetBody = nil
	sentAt := time.Now()
	resp, err := c.unpooled.Do(req)
	if err != nil {
		return 0, nil, wrapDialError(err)
	}
	defer resp.Body.Close()
	c.observe(address, sentAt, resp, resp.StatusCode < http.StatusMultipleChoices)
	data, err := readBody(resp.Body)
	return resp.StatusCode, data, oops.In("engine").Wrapf(err, "read response")
}
