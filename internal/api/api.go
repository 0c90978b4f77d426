// Package api serves callers and operators over HTTP: an OpenAI-compatible API,
// plain service calls, endpoint discovery, and the operators' resources.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Headers of the protocol beyond OpenAI's.
const (
	// HeaderRequestID carries the request id on every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderRan says on a refusal whether the request was executed.
	HeaderRan = "X-Request-Ran"
	// HeaderSession carries the session token or the caller's session name.
	HeaderSession = "X-Session-Id"
	// HeaderClass names the request class.
	HeaderClass = "X-Request-Class"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed marks the stored answer of an earlier request.
	HeaderReplayed = "Idempotency-Replayed"
	// headerShouldRetry stops the official client libraries from repeating a
	// request that may have run.
	headerShouldRetry = "X-Should-Retry"
)

// API is the HTTP side of one daemon.
type API struct {
	d   *daemon.Daemon
	log *log.Logger
}

// New returns the handler for callers and operators. Metrics serves /metrics.
func New(d *daemon.Daemon, l *log.Logger, metrics http.Handler) http.Handler {
	a := &API{d: d, log: l}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = a.fail
	e.Use(a.identify)
	e.POST("/v1/chat/completions", a.chat)
	e.GET("/v1/models", a.models)
	e.GET("/v1/endpoints", a.endpoints)
	e.POST("/v1/services/:name", a.service)
	e.POST("/v1/keys", a.mintKey)
	e.GET("/healthz", a.health)
	e.GET("/metrics", echo.WrapHandler(metrics))
	a.operators(e.Group("/operator/v1", a.operatorOnly))
	return e
}

const requestIDKey = "request_id"

func (a *API) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := daemon.NewRequestID()
		c.Set(requestIDKey, id)
		c.Response().Header().Set(HeaderRequestID, id)
		return next(c)
	}
}

func requestID(c echo.Context) string { return c.Get(requestIDKey).(string) }

// refusalBody has OpenAI's error form with the execution state beside it.
type refusalBody struct {
	Error refusal `json:"error"`
}

type refusal struct {
	Message   string               `json:"message"`
	Type      fault.Kind           `json:"type"`
	Code      fault.Kind           `json:"code"`
	Param     string               `json:"param,omitempty"`
	Ran       fault.ExecutionState `json:"ran"`
	RequestID string               `json:"request_id"`
}

func refuse(id string, f *fault.Error) refusalBody {
	return refusalBody{refusal{f.Detail, f.Kind, f.Kind, f.Field, f.ExecutionState(), id}}
}

// fail is the one place where an error becomes an HTTP answer.
func (a *API) fail(err error, c echo.Context) {
	var he *echo.HTTPError
	if errors.As(err, &he) {
		err = fault.New(fault.NotFound, "%s %s: %v", c.Request().Method, c.Request().URL.Path, he.Message)
		if he.Code == http.StatusRequestEntityTooLarge {
			err = fault.New(fault.TooLarge, "the body is too large")
		}
	}
	f := fault.FromError(err)
	a.d.RecordRefusal(string(f.Kind))
	if f.Kind == fault.Internal {
		a.log.Error("internal error", "request", requestID(c), "err", err)
	}
	if c.Response().Committed {
		return
	}
	h := c.Response().Header()
	h.Set(HeaderRan, string(f.ExecutionState()))
	if f.ExecutionState() != fault.NotRun {
		h.Set(headerShouldRetry, "false")
	}
	if after := f.RetryDelay(); after > 0 {
		h.Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
	_ = c.JSON(fault.Lookup(f.Kind).Status, refuse(requestID(c), f))
}

// workspace finds the caller's workspace by its API key.
func (a *API) workspace(c echo.Context) (string, error) {
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", fault.New(fault.Unauthorized, "send the API key as a bearer token")
	}
	name, _, ok := a.d.Config().WorkspaceByKey(key)
	if !ok {
		return "", fault.New(fault.Unauthorized, "no workspace has this API key")
	}
	return name, nil
}

// body reads the request's body up to the limit in the settings.
func (a *API) body(c echo.Context) ([]byte, error) {
	limit := a.d.Settings().MaxBodyBytes
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if err != nil {
		return nil, fault.New(fault.BadRequest, "the body could not be read").WithCause(err)
	}
	if int64(len(data)) > limit {
		return nil, fault.New(fault.TooLarge, "the body exceeds %d bytes", limit)
	}
	return data, nil
}

// maxKeyLength bounds an idempotency key in bytes.
const maxKeyLength = 256

func idempotencyKey(c echo.Context) (string, error) {
	key := c.Request().Header.Get(HeaderKey)
	for _, r := range key {
		if r <= ' ' || r > '~' {
			return "", fault.NewField(fault.BadRequest, HeaderKey, "a key has 1 to %d printable ASCII characters", maxKeyLength)
		}
	}
	if len(key) > maxKeyLength {
		return "", fault.NewField(fault.BadRequest, HeaderKey, "a key has 1 to %d printable ASCII characters", maxKeyLength)
	}
	return key, nil
}

func (a *API) models(c echo.Context) error {
	name, err := a.workspace(c)
	if err != nil {
		return err
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, id := range a.d.Config().UsableNames(name) {
		list = append(list, model{id, "model", 0, "damaskrudder"})
	}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": list})
}

// endpointsReply tells which addresses to use and for how long.
type endpointsReply struct {
	Endpoints  []string `json:"endpoints"`
	TTLSeconds float64  `json:"ttl_seconds"`
}

func (a *API) endpoints(c echo.Context) error {
	addresses, ttl := a.d.Endpoints()
	if len(addresses) == 0 {
		return fault.New(fault.ShuttingDown, "no daemon is known to stay")
	}
	c.Response().Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(ttl.Seconds())))
	return c.JSON(http.StatusOK, endpointsReply{addresses, ttl.Seconds()})
}

func (a *API) service(c echo.Context) error {
	ws, err := a.workspace(c)
	if err != nil {
		return err
	}
	body, err := a.body(c)
	if err != nil {
		return err
	}
	if len(body) > 0 && !json.Valid(body) {
		return fault.NewField(fault.BadRequest, "body", "not JSON")
	}
	key, err := idempotencyKey(c)
	if err != nil {
		return err
	}
	r, err := a.d.CallService(c.Request().Context(), requestID(c), daemon.ServiceRequest{Workspace: ws, Service: c.Param("name"), Body: body, IdempotencyKey: key})
	if err != nil {
		return err
	}
	if r.Replayed {
		c.Response().Header().Set(HeaderReplayed, "true")
	}
	return c.Blob(r.Status, echo.MIMEApplicationJSON, r.Body)
}

func (a *API) mintKey(c echo.Context) error {
	ws, err := a.workspace(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, map[string]string{"key": a.d.MintIdempotencyKey(ws), "endpoint": a.d.Settings().ListenAddress})
}

func (a *API) health(c echo.Context) error {
	if !a.d.Ready() {
		return fault.New(fault.ConfigurationStale, "neither the log nor most daemons were heard lately")
	}
	if a.d.Leaving() {
		return fault.New(fault.ShuttingDown, "the daemon is draining")
	}
	return c.NoContent(http.StatusNoContent)
}
