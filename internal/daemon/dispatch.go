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

// step is the execution of a request on one model.
type step struct {
	requestID string
	workspace string
	model     string
	version   string
	// fallbackVersion, if not empty, replaces version after a failed attempt. It is
	// the stable version, set if the roll-out chose version for an unpinned session.
	fallbackVersion string
	priority        int
	prompt          string
	body            map[string]json.RawMessage
	retryState      *request.RetryState
	deadline        time.Time
	// identity identifies the request across repeats by the caller, and its parts.
	identity quarantine.Identity
	// forwarding is the state of forwarding to other daemons.
	forwarding
	// onText receives each piece of the response. An error means that the caller
	// disconnected.
	onText func(text string) error
}

type stepResult struct {
	text       strings.Builder
	usage      engine.Usage
	firstToken time.Duration
	// queueWait is the part of firstToken spent in the queue of the server.
	queueWait    time.Duration
	pick         pick
	finishReason string
	complete     bool
}

// runStep makes attempts until the response is complete or the step fails.
func (d *Daemon) runStep(ctx context.Context, s *step) (*stepResult, error) {
	res := &stepResult{}
	var tried []string
	d.retryBudget.deposit()
	routeReq := routing.Request{PromptTokens: (len(s.prompt) + 3) / 4, BlockTokens: routing.BlockTokens, Urgent: s.priority == 0}
	routeReq.Blocks = routing.Blocks(nil, s.model+"@"+s.version, s.prompt)
	for {
		if refusal := d.checkHold(s.identity, s.retryState); refusal != nil {
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
		if helper, found := d.pickHelper(v.Pool, &s.forwarding); found {
			done, err := d.forwardStep(ctx, s, res, helper)
			if done {
				return res, err
			}
			continue
		}
		routeReq.Budget = time.Until(s.deadline)
		picked, err := d.balancer.pickServer(cfg, v.Pool, s.model+"@"+s.version, &routeReq, tried)
		if helper, found := d.pickOverflow(err, &s.forwarding); found {
			done, err := d.forwardStep(ctx, s, res, helper)
			if done {
				return res, err
			}
			continue
		}
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

// versionDisallowed returns the error for a version that the workspace may no
// longer use, after a configuration change during the request.
func (d *Daemon) versionDisallowed(s *step) error {
	d.metrics.lastCheckRefused.Inc(1)
	return fault.New(fault.VersionWithdrawn, "%s@%s is no longer allowed", s.model, s.version).WithExecution(s.retryState.ExecutionState())
}

// runAttempt makes one attempt on one server. It resumes the stream on a new
// connection when the current one is lost.
func (d *Daemon) runAttempt(ctx context.Context, s *step, res *stepResult, picked pick) request.Decision {
	start := time.Now()
	res.text.Reset()
	runID := fmt.Sprintf("%s-%d", s.requestID, s.retryState.Attempts())
	assembler := request.NewAssembler(runID)
	d.metrics.attempts.Inc(1)
	failed, event, started := true, request.ConnectFailed, false
	defer func() { d.finishAttempt(s, picked, start, res, failed) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guarded := d.guard.Begin(containmentServer(picked.candidate), s.identity, cancel)
	defer func() {
		d.guard.End(ctx, guarded, containmentServer(picked.candidate), containmentOutcome(event, res.complete, started))
	}()
	// The configuration may have changed since the server was picked, so the version is
	// checked again immediately before the request is sent.
	if !d.config.current().MayDispatch(s.workspace, s.model, s.version) {
		failed = false
		return request.Decision{Action: request.Fail, Error: fault.FromError(d.versionDisallowed(s))}
	}
	stream, err := d.engine.Start(ctx, picked.candidate.Address, engine.Run{
		ID: runID, Version: s.model + "@" + s.version, Priority: d.decideUrgency(s, picked).Priority, Body: s.body,
	})
	for {
		started = started || mayHaveStarted(err)
		if err == nil {
			d.balancer.recordReached(picked.pool, picked.candidate.ID)
		}
		event = d.readFrames(s, res, picked, assembler, stream, err, start)
		if res.complete {
			failed = false
			d.guard.RecordSuccess(s.identity)
			return request.Decision{}
		}
		if ctx.Err() != nil {
			event = request.ClientDisconnected
		}
		switch event {
		case request.AttemptRefused:
			if errors.Is(err, engine.ErrVersionNotLoaded) {
				d.balancer.recordMissingVersion(picked, s.model+"@"+s.version)
			}
		case request.ConnectFailed, request.RunNotFound:
			d.balancer.recordUnreachable(picked)
		}
		d.recordContact(&s.forwarding, picked, event, err)
		decision := d.nextAction(s.retryState, event)
		if errors.Is(context.Cause(ctx), containment.ErrHeld) {
			decision = request.Decision{Action: request.Retry} // runStep then refuses the held request
		}
		if decision.Action != request.Resume {
			d.cancelRun(picked, runID, event)
			failed = event != request.ClientDisconnected
			return decision
		}
		d.metrics.resumes.Inc(1)
		d.balancer.recordResume(picked)
		stream, err = d.engine.Resume(ctx, picked.candidate.Address, runID, assembler.LastOffset())
	}
}

// nextAction decides what follows an event. An attempt that reached no server loads none, so its
// retry is not charged to the budget.
func (d *Daemon) nextAction(state *request.RetryState, event request.AttemptEvent) request.Decision {
	if event == request.ConnectFailed {
		return state.Next(event, time.Now(), request.NewRetryBudget())
	}
	d.retryBudget.mu.Lock()
	defer d.retryBudget.mu.Unlock()
	return state.Next(event, time.Now(), d.retryBudget.budget)
}

// retryBudget is the retry budget shared by all requests of this daemon.
type retryBudget struct {
	mu     sync.Mutex
	budget *request.RetryBudget
}

func (r *retryBudget) deposit() {
	r.mu.Lock()
	r.budget.Deposit()
	r.mu.Unlock()
}

// cancelRun cancels a run that will not be resumed. It would otherwise occupy a
// slot of the server, and its response could not be billed.
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

// readFrames processes the frames of one connection until the response is complete
// or the connection cannot be used any more.
func (d *Daemon) readFrames(s *step, res *stepResult, picked pick, assembler *request.Assembler, stream *engine.Stream, err error, start time.Time) request.AttemptEvent {
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
		switch assembler.Accept(frame.Frame) {
		case request.Deliver:
		case request.SequenceGap:
			d.metrics.framesDropped.Inc(1)
			return request.ConnectionLost
		default:
			d.metrics.framesDropped.Inc(1)
			continue
		}
		s.retryState.RecordProgress()
		if frame.Failed {
			d.recordRun(s, picked, true, res.firstToken)
			return request.RunFailed
		}
		if err := d.handleFrame(s, res, picked, frame, start); err != nil {
			return request.ClientDisconnected
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
	case errors.Is(err, engine.ErrRunNotFound):
		return request.RunNotFound
	}
	return request.ConnectionLost
}

// handleFrame adds a frame to the result and passes its text to the caller.
func (d *Daemon) handleFrame(s *step, res *stepResult, picked pick, frame engine.Frame, start time.Time) error {
	if res.firstToken == 0 {
		res.firstToken = time.Since(start)
		res.queueWait = d.balancer.recordFirstToken(picked, res.firstToken)
		d.metrics.firstToken.RecordDuration(res.firstToken)
	}
	if frame.End {
		res.complete, res.usage, res.finishReason = true, frame.Usage, frame.FinishReason
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
