// Package fault holds the one closed list of error kinds and the table that
// turns a kind into an answer. Nothing outside this package chooses an HTTP
// status or decides whether a caller may repeat a request.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ExecutionState tells a caller whether its request was executed by a backend server.
type ExecutionState string

const (
	// NotRun means no backend server started the request; repeating it is safe.
	NotRun ExecutionState = "not_run"
	// Ran means a backend server executed the request at least in part.
	Ran ExecutionState = "ran"
	// Unknown means execution can be neither proven nor excluded.
	Unknown ExecutionState = "unknown"
)

// Kind names one class of failure. The list is closed: Kinds returns all.
type Kind string

// The closed list of kinds.
const (
	BadRequest         Kind = "bad_request"
	Unauthorized       Kind = "unauthorized"
	NotEntitled        Kind = "not_entitled"
	UnknownModel       Kind = "unknown_model"
	NotFound           Kind = "not_found"
	TooLarge           Kind = "too_large"
	RateLimited        Kind = "rate_limited"
	Overloaded         Kind = "overloaded"
	DeadlineExceeded   Kind = "deadline_exceeded"
	NoServer           Kind = "no_server"
	Warming            Kind = "warming"
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
	Internal           Kind = "internal"
)

// Answer is one row of the table from kind to answer.
type Answer struct {
	Kind Kind
	// Status is the HTTP status code.
	Status int
	// Execution is the execution state a refusal of this kind claims unless the
	// error itself carries a less certain one.
	Execution ExecutionState
	// Retry says whether another attempt inside the system may succeed.
	Retry bool
	// RetryAfter is the default advice to the caller; zero omits the header.
	RetryAfter time.Duration
	// Description is the sentence shown in docs/ERRORS.md.
	Description string
}

var table = []Answer{
	{BadRequest, http.StatusBadRequest, NotRun, false, 0, "The request is malformed; the detail names the field."},
	{Unauthorized, http.StatusUnauthorized, NotRun, false, 0, "No workspace or operator owns the presented key."},
	{NotEntitled, http.StatusForbidden, NotRun, false, 0, "The workspace may not use this model, version, cascade or service."},
	{UnknownModel, http.StatusNotFound, NotRun, false, 0, "No model, cascade or service of this name is configured."},
	{NotFound, http.StatusNotFound, NotRun, false, 0, "No such resource."},
	{TooLarge, http.StatusRequestEntityTooLarge, NotRun, false, 0, "The body exceeds the limit in the settings."},
	{RateLimited, http.StatusTooManyRequests, NotRun, false, time.Second, "The workspace has used up its request or token limit for the window."},
	{Overloaded, http.StatusServiceUnavailable, NotRun, false, time.Second, "No backend server can start the request before its deadline."},
	{DeadlineExceeded, http.StatusGatewayTimeout, Unknown, false, 0, "The deadline passed before the answer was complete."},
	{NoServer, http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "No live backend server holds an allowed version."},
	{Warming, http.StatusServiceUnavailable, NotRun, true, time.Second, "The backend servers that are left have just started and have had what they bear until they are warm."},
	{Evacuated, http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "The backend servers that are left stand in failure domains that an operator has evacuated."},
	{VersionWithdrawn, http.StatusGone, NotRun, false, 0, "The requested version is withdrawn and names no successor the workspace may use."},
	{SessionRefused, http.StatusForbidden, NotRun, false, 0, "The session token is forged, expired or belongs to another workspace."},
	{ConfigurationStale, http.StatusServiceUnavailable, NotRun, false, 2 * time.Second, "This daemon cannot show that its configuration is current; another address may serve."},
	{BaseStale, http.StatusConflict, NotRun, false, 0, "The patch was written against a configuration number no longer in force."},
	{InvalidPatch, http.StatusUnprocessableEntity, NotRun, false, 0, "The patch does not lead to a valid configuration."},
	{KeyReused, http.StatusUnprocessableEntity, NotRun, false, 0, "The idempotency key was used before with another body."},
	{KeyInProgress, http.StatusConflict, Unknown, false, time.Second, "A request with this idempotency key is still executing."},
	{AnswerUnavailable, http.StatusConflict, Unknown, false, 0, "The request with this idempotency key may have executed and its answer cannot be recovered."},
	{LogUnavailable, http.StatusServiceUnavailable, NotRun, false, 5 * time.Second, "The log service does not answer, so a non-repeatable request cannot be claimed."},
	{BillingBacklog, http.StatusServiceUnavailable, NotRun, false, 5 * time.Second, "Unconfirmed usage records have reached their memory bound."},
	{UsageUnprotected, http.StatusServiceUnavailable, NotRun, false, 2 * time.Second, "Neither the log nor another daemon can be given usage records. A request that ran by then is answered without its terminal mark and says ran."},
	{EngineRefused, http.StatusServiceUnavailable, NotRun, true, time.Second, "The backend server proved that it did not start the request."},
	{EngineFailed, http.StatusBadGateway, Unknown, false, time.Second, "The backend server failed after the request was sent to it."},
	{CallerLeft, 499, Unknown, false, 0, "The caller closed its connection."},
	{Quarantined, http.StatusServiceUnavailable, NotRun, false, time.Hour, "Backend servers ended that ran this request, so it is kept from them for as long as the advice says. An attempt that ran before is answered engine_failed."},
	{ShuttingDown, http.StatusServiceUnavailable, NotRun, false, time.Second, "This daemon is leaving; ask /v1/endpoints for another address."},
	{Internal, http.StatusInternalServerError, Unknown, false, 0, "A defect in the router."},
}

var byKind = func() map[Kind]Answer {
	m := make(map[Kind]Answer, len(table))
	for _, a := range table {
		m[a.Kind] = a
	}
	return m
}()

// Specs returns the whole table in its documented order.
func Specs() []Answer { return append([]Answer(nil), table...) }

// Lookup returns the answer for k. An unlisted kind yields the row of Internal.
func Lookup(k Kind) Answer {
	if a, ok := byKind[k]; ok {
		return a
	}
	return byKind[Internal]
}

// Error is a failure of a listed kind.
type Error struct {
	Kind Kind
	// Run overrides the table's execution state when set.
	Run ExecutionState
	// Detail is shown to the caller and must hold no secret.
	Detail string
	// Field names the offending input, if there is one.
	Field string
	// RetryAfter overrides the table's advice when positive.
	RetryAfter time.Duration
	// Cause is logged and never shown.
	Cause error
}

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// NewField returns an error of kind k about one named input field.
func NewField(k Kind, field, format string, args ...any) *Error {
	return &Error{Kind: k, Field: field, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
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
func (e *Error) WithExecution(r ExecutionState) *Error {
	c := *e
	c.Run = r
	return &c
}

// WithRetryAfter returns a copy of e that advises a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy of e with the cause attached.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// ExecutionState returns the execution state that e claims.
func (e *Error) ExecutionState() ExecutionState {
	if e.Run != "" {
		return e.Run
	}
	return Lookup(e.Kind).Execution
}

// RetryDelay returns how long the caller should wait before trying again, or zero.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return Lookup(e.Kind).RetryAfter
}

// FromError finds the listed error inside err. An unlisted one becomes Internal.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: "internal error", Cause: err}
}

// Is reports whether err carries kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
