// Package fault defines the error kinds and, for each kind, the HTTP status, the
// execution state and the retry advice returned to callers. No other package chooses
// these.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ExecutionState states whether a request was executed by a backend server.
type ExecutionState string

const (
	// NotRun means that no backend server started the request, so it is safe to repeat.
	NotRun ExecutionState = "not_run"
	// Ran means that a backend server executed at least part of the request.
	Ran ExecutionState = "ran"
	// Unknown means that the request may have been executed.
	Unknown ExecutionState = "unknown"
)

// Kind is a class of errors. Specs lists all kinds.
type Kind string

// All error kinds.
const (
	BadRequest         Kind = "bad_request"
	Unauthorized       Kind = "unauthorized"
	NotEntitled        Kind = "not_entitled"
	UnknownModel       Kind = "unknown_model"
	NotFound           Kind = "not_found"
	TooLarge           Kind = "too_large"
	BodyTimeout        Kind = "body_timeout"
	HeadTooLarge       Kind = "head_too_large"
	HeadTimeout        Kind = "head_timeout"
	RateLimited        Kind = "rate_limited"
	Overloaded         Kind = "overloaded"
	DeadlineExceeded   Kind = "deadline_exceeded"
	NoServer           Kind = "no_server"
	Warming            Kind = "warming"
	ServerLimited      Kind = "server_limited"
	ServerPaused       Kind = "server_paused"
	ServerSaturated    Kind = "server_saturated"
	Evacuated          Kind = "evacuated"
	VersionWithdrawn   Kind = "version_withdrawn"
	SessionRefused     Kind = "session_refused"
	ConfigurationStale Kind = "configuration_stale"
	BaseStale          Kind = "base_stale"
	InvalidPatch       Kind = "invalid_patch"
	KeyReused          Kind = "key_reused"
	KeyInProgress      Kind = "key_in_progress"
	AnswerUnavailable  Kind = "answer_unavailable"
	LogUnavailable     Kind = "log_unavailable"
	BillingBacklog     Kind = "billing_backlog"
	UsageUnprotected   Kind = "usage_unprotected"
	EngineRefused      Kind = "engine_refused"
	EngineFailed       Kind = "engine_failed"
	CallerLeft         Kind = "caller_left"
	Quarantined        Kind = "quarantined"
	ShuttingDown       Kind = "shutting_down"
	HelperUnable       Kind = "helper_unable"
	Internal           Kind = "internal"
)

// Spec specifies how errors of a kind are returned to callers.
type Spec struct {
	Kind Kind
	// Status is the HTTP status code.
	Status int
	// Execution is the execution state of errors of this kind, unless the error
	// overrides it.
	Execution ExecutionState
	// Retryable is set if another attempt on a different server may succeed.
	Retryable bool
	// RetryAfter is the default value of the Retry-After header; zero omits it.
	RetryAfter time.Duration
	// Description is the text in docs/ERRORS.md.
	Description string
}

// statusClientClosedRequest is the status in logs and metrics of a request whose caller is gone.
const statusClientClosedRequest = 499

