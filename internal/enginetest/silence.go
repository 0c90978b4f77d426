package enginetest

import (
	"context"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// Silence makes servers deliver and accept nothing for a period, after which they go on.
func (e *Engines) Silence(period time.Duration, ids ...string) {
	resumed := make(chan struct{})
	e.mu.Lock()
	for _, id := range ids {
		e.silent[id] = resumed
	}
	e.mu.Unlock()
	time.AfterFunc(period, func() {
		e.mu.Lock()
		for _, id := range ids {
			delete(e.silent, id)
		}
		e.mu.Unlock()
		close(resumed)
	})
}

// await waits while a server is silent.
func (e *Engines) await(ctx context.Context, id string) error {
	e.mu.Lock()
	resumed, silent := e.silent[id]
	e.mu.Unlock()
	if !silent {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// accept opens a connection to a server.
func (e *Engines) accept(ctx context.Context, id string) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	switch err := e.await(dialCtx, id); {
	case ctx.Err() != nil:
		return &upstream.Error{Reason: upstream.Canceled, Err: context.Cause(ctx)}
	case err != nil:
		return &upstream.Error{Reason: upstream.Unreachable, Err: syscall.ETIMEDOUT}
	}
	return nil
}
