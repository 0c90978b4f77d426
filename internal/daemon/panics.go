package daemon

import "github.com/damaskrudder/damaskrudder/internal/fault"

// recoverPanic calls f for a request and returns a panic of it as an error, so that what the request
// holds is released as after any other error. The request may have run.
func recoverPanic[T any](d *Daemon, id string, f func() (T, error)) (resp T, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			d.reportPanic(recovered, "request", id)
			err = fault.New(fault.Internal, "internal error")
		}
	}()
	return f()
}
