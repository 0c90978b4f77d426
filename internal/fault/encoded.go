package fault

import "time"

// Encoded is an Error in messages between daemons. It has no cause.
type Encoded struct {
	Kind             Kind           `cbor:"1,keyasint"`
	Execution        ExecutionState `cbor:"2,keyasint,omitempty"`
	Detail           string         `cbor:"3,keyasint,omitempty"`
	RetryAfterMicros int64          `cbor:"4,keyasint,omitempty"`
}

// Encode returns the error for a message.
func (e *Error) Encode() *Encoded {
	return &Encoded{Kind: e.Kind, Execution: e.ExecutionState(), Detail: e.Detail, RetryAfterMicros: e.RetryAfter.Microseconds()}
}

// Decode returns the error in a message.
func (e *Encoded) Decode() *Error {
	return &Error{Kind: e.Kind, Execution: e.Execution, Detail: e.Detail, RetryAfter: time.Duration(e.RetryAfterMicros) * time.Microsecond}
}
