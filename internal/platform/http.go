package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/damaskrudder/damaskrudder/internal/checkedconn"
)

// maxResponseBytes bounds a response body, so that a broken service cannot exhaust memory.
const maxResponseBytes = 16 << 20

// Client is the HTTP client of the platform. It implements Log, VMList, RatingService and
// WeightStore.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the service at base, such as http://10.0.0.9:7000. Each call is
// bounded by timeout.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{Timeout: timeout, Transport: checkedconn.Transport(nil)}}
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First uint64 `json:"first"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var response appendResponse
	err := c.call(ctx, http.MethodPost, "/streams/"+url.PathEscape(stream), appendRequest{records}, &response)
	return response.First, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	q := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var b Batch
	err := c.call(ctx, http.MethodGet, "/streams/"+url.PathEscape(stream)+"?"+q.Encode(), nil, &b)
	return b, err
}

// List implements VMList.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	data, err := c.fetch(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, err
	}
	vms, err := decodeEntries[VM](data)
	return vms, oops.In("platform").Wrapf(err, "decode the list of VMs")
}

// Submit implements RatingService.
func (c *Client) Submit(ctx context.Context, s Sample) error {
	return c.call(ctx, http.MethodPost, "/samples", s, nil)
}

type collectResponse struct {
	Ratings []Rating `json:"ratings"`
	Next    int      `json:"next"`
}

// Collect implements RatingService.
func (c *Client) Collect(ctx context.Context, daemon string, from int) ([]Rating, int, error) {
	var response collectResponse
	q := url.Values{"daemon": {daemon}, "from": {strconv.Itoa(from)}}
	err := c.call(ctx, http.MethodGet, "/ratings?"+q.Encode(), nil, &response)
	return response.Ratings, response.Next, err
}

// Reserve implements WeightStore.
func (c *Client) Reserve(ctx context.Context, model, version string) (bool, error) {
	var granted bool
	path := "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	err := c.call(ctx, http.MethodPost, path, nil, &granted)
	return granted, err
}

// call sends a request and decodes the response into out unless it is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	data, err := c.fetch(ctx, method, path, in)
	if err != nil || out == nil {
		return err
	}
	return oops.In("platform").Wrapf(json.Unmarshal(data, out), "decode %s %s", method, path)
}

// fetch sends a request and returns the body of the response.
func (c *Client) fetch(ctx context.Context, method, path string, in any) ([]byte, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, oops.In("platform").Wrapf(err, "encode %s %s", method, path)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, oops.In("platform").Wrapf(err, "build %s %s", method, path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, oops.In("platform").Wrapf(err, "%s %s", method, path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, oops.In("platform").Wrapf(err, "read %s %s", method, path)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, oops.In("platform").With("status", resp.StatusCode).Wrap(fmt.Errorf("%s %s returned %s", method, path, resp.Status))
	}
	return data, nil
}
