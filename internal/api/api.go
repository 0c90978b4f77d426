// Package api implements the HTTP API of the daemon: OpenAI-compatible chat
// completions, service calls, endpoint discovery and the operator resources.
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
	"github.com/damaskrudder/damaskrudder/internal/recovery"
)

// HTTP headers of the API that the OpenAI API does not define.
const (
	// HeaderRequestID carries the request ID on every response.
	HeaderRequestID = "X-Request-Id"
	// HeaderExecutionState states on an error response whether the request was executed.
	HeaderExecutionState = "X-Request-Ran"
	// HeaderSessionID carries a session token or a session name chosen by the caller.
	HeaderSessionID = "X-Session-Id"
	// HeaderRequestClass carries the name of the request class.
	HeaderRequestClass = "X-Request-Class"
	// HeaderIdempotencyKey carries the idempotency key of a request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyReplayed marks a response that was stored for an earlier request
	// with the same idempotency key.
	HeaderIdempotencyReplayed = "Idempotency-Replayed"
	// headerShouldRetry stops the OpenAI client libraries from retrying a request that
	// may have been executed.
	headerShouldRetry = "X-Should-Retry"
)

// API holds the HTTP handlers of one daemon.
type API struct {
	daemon *daemon.Daemon
	logger *log.Logger
}

// New returns the handler of the caller and operator endpoints. The metrics handler
// serves /metrics.
func New(d *daemon.Daemon, logger *log.Logger, metrics http.Handler) http.Handler {
	a := &API{daemon: d, logger: logger}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = a.handleError
	e.Use(a.assignRequestID, a.closeWhileLeaving, a.recoverPanic)
	e.POST("/v1/chat/completions", a.completeChat, a.refuseIfStopping)
	e.GET("/v1/models", a.listModels)
	e.GET("/v1/endpoints", a.listEndpoints)
	e.POST("/v1/services/:name", a.callService, a.refuseIfStopping)
	e.POST("/v1/keys", a.mintIdempotencyKey, a.refuseIfStopping)
	e.GET("/healthz", a.checkHealth)
	e.GET("/metrics", echo.WrapHandler(metrics))
	a.registerOperatorRoutes(e.Group("/operator/v1", a.requireOperatorKey))
	return e
}

const requestIDContextKey = "request_id"

func (a *API) assignRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := daemon.NewRequestID()
		c.Set(requestIDContextKey, id)
		c.Response().Header().Set(HeaderRequestID, id)
		return next(c)
	}
}

// closeWhileLeaving makes callers close their connections after a response of a daemon that leaves, so
// that no request crosses the close of a kept connection.
func (a *API) closeWhileLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if a.daemon.Leaving() {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

// refuseIfStopping refuses the request of a daemon that has stopped, before its body is read.
func (a *API) refuseIfStopping(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := a.daemon.RefuseIfStopping(); err != nil {
			return err
		}
		return next(c)
	}
}

// recoverPanic answers a request whose handler panicked as an internal error, or aborts its
// connection if the response has begun.
func (a *API) recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			switch recovered := recover(); recovered {
			case nil:
			case http.ErrAbortHandler:
				panic(recovered)
			default:
				recovery.Report(recovered, a.daemon.PanicCounter(), a.logger, "request", requestID(c), "path", c.Request().URL.Path, "answered", !c.Response().Committed)
				if c.Response().Committed {
					panic(http.ErrAbortHandler)
				}
				err = fault.New(fault.Internal, "internal error")
			}
		}()
		return next(c)
	}
}

func requestID(c echo.Context) string { return c.Get(requestIDContextKey).(string) }

// errorResponse is an error body in OpenAI's format, extended by the execution state.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message        string               `json:"message"`
	Type           fault.Kind           `json:"type"`
	Code           fault.Kind           `json:"code"`
	Param          string               `json:"param,omitempty"`
	ExecutionState fault.ExecutionState `json:"ran"`
	RequestID      string               `json:"request_id"`
}

func newErrorResponse(id string, faultErr *fault.Error) errorResponse {
	return errorResponse{errorDetail{faultErr.Detail, faultErr.Kind, faultErr.Kind, faultErr.Field, faultErr.ExecutionState(), id}}
}

// handleError writes an error as an HTTP response. It maps errors of the echo framework to
// not_found or too_large, and every other error without a fault kind to internal.
func (a *API) handleError(err error, c echo.Context) {
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		err = fault.New(fault.NotFound, "%s %s: %v", c.Request().Method, c.Request().URL.Path, httpErr.Message)
		if httpErr.Code == http.StatusRequestEntityTooLarge {
			err = fault.New(fault.TooLarge, "the body is too large")
		}
	}
	faultErr := fault.FromError(err)
	a.daemon.RecordRefusal(string(faultErr.Kind))
	if faultErr.Kind == fault.Internal {
		a.logger.Error("internal error", "request", requestID(c), "err", err)
	}
	if c.Response().Committed {
		return
	}
	setExecutionState(c.Response().Header(), faultErr)
	_ = c.JSON(fault.Lookup(faultErr.Kind).Status, newErrorResponse(requestID(c), faultErr))
}

