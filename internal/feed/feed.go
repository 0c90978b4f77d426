// Package feed follows a topic of the platform's log in which the newest record of each key
// counts, and reports when the follower was last confirmed to be current.
package feed

import (
	"context"
	"errors"
	"time"
)

// Record is a record of a keyed topic.
type Record struct {
	Key string
	// Value is nil if the key was removed.
	Value []byte
	At    Position
	// Unreadable reports that the record could not be decoded. Readers skip it.
	Unreadable bool
}

// ErrCompacted reports that records from the requested position on were deleted.
var ErrCompacted = errors.New("records from this position on have been deleted")

// ErrTooLong reports that the records are too long to be fetched from another reader.
var ErrTooLong = errors.New("records are too long to be fetched from another reader")

// ErrEraChanged reports that the store was restored from an older copy since the requested
// position: the topic has to be loaded again.
var ErrEraChanged = errors.New("the store was restored from an older copy")

// ErrPartial reports that the newest records of a topic were not all read.
var ErrPartial = errors.New("the topic is large and was not read to its end")

// ConflictError reports that a topic does not end where a conditional append expected.
type ConflictError struct{ End Position }

// Error implements error.
func (c *ConflictError) Error() string { return "the topic does not end at the expected position" }

// Log is the platform's log.
type Log interface {
	// Newest returns the newest record of each key, and the position from which to read
	// on. Progress is called for each received part of the response. The records of a large
	// topic take several calls; more is called before each further one, and if it returns
	// false, the error is ErrPartial.
	Newest(ctx context.Context, topic string, progress func(), more func() bool) ([]Record, Position, error)
	// Read returns the records from a position on, and the end of the topic. If there are
	// none, it waits for one up to the given time. Progress is called for each received
	// part of the response. The error is ErrEraChanged if the store is in a later era.
	Read(ctx context.Context, topic string, from Position, wait time.Duration, progress func()) ([]Record, Position, error)
	// End returns the end of the topic.
	End(ctx context.Context, topic string) (Position, error)
	// Append adds a record. If at is not nil and the topic does not end there, the error
	// is a *ConflictError. After any other error the record may have been added or not.
	Append(ctx context.Context, topic, key string, value []byte, at *Position) error
}

// AppendWithTimeout appends a record and waits up to responseTimeout for the response.
func AppendWithTimeout(ctx context.Context, l Log, topic, key string, value []byte, at *Position) error {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return l.Append(ctx, topic, key, value, at)
}
