package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// step is one model's turn to answer a request.
type step struct {
	requestID string
	workspace string
	model     string
	version   string
	// fallbackVersion is the version for a further attempt when a run failed: the
	// running one, for a session that a roll-out moved and that has no answer
	// yet. Empty keeps the version.
	fallbackVersion string
	priority        int
	prompt          string
	body            map[string]json.RawMessage
	retryState      *request.RetryState
	deadline        time.Time
	// fingerprint is the same for every repeat of the request by its caller.
	fingerprint quarantine.Fingerprint
	// onText gets each piece of the answer; its error means the caller left.
	onText func(text string) error
}

// stepResult is what a step gave.
type stepResult struct {
	text       strings.Builder
	usage      engine.Usage
	firstToken time.Duration
	// queueWait is the part of firstToken spent in the server's queue.
	queueWait    time.Duration
	pick         pick
	finishReason string
	complete     bool
}

// runStep drives the attempts of a step until its answer is whole or it fails.
func (d *Daemon) runStep(ctx context.Context, s *step) (*stepResult, error) {
	res := &stepResult{}
	var tried []string
	d.retryBudget.deposit()
	routeReq := routing.Request{PromptTokens: (len(s.prompt) + 3) / 4, BlockTokens: routing.BlockTokens, Urgent: s.priority == 0}
	routeReq.Blocks = routing.Blocks(nil, s.model+"@"+s.version, s.prompt)
	for {
		if refusal := d.checkHold(s.fingerprint, s.retryState); refusal != nil {
			return res, refusal
		}
		if s.retryState.Attempts() > 0 && s.fallbackVersion != "" {
			s.version = s.fallbackVersion
			routeReq.Blocks = routing.Blocks(routeReq.Blocks[:0], s.model+"@"+s.version, s.prompt)
		}
		cfg := d.config.current()
		v, ok := cfg.Version(s.model, s.version)
		if !ok || !cfg.MayDispatch(s.workspace, s.model, s.version) {
			return res, d.versionDisallowed(s)
		}
		routeReq.Budget = time.Until(s.deadline)
		picked, err := d.balancer.pickServer(cfg, v.Pool, s.model+"@"+s.version, &routeReq, tried)
		if err != nil {
			return res, withExecutionState(fault.FromError(err), s.retryState)
		}
		tried = append(tried, picked.candidate.ID)
		s.retryState.RecordAttempt()
		if s.retryState.Attempts() > 1 {
			d.metrics.retries.Inc(1)
		}
		decision := d.runAttempt(ctx, s, res, picked)
		if res.complete {
			return res, nil
		}
		if decision.Action != request.Retry {
			return res, decision.Error
		}
	}
}

// versionDisallowed refuses an attempt whose version lost its permission while the
// request was queued, retried or escalated.
func (d *Daemon) versionDisallowed(s *step) error {
	d.metrics.lastCheckRefused.Inc(1)
	return fault.New(fault.VersionWithdrawn, "%s@%s is no longer allowed", s.model, s.version).WithExecution(s.retryState.ExecutionState())
}

