package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/logs"
	"github.com/damaskrudder/damaskrudder/internal/recovery"
)

// errPanic is the reason of a response that ends because of a panic.
var errPanic = errors.New("internal error")

// trackedWriter records whether the response of a call has begun.
type trackedWriter struct {
	ResponseWriter
	begun atomic.Bool
}

// Refuse implements ResponseWriter.
func (w *trackedWriter) Refuse(e *fault.Error) {
	w.begun.Store(true)
	w.ResponseWriter.Refuse(e)
}

// WriteHeader implements ResponseWriter.
func (w *trackedWriter) WriteHeader(status int, h http.Header, length int64) {
	w.begun.Store(true)
	w.ResponseWriter.WriteHeader(status, h, length)
}

// Interrupt implements interrupter.
func (w *trackedWriter) Interrupt() { interrupt(w.ResponseWriter) }

// endPanicked ends a call whose processing panicked: it releases what the call holds, and refuses the
// call or, if its response has begun, aborts it. The exchange is nil if the call was not admitted.
func (r *Relay) endPanicked(ctx context.Context, c *Call, out *trackedWriter, x *exchange, recovered any) {
	if recovered == http.ErrAbortHandler {
		panic(recovered)
	}
	r.reportPanic(c, recovered)
	if x != nil {
		x.releaseSends(ctx)
	}
	begun := out.begun.Load() || x != nil && x.paced != nil
	if !begun {
		r.Refuse(c, out, panicRefusal(x))
		return
	}
	r.log.Info("cut", "request", logs.Bounded(c.ID), "kind", fault.Internal, "why", errPanic)
	r.Metrics.ResponsesAborted.Inc(1)
	if x == nil || x.paced == nil {
		out.Abort()
		return
	}
	x.paced.interrupt(errPanic)
	x.aborted = true
	x.finish(ctx)
}

// panicRefusal returns the refusal of a call whose processing panicked. It states that the call has
// not run only if nothing was sent.
func panicRefusal(x *exchange) *fault.Error {
	state := fault.Unknown
	if x == nil || x.retryState.Sends() == 0 {
		state = fault.NotRun
	}
	return fault.New(fault.Internal, "internal error").WithExecution(state)
}

// releaseSends ends the sends that a panic has left open. Their connections end with their contexts.
func (x *exchange) releaseSends(ctx context.Context) {
	if c := x.contest.Load(); c != nil {
		c.cancel(errPanic)
		<-c.done // it uses the exchange
	}
	if t := x.selected; t != nil {
		x.relay.State.recordSendEnd(t, x.relay.State.bootTime()-t.pickedAt, false)
	}
	for s := range x.open {
		s.release(ctx)
	}
}

// release ends a send of which nothing more is known.
func (s *send) release(ctx context.Context) {
	r := s.x.relay
	r.liveness.untrack(s.watch)
	r.Rollouts.endAnswer(s.target)
	if !s.target.ended {
		r.State.recordSendEnd(s.target, time.Since(s.sentAt), false)
	}
	r.Guard.End(ctx, s.run, containment.Server{}, containment.Canceled)
	s.head.release()
	s.stop()
	s.cancel(errPanic)
}

// reportPanic counts and logs a recovered panic.
func (r *Relay) reportPanic(c *Call, recovered any) {
	recovery.Report(recovered, r.Metrics.Panics, r.log, "request", logs.Bounded(c.ID))
}

func (x *exchange) reportPanic(recovered any) { x.relay.reportPanic(x.call, recovered) }
