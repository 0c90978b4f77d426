// Package feed follows a topic of the platform's log in which the newest record
// of each key counts, and tells how recently the reader was known to be current.
package feed

import (
	"context"
	"errors"
	"time"
)

// Record is one record of a keyed topic.
type Record struct {
	Key string
	// Value is nil when the key was removed.
	Value []byte
	At    Position
	// Unreadable says that the record is no key and value. It tells nothing, and is
	// passed over: one writer must not keep all readers from what comes after it.
	Unreadable bool
}

// ErrCompacted says that records from an offset on were deleted.
var ErrCompacted = errors.New("the records from this offset on are deleted")

// ErrTooLong says that another reader has records that are too long for it to pass on.
var ErrTooLong = errors.New("the records are too long for another reader to pass on")

// ErrEraChanged says that the store has come back from an older copy since the position that was
// asked for: the topic has to be read anew.
var ErrEraChanged = errors.New("the store has come back from an older copy")

// ConflictError says that a topic does not end where a conditional append expected.
type ConflictError struct{ End Position }

// Error implements error.
func (c *ConflictError) Error() string { return "the topic ends elsewhere" }

// Log is the platform's log.
type Log interface {
	// Newest returns the newest record of each key, and a position from which
	// reading on misses nothing. Heard is called with each piece of the answer.
	Newest(ctx context.Context, topic string, heard func()) ([]Record, Position, error)
	// Read returns the records from a position on and the topic's end. Without
	// records it waits for one for up to a time. Heard is called with each piece of
	// the answer. The error is ErrReturned if the store is in a later era.
	Read(ctx context.Context, topic string, from Position, wait time.Duration, heard func()) ([]Record, Position, error)
	// End returns the topic's end alone.
	End(ctx context.Context, topic string) (Position, error)
	// Append adds a record. If at is not nil, the topic must end there, or the
	// error is a *Conflict, also where it ends in another era. Any other error leaves open whether it was added.
	Append(ctx context.Context, topic, key string, value []byte, at *Position) error
}

// AppendWithTimeout appends a record and waits for the answer for a bounded time.
func AppendWithTimeout(ctx context.Context, l Log, topic, key string, value []byte, at *Position) error {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	return l.Append(ctx, topic, key, value, at)
}