var specs = []Spec{
	{BadRequest, http.StatusBadRequest, NotRun, false, 0, "The request is malformed; the detail names the field."},
	{Unauthorized, http.StatusUnauthorized, NotRun, false, 0, "The API key does not belong to a workspace or an operator."},
	{NotEntitled, http.StatusForbidden, NotRun, false, 0, "The workspace may not use this model, version, cascade or service."},
	{UnknownModel, http.StatusNotFound, NotRun, false, 0, "No model, cascade or service of this name is configured."},
	{NotFound, http.StatusNotFound, NotRun, false, 0, "The resource does not exist."},
	{TooLarge, http.StatusRequestEntityTooLarge, NotRun, false, 0, "The request body exceeds the configured limit."},
	{BodyTimeout, http.StatusRequestTimeout, NotRun, false, 0, "The request body did not arrive in time; the request may be repeated on a new connection."},
	{HeadTooLarge, http.StatusRequestHeaderFieldsTooLarge, NotRun, false, 0, "The request line and the header fields exceed the configured limit."},
	{HeadTimeout, http.StatusRequestTimeout, NotRun, false, 0, "The header fields did not arrive in time; the request may be repeated on a new connection."},
	{RateLimited, http.StatusTooManyRequests, NotRun, false, time.Second, "The workspace has reached its request or token limit."},
	{Overloaded, http.StatusServiceUnavailable, NotRun, false, time.Second, "No backend server can start the request before its deadline, or this daemon has no memory left for it."},
	{DeadlineExceeded, http.StatusGatewayTimeout, Unknown, false, 0, "The deadline passed before the response was complete."},
	{NoServer, http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "No live backend server serves an allowed version."},
	{Warming, http.StatusServiceUnavailable, NotRun, true, time.Second, "The remaining backend servers are warming up and have reached their request rate limit."},
	{ServerLimited, http.StatusServiceUnavailable, NotRun, true, time.Second, "The remaining backend servers have stated a limit on their requests, and this daemon's share of it is used up."},
	{ServerPaused, http.StatusServiceUnavailable, NotRun, true, time.Second, "The remaining backend servers have asked for a pause in requests."},
	{ServerSaturated, http.StatusServiceUnavailable, NotRun, true, time.Second, "The remaining backend servers tolerate few rejections, and this daemon's share of the requests that they may have in flight is in use."},
	{Evacuated, http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "The remaining backend servers are in failure domains that an operator has evacuated."},
	{VersionWithdrawn, http.StatusGone, NotRun, false, 0, "The requested version is withdrawn and has no successor that the workspace may use."},
	{SessionRefused, http.StatusForbidden, NotRun, false, 0, "The session token has an invalid signature, was signed with a retired key, or belongs to another workspace."},
	{ConfigurationStale, http.StatusServiceUnavailable, NotRun, false, 2 * time.Second, "This daemon cannot verify that its configuration is current, so it does not deny the request by it; retry at another address."},
	{BaseStale, http.StatusConflict, NotRun, false, 0, "The patch is based on a configuration number that is no longer current."},
	{InvalidPatch, http.StatusUnprocessableEntity, NotRun, false, 0, "The patch is malformed or results in an invalid configuration."},
	{KeyReused, http.StatusUnprocessableEntity, NotRun, false, 0, "The idempotency key was already used with a different body."},
	{KeyInProgress, http.StatusConflict, Unknown, false, time.Second, "A request with this idempotency key is still executing."},
	{AnswerUnavailable, http.StatusConflict, Unknown, false, 0, "The request with this idempotency key may have been executed, and its response is not available."},
	{LogUnavailable, http.StatusServiceUnavailable, NotRun, false, 5 * time.Second, "The log service is unavailable, so the idempotency key of a non-repeatable request cannot be claimed."},
	{BillingBacklog, http.StatusServiceUnavailable, NotRun, false, 5 * time.Second, "The buffer of unconfirmed usage records is full."},
	{UsageUnprotected, http.StatusServiceUnavailable, NotRun, false, 2 * time.Second, "Usage records can be written neither to the log nor to another daemon. A request that has already run gets a response without its terminal event and with the state ran."},
	{EngineRefused, http.StatusServiceUnavailable, NotRun, true, time.Second, "The backend server confirmed that it did not start the request."},
	{EngineFailed, http.StatusBadGateway, Unknown, false, time.Second, "The backend server failed after the request was sent to it."},
	{CallerLeft, statusClientClosedRequest, Unknown, false, 0, "The caller closed its connection."},
	{Quarantined, http.StatusServiceUnavailable, NotRun, false, time.Hour, "Backend servers terminated while running this request, so it is not sent to them until the advised time has passed. If an attempt already ran, engine_failed is returned instead."},
	{ShuttingDown, http.StatusServiceUnavailable, NotRun, false, time.Second, "This daemon is shutting down; get another address from /v1/endpoints."},
	{HelperUnable, http.StatusServiceUnavailable, NotRun, true, time.Second, "This daemon cannot send a request on behalf of another daemon, which cannot reach the backend servers itself."},
	{Internal, http.StatusInternalServerError, Unknown, false, 0, "An internal error of the router."},
}

var byKind = func() map[Kind]Spec {
	m := make(map[Kind]Spec, len(specs))
	for _, spec := range specs {
		m[spec.Kind] = spec
	}
	return m
}()

// Specs returns the specs of all kinds in the order of the documentation.
func Specs() []Spec { return append([]Spec(nil), specs...) }

// Lookup returns the spec of a kind, or that of Internal if the kind is unknown.
func Lookup(kind Kind) Spec {
	if spec, ok := byKind[kind]; ok {
		return spec
	}
	return byKind[Internal]
}

// Final reports whether callers never repeat a request after an error of the kind: a client error
// other than a timeout, a misdirection or a limit on requests.
func (s Spec) Final() bool {
	switch s.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, statusClientClosedRequest:
		return false
	}
	return s.Status >= http.StatusBadRequest && s.Status < http.StatusInternalServerError
}

// Error is an error of one of the kinds.
type Error struct {
	Kind Kind
	// Execution overrides the execution state of the kind if it is not empty.
	Execution ExecutionState
	// Detail is returned to the caller and must not contain secrets.
	Detail string
	// Field is the name of the invalid input field, if any.
	Field string
	// RetryAfter overrides the default of the kind if it is positive.
	RetryAfter time.Duration
	// Cause is logged and not returned to the caller.
	Cause error
}

// New returns an error of the given kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// NewField returns an error of the given kind for an input field, with a formatted detail.
func NewField(kind Kind, field, format string, args ...any) *Error {
	return &Error{Kind: kind, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// BodyError returns the error for a request whose body could not be read, caused by err. An err that has a
// kind is returned as it is.
func BodyError(err error) *Error {
	var refusal *Error
	if errors.As(err, &refusal) {
		return refusal
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return New(BodyTimeout, "the body did not arrive in time").WithCause(err)
	}
	return New(BadRequest, "the body broke off").WithCause(err)
}

// Error implements error. The result includes the cause.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Field != "" {
		s += " (" + e.Field + ")"
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithExecution returns a copy of e with the given execution state.
func (e *Error) WithExecution(state ExecutionState) *Error {
	c := *e
	c.Execution = state
	return &c
}

// WithRetryAfter returns a copy of e that advises the caller to retry after a delay.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	c := *e
	c.RetryAfter = delay
	return &c
}

// WithCause returns a copy of e with the given cause.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// ExecutionState returns the execution state of the request that failed with e.
func (e *Error) ExecutionState() ExecutionState {
	if e.Execution != "" {
		return e.Execution
	}
	return Lookup(e.Kind).Execution
}

// RetryDelay returns how long the caller should wait before a retry, or zero if none is
// advised.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return Lookup(e.Kind).RetryAfter
}

// FromError returns the Error in the chain of err, or an Internal error caused by err.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: "internal error", Cause: err}
}

// Is reports whether the chain of err contains an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
