package backend

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Incarnation identifies one run of a backend server. A server that restarts under the same
// name loses its state.
type Incarnation struct {
	// Name is the ID under which the server registers.
	Name string
	// StartMillis is the server's start time in milliseconds by its own clock; zero if unknown.
	StartMillis int64
}

// ID returns the key under which packages and daemons keep the state of the incarnation. A
// restarted server therefore starts without state, and late messages about an earlier
// incarnation do not affect it.
func (i Incarnation) ID() string {
	if i.StartMillis == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.StartMillis, 36)
}

// Before reports whether an incarnation of the same server is older than another. One without a
// start time is older than one with a start time.
func (i Incarnation) Before(other Incarnation) bool { return i.StartMillis < other.StartMillis }

// Server is one incarnation of a backend server, as described by its entry.
type Server struct {
	// ID is Incarnation.ID(). It is set by the registry.
	ID            string
	Incarnation   Incarnation
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the server software.
	Version string
	Slots   int
	// Leaving servers finish their running requests and get no new ones.
	Leaving bool
	// Models are the models that the engine has loaded.
	Models []string
	// WarmupRemaining is the remaining warmup time stated in the entry.
	WarmupRemaining time.Duration
	// WarmAt is the reading of the boot clock at the end of the warmup; zero for a warm server.
	// It is set by the reader of the entry.
	WarmAt time.Duration
}

// InvalidReason is the reason why an entry is invalid.
type InvalidReason string

// The reasons are label values of a metric, so the set is fixed.
const (
	// Unreadable: not a JSON object, not UTF-8, nested too deeply, or the key is not a valid name.
	Unreadable InvalidReason = "unreadable"
	// TooLong: longer than the maximum size of an entry.
	TooLong InvalidReason = "too_long"
	// FieldMissing: a required field is missing, null or empty.
	FieldMissing InvalidReason = "field_missing"
	// FieldType: a field has the wrong type or a number out of range.
	FieldType InvalidReason = "field_type"
	// UnknownState: the state is neither ready nor leaving.
	UnknownState InvalidReason = "unknown_state"
	// BadAddress: the address is not valid.
	BadAddress InvalidReason = "bad_address"
	// Superseded: the incarnation is older than the one known.
	Superseded InvalidReason = "superseded"
)

// InvalidEntryError reports an invalid entry. Another process than the server may have
// written it, so entries read before stay valid.
type InvalidEntryError struct {
	Reason InvalidReason
	// Detail names the field. It is for the log.
	Detail string
}

// Error implements error.
func (e *InvalidEntryError) Error() string { return fmt.Sprintf("%s: %s", e.Reason, e.Detail) }

// Invalid returns an error for an invalid entry.
func Invalid(reason InvalidReason, format string, args ...any) *InvalidEntryError {
	return &InvalidEntryError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// InvalidReasonOf returns the reason of an InvalidEntryError, or Unreadable for other errors.
func InvalidReasonOf(err error) InvalidReason {
	var e *InvalidEntryError
	if errors.As(err, &e) {
		return e.Reason
	}
	return Unreadable
}
