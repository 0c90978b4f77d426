package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/request"
)

// run is one execution of a step on one server.
type run struct {
	id        string
	picked    pick
	version   string
	startedAt time.Time
	assembler *request.Assembler
	// event is the last event of the run.
	event request.AttemptEvent
	// started is set if the server may have started the run.
	started bool
	// confirmed is set once the server has responded with the run's stream.
	confirmed bool
	// failed is set unless the response is complete or the caller has disconnected.
	failed bool
	// text is the response text so far, while the run is kept.
	text string
}

// mayGoOn reports whether the server may still execute the run after its last event.
func (r *run) mayGoOn() bool {
	return r.event == request.ConnectionLost || r.event == request.ResumeFailed
}

// connectEvent returns the event of a failed connection to start or resume the run. A server that
// does not know a run that it has not confirmed may still receive it.
func (r *run) connectEvent(err error) request.AttemptEvent {
	event := startEvent(err)
	switch {
	case r.started && !mayHaveStarted(err), r.started && !r.confirmed && event == request.RunNotFound:
		return request.ResumeFailed
	}
	return event
}

// guardRun calls f while the containment guard tracks the run and may cancel it.
func (d *Daemon) guardRun(ctx context.Context, s *step, res *stepResult, r *run, f func(context.Context) request.Decision) request.Decision {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	server := containmentServer(r.picked.candidate)
	guarded := d.guard.Begin(server, s.identity, cancel)
	defer func() { d.guard.End(ctx, guarded, server, containmentOutcome(r.event, res.complete, r.started)) }()
	return f(ctx)
}

// followRun reads the response of a run and resumes it on new connections. stream and err are the
// result of the first connection. The decision is to resume if another run that is kept is to be
// resumed.
func (d *Daemon) followRun(ctx context.Context, s *step, res *stepResult, r *run, stream *engine.Stream, err error) request.Decision {
	for {
		if err != nil {
			r.event = r.connectEvent(err)
		} else {
			r.confirmed = true
			d.balancer.recordReached(r.picked.pool, r.picked.candidate.ID)
			r.event = d.readFrames(ctx, s, res, r, stream)
		}
		r.started = r.started || mayHaveStarted(err)
		if res.complete {
			r.failed = false
			res.pick = r.picked
			d.guard.RecordSuccess(s.identity)
			return request.Decision{}
		}
		if ctx.Err() != nil {
			r.event = request.ClientDisconnected
		} else {
			d.recordLoss(s, r, err)
		}
		decision := d.nextAction(s.retryState, r.event)
		if errors.Is(context.Cause(ctx), containment.ErrHeld) {
			r.failed = false
			d.cancelRun(r)
			return request.Decision{Action: request.Retry} // the held request is then refused
		}
		if decision.Action != request.Resume || len(s.kept) > 0 {
			r.failed = r.event != request.ClientDisconnected
			d.leaveRun(s, res, r, decision)
			return decision
		}
		loop.Sleep(ctx, decision.Delay) // if the context ends, so does the resumed connection
		stream, err = d.resume(ctx, r)
	}
}

// recordLoss records what the last event of a run tells about its server.
func (d *Daemon) recordLoss(s *step, r *run, err error) {
	switch {
	case r.event == request.AttemptRefused && errors.Is(err, engine.ErrVersionNotLoaded):
		d.balancer.recordMissingVersion(r.picked, s.model+"@"+s.version)
	case errors.Is(err, engine.ErrRunNotFound), errors.Is(err, engine.ErrNotConnected):
		d.balancer.recordUnreachable(r.picked)
	}
	d.recordContact(&s.forwarding, r.picked, r.event, err)
}

func (d *Daemon) resume(ctx context.Context, r *run) (*engine.Stream, error) {
	d.metrics.resumes.Inc(1)
	d.balancer.recordResume(r.picked)
	return d.engine.Resume(ctx, r.picked.candidate.Address, r.id, r.assembler.LastOffset())
}

// leaveRun keeps a run that may go on while another is tried, and otherwise cancels it.
func (d *Daemon) leaveRun(s *step, res *stepResult, r *run, decision request.Decision) {
	if !r.mayGoOn() || decision.Action != request.Retry && decision.Action != request.Resume {
		d.cancelRun(r)
		return
	}
	r.text = res.text.String()
	s.kept = append(s.kept, r)
	d.log.Info("run kept", "request", s.requestID, "run", r.id, "server", r.picked.candidate.ID, "frames", r.assembler.LastOffset())
}

// resumeKeptRuns resumes the kept runs in turn, after a delay, until the response is complete or the
// decision is another one.
func (d *Daemon) resumeKeptRuns(ctx context.Context, s *step, res *stepResult, delay time.Duration) request.Decision {
	for {
		decision := d.resumeKeptRun(ctx, s, res, delay)
		if decision.Action != request.Resume || res.complete {
			return decision
		}
		delay = decision.Delay
	}
}

// resumeKeptRun resumes the run that was kept first, after a delay.
func (d *Daemon) resumeKeptRun(ctx context.Context, s *step, res *stepResult, delay time.Duration) request.Decision {
	loop.Sleep(ctx, delay) // if the context ends, so does the resumed connection
	if refusal := d.checkHold(s.identity, s.retryState); refusal != nil {
		return request.Decision{Action: request.Fail, Error: refusal}
	}
	r := s.kept[0]
	s.kept = slices.Delete(s.kept, 0, 1)
	s.version = r.version
	s.retryState.RecordSwitch(r.assembler.LastOffset() > 0)
	res.text.Reset()
	res.text.WriteString(r.text)
	return d.guardRun(ctx, s, res, r, func(ctx context.Context) request.Decision {
		stream, err := d.resume(ctx, r)
		return d.followRun(ctx, s, res, r, stream, err)
	})
}

// mayReturn reports whether the request may return to a kept run after no other server could take
// it. After the deadline it may do so only if the run has sent a frame.
func (d *Daemon) mayReturn(ctx context.Context, s *step) bool {
	if ctx.Err() != nil || d.checkHold(s.identity, s.retryState) != nil {
		return false
	}
	if time.Now().Before(s.deadline) {
		return len(s.kept) > 0
	}
	begun := slices.IndexFunc(s.kept, func(r *run) bool { return r.assembler.LastOffset() > 0 })
	if begun < 0 {
		return false
	}
	s.kept[0], s.kept[begun] = s.kept[begun], s.kept[0]
	return true
}

// recordDelivery records that the current run has taken the request, as its text is delivered to the
// caller.
func (d *Daemon) recordDelivery(s *step) {
	s.retryState.RecordDelivery()
	d.cancelKeptRuns(s)
}

// cancelKeptRuns cancels the kept runs of a step.
func (d *Daemon) cancelKeptRuns(s *step) {
	for _, r := range s.kept {
		d.cancelRun(r)
	}
	s.kept = nil
}

// cancelRun cancels a run that will not be resumed. It would otherwise occupy a slot of the server,
// and its response could not be billed.
func (d *Daemon) cancelRun(r *run) {
	if r.started && r.event != request.AttemptRefused && r.event != request.RunFailed && r.event != request.RunNotFound {
		go func() { _ = d.engine.Cancel(r.picked.candidate.Address, r.id) }() // the server ends the run by itself
	}
}