// runAttempt runs once on one server, resuming its stream as often as needed.
func (d *Daemon) runAttempt(ctx context.Context, s *step, res *stepResult, picked pick) request.Decision {
	start := time.Now()
	res.text.Reset()
	runID := fmt.Sprintf("%s-%d", s.requestID, s.retryState.Attempts())
	asm := request.NewAssembler(runID)
	d.metrics.attempts.Inc(1)
	failed, event, started := true, request.ConnectFailed, false
	defer func() { d.finishAttempt(s, picked, start, res, failed) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guarded := d.guard.Begin(containmentServer(picked.candidate), s.fingerprint, cancel)
	defer func() {
		d.guard.End(ctx, guarded, containmentServer(picked.candidate), containmentOutcome(event, res.complete, started))
	}()
	// The configuration may have changed since the pick; this check is the last
	// thing before the request leaves.
	if !d.config.current().MayDispatch(s.workspace, s.model, s.version) {
		failed = false
		return request.Decision{Action: request.Fail, Error: fault.FromError(d.versionDisallowed(s))}
	}
	stream, err := d.engine.Start(ctx, picked.candidate.Address, engine.Run{
		ID: runID, Version: s.model + "@" + s.version, Priority: s.priority, Body: s.body,
	})
	for {
		started = started || err == nil
		event = d.readFrames(s, res, picked, asm, stream, err, start)
		if res.complete {
			failed = false
			d.guard.RecordSuccess(s.fingerprint)
			return request.Decision{}
		}
		if ctx.Err() != nil {
			event = request.CallerDisconnected
		}
		switch event {
		case request.AttemptRefused:
			d.balancer.recordMissingVersion(picked, s.model+"@"+s.version)
		case request.ConnectFailed, request.RunNotFound:
			d.balancer.recordUnreachable(picked)
		}
		decision := d.nextAction(s.retryState, event)
		if errors.Is(context.Cause(ctx), containment.ErrHeld) {
			decision = request.Decision{Action: request.Retry} // the next try is refused
		}
		if decision.Action != request.Resume {
			d.cancelRun(picked, runID, event)
			failed = event != request.CallerDisconnected
			return decision
		}
		d.metrics.resumes.Inc(1)
		stream, err = d.engine.Resume(ctx, picked.candidate.Address, runID, asm.LastOffset())
	}
}

func (d *Daemon) nextAction(state *request.RetryState, event request.AttemptEvent) request.Decision {
	d.retryBudget.mu.Lock()
	defer d.retryBudget.mu.Unlock()
	return state.Next(event, time.Now(), d.retryBudget.budget)
}

// sharedRetryBudget is the retry budget of all requests of this daemon.
type sharedRetryBudget struct {
	mu     sync.Mutex
	budget *request.RetryBudget
}

func (r *sharedRetryBudget) deposit() {
	r.mu.Lock()
	r.budget.Deposit()
	r.mu.Unlock()
}

// cancelRun cancels a run that will not be resumed. A run nobody waits for
// would hold a slot, and its answer could not be billed.
func (d *Daemon) cancelRun(picked pick, runID string, event request.AttemptEvent) {
	if event == request.AttemptRefused || event == request.ConnectFailed || event == request.RunFailed || event == request.RunNotFound {
		return
	}
	go func() { _ = d.engine.Cancel(picked.candidate.Address, runID) }()
}

func (d *Daemon) finishAttempt(s *step, picked pick, start time.Time, res *stepResult, failed bool) {
	d.balancer.recordCompletion(picked, max(0, time.Since(start)-res.queueWait), failed)
	if !res.complete {
		return
	}
	res.pick = picked
}

// readFrames passes the frames of one connection on until the answer is whole or the
// connection is of no more use.
func (d *Daemon) readFrames(s *step, res *stepResult, picked pick, asm *request.Assembler, stream *engine.Stream, err error, start time.Time) request.AttemptEvent {
	if err != nil {
		return startEvent(err)
	}
	defer stream.Close()
	s.retryState.RecordExecution()
	for {
		frame, err := stream.Next()
		if err != nil {
			d.balancer.recordTimeout(picked)
			return request.ConnectionLost
		}
		switch asm.Accept(frame.Frame) {
		case request.Deliver:
		case request.SequenceGap:
			d.metrics.framesDropped.Inc(1)
			return request.ConnectionLost
		default:
			d.metrics.framesDropped.Inc(1)
			continue
		}
		if frame.Failed {
			d.recordRun(s, picked, true, res.firstToken)
			return request.RunFailed
		}
		if err := d.handleFrame(s, res, picked, frame, start); err != nil {
			return request.CallerDisconnected
		}
		if res.complete {
			return request.ConnectionLost
		}
	}
}

func startEvent(err error) request.AttemptEvent {
	switch {
	case errors.Is(err, engine.ErrNotStarted):
		return request.AttemptRefused
	case errors.Is(err, engine.ErrNotConnected):
		return request.ConnectFailed
	case errors.Is(err, engine.ErrRunGone):
		return request.RunNotFound
	}
	return request.ConnectionLost
}

// handleFrame books a delivered frame and hands its text to the caller.
func (d *Daemon) handleFrame(s *step, res *stepResult, picked pick, frame engine.Frame, start time.Time) error {
	if res.firstToken == 0 {
		res.firstToken = time.Since(start)
		res.queueWait = d.balancer.recordFirstToken(picked, res.firstToken)
		d.metrics.firstToken.RecordDuration(res.firstToken)
	}
	if frame.End {
		res.complete, res.usage, res.finishReason = true, frame.Usage, frame.Finish
		d.recordRun(s, picked, false, res.firstToken)
		return nil
	}
	res.text.WriteString(frame.Delta)
	if s.onText == nil || frame.Delta == "" {
		return nil
	}
	s.retryState.RecordDelivery()
	return s.onText(frame.Delta)
}

func (d *Daemon) recordRun(s *step, picked pick, failed bool, firstToken time.Duration) {
	slow := firstToken > slowRunFactor*picked.expectedFirstToken && firstToken > minSlowDelay
	d.rollouts.recordRun(runObservation{
		model: s.model, version: s.version, server: picked.candidate.ID, domain: picked.candidate.FailureDomain,
		failed: failed, timed: !failed && picked.hadFreeSlot, slow: slow,
	})
}
