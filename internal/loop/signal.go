package loop

import (
	"context"
	"time"
)

// Signal requests runs of a function. Requests before the next run are merged into one.
type Signal struct{ pending chan struct{} }

// NewSignal returns a signal without a request.
func NewSignal() Signal { return Signal{make(chan struct{}, 1)} }

// Request requests a run. It does not block.
func (s Signal) Request() {
	select {
	case s.pending <- struct{}{}:
	default: // a run is already requested
	}
}

// Run calls do for each request, with a pause after each call, until the context ends.
func (s Signal) Run(ctx context.Context, pause time.Duration, do func(ctx context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pending:
			do(ctx)
		}
		Sleep(ctx, pause)
	}
}
