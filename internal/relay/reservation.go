package relay

import "errors"

// heldPerHeadByte is the number of bytes that are reserved for each byte of a response's head: for its
// fields, which take more memory than their text if they are short, and for the text while it is read.
const heldPerHeadByte = 18

// errNoRoom means that there is no memory for a part of a response that must be read before any of it
// is forwarded.
var errNoRoom = errors.New("no memory to read the response")

// reservation is the memory reserved for a part of a response that must be read before any of it is
// forwarded.
type reservation struct {
	held  *HeldRequest
	bytes int64
}

// grow reserves n bytes more, or returns errNoRoom.
func (r *reservation) grow(n int64) error {
	f := r.held.flow
	f.mu.Lock()
	granted := f.ledger.Reserve(r.held.id, n)
	f.mu.Unlock()
	if !granted {
		f.metrics.ReservationsRefused.Inc(1)
		return errNoRoom
	}
	r.bytes += n
	return nil
}

// release ends the reservation.
func (r *reservation) release() {
	if r.bytes == 0 {
		return
	}
	f := r.held.flow
	f.mu.Lock()
	f.ledger.Unreserve(r.held.id, r.bytes)
	f.mu.Unlock()
	r.bytes = 0
}