// setExecutionState sets the fields that tell a caller whether and when to repeat a request.
func setExecutionState(h http.Header, e *fault.Error) {
	h.Set(HeaderExecutionState, string(e.ExecutionState()))
	if e.ExecutionState() != fault.NotRun {
		h.Set(headerShouldRetry, "false")
	}
	if retryDelay := e.RetryDelay(); retryDelay > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retryDelay+time.Second-1)/time.Second)))
	}
}

// Refusal returns the header fields and the JSON body of a refusal of a request that was not parsed.
func Refusal(e *fault.Error) (http.Header, any) {
	id, h := daemon.NewRequestID(), http.Header{}
	h.Set(HeaderRequestID, id)
	h.Set("Content-Type", echo.MIMEApplicationJSON)
	setExecutionState(h, e)
	return h, newErrorResponse(id, e)
}

// authenticate returns the name of the workspace that owns the request's API key.
func (a *API) authenticate(c echo.Context) (string, error) {
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", fault.New(fault.Unauthorized, "send the API key as a bearer token")
	}
	return a.daemon.Authenticate(key)
}

// bodyTimeout limits the time in which a caller must send a body.
const bodyTimeout = 30 * time.Second

// readBody reads the request body, which may have at most max_body_bytes.
func (a *API) readBody(c echo.Context) ([]byte, error) {
	limit := a.daemon.Settings().MaxBodyBytes
	connection := http.NewResponseController(c.Response())
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a closed connection
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	// The deadline stays after an error: net/http reads the rest of the body before it responds.
	if err != nil {
		return nil, fault.BodyError(err)
	}
	if int64(len(data)) > limit {
		return nil, fault.New(fault.TooLarge, "the body exceeds %d bytes", limit)
	}
	_ = connection.SetReadDeadline(time.Time{}) // fails only on a closed connection
	return data, nil
}

// maxIdempotencyKeyLength is the maximum length of an idempotency key in bytes.
const maxIdempotencyKeyLength = 256

func idempotencyKey(c echo.Context) (string, error) {
	key := c.Request().Header.Get(HeaderIdempotencyKey)
	for _, r := range key {
		if r <= ' ' || r > '~' {
			return "", fault.NewField(fault.BadRequest, HeaderIdempotencyKey, "a key has 1 to %d printable ASCII characters", maxIdempotencyKeyLength)
		}
	}
	if len(key) > maxIdempotencyKeyLength {
		return "", fault.NewField(fault.BadRequest, HeaderIdempotencyKey, "a key has 1 to %d printable ASCII characters", maxIdempotencyKeyLength)
	}
	return key, nil
}

func (a *API) listModels(c echo.Context) error {
	workspace, err := a.authenticate(c)
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
	for _, id := range a.daemon.Config().UsableNames(workspace) {
		list = append(list, model{id, "model", 0, "damaskrudder"})
	}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": list})
}

// endpointsResponse lists the addresses of serving daemons and how long callers may
// cache them.
type endpointsResponse struct {
	Endpoints  []string `json:"endpoints"`
	TTLSeconds float64  `json:"ttl_seconds"`
}

func (a *API) listEndpoints(c echo.Context) error {
	addresses, ttl := a.daemon.Endpoints()
	if len(addresses) == 0 {
		return fault.New(fault.ShuttingDown, "no daemon is known to stay")
	}
	c.Response().Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(ttl.Seconds())))
	return c.JSON(http.StatusOK, endpointsResponse{addresses, ttl.Seconds()})
}

func (a *API) callService(c echo.Context) error {
	workspace, err := a.authenticate(c)
	if err != nil {
		return err
	}
	body, err := a.readBody(c)
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
	resp, err := a.daemon.CallService(c.Request().Context(), requestID(c), daemon.ServiceRequest{Workspace: workspace, Service: c.Param("name"), Body: body, IdempotencyKey: key})
	if err != nil {
		return err
	}
	if resp.Replayed {
		c.Response().Header().Set(HeaderIdempotencyReplayed, "true")
	}
	return c.Blob(resp.Status, echo.MIMEApplicationJSON, resp.Body)
}

func (a *API) mintIdempotencyKey(c echo.Context) error {
	workspace, err := a.authenticate(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, map[string]string{"key": a.daemon.MintIdempotencyKey(workspace), "endpoint": a.daemon.Settings().ListenAddress})
}

func (a *API) checkHealth(c echo.Context) error {
	if !a.daemon.Ready() {
		return fault.New(fault.ConfigurationStale, "neither the log nor most daemons were heard lately")
	}
	if a.daemon.Leaving() {
		return fault.New(fault.ShuttingDown, "the daemon is draining")
	}
	return c.NoContent(http.StatusNoContent)
}
