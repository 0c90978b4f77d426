package backend

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Incarnation is one run of a backend server. A server may start again under the name
// that it had, and then holds and knows nothing of before.
type Incarnation struct {
	// Name is the id under which the server registers.
	Name string
	// StartMillis is the server's start in milliseconds of its own clock; zero if it states none.
	StartMillis int64
}

// ID names the run. All that is known of a run, of what it holds to whether it is lost,
// is kept by this name in every package and told by it between daemons. A new run
// therefore begins with nothing, in all places at once, and word of an earlier run finds
// nobody whom it could be about, whatever order it comes in.
func (i Incarnation) ID() string {
	if i.StartMillis == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.StartMillis, 36)
}

// Before reports whether a run of the same server is older than another. A run without a
// stated start is older than one with.
func (i Incarnation) Before(other Incarnation) bool { return i.StartMillis < other.StartMillis }

// Server is one run of a backend server, as its entry tells.
type Server struct {
	// ID is Run.ID(); the registry sets it.
	ID            string
	Incarnation   Incarnation
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Leaving servers finish what they run and get nothing new.
	Leaving bool
	// Models are the models an engine has loaded.
	Models []string
	// WarmupRemaining is how much longer the server is warming up by its entry.
	WarmupRemaining time.Duration
	// WarmAt is the boot clock's reading at the end of that; zero for a warm server. It is
	// set by who takes the entry.
	WarmAt time.Duration
}

// InvalidReason says why an entry names no server to use.
type InvalidReason string

// The faults of an entry. The list is closed: they are the values of a counter.
const (
	// Unreadable: not an object, not UTF-8, too deep, or the key is no name.
	Unreadable InvalidReason = "unreadable"
	// TooLong: longer than any entry.
	TooLong InvalidReason = "too_long"
	// FieldMissing: a field is missing, null or empty.
	FieldMissing InvalidReason = "field_missing"
	// FieldType: a field holds another type, or a number that it cannot hold.
	FieldType InvalidReason = "field_type"
	// UnknownState: a state that is neither ready nor leaving.
	UnknownState InvalidReason = "unknown_state"
	// BadAddress: an address that nothing can be sent to.
	BadAddress InvalidReason = "bad_address"
	// Superseded: a run that is older than one already known.
	Superseded InvalidReason = "superseded"
)

// BadEntry is an entry that names no server to use. Its writer may be another than the
// server: what other entries say holds.
type BadEntry struct {
	Fault InvalidReason
	// Detail names the field, for the log.
	Detail string
}

// Error implements error.
func (e *BadEntry) Error() string { return fmt.Sprintf("%s: %s", e.Fault, e.Detail) }

// Invalid returns an error for an entry.
func Invalid(f InvalidReason, format string, args ...any) *BadEntry {
	return &BadEntry{Fault: f, Detail: fmt.Sprintf(format, args...)}
}

// InvalidReasonOf returns the fault that an error tells of.
func InvalidReasonOf(err error) InvalidReason {
	var e *BadEntry
	if errors.As(err, &e) {
		return e.Fault
	}
	return Unreadable
}
