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
	rr := routing.Request{PromptTokens: (len(s.prompt) + 3) / 4, BlockTokens: routing.BlockTokens, Urgent: s.priority == 0}
	rr.Blocks = routing.Blocks(nil, s.model+"@"+s.version, s.prompt)
	for {
		if refusal := d.checkHold(s.fingerprint, s.retryState); refusal != nil {
			return res, refusal
		}
		if s.retryState.Attempts() > 0 && s.fallbackVersion != "" {
			s.version = s.fallbackVersion
			rr.Blocks = routing.Blocks(rr.Blocks[:0], s.model+"@"+s.version, s.prompt)
		}
		c := d.config.current()
		v, ok := c.Version(s.model, s.version)
		if !ok || !c.MayDispatch(s.workspace, s.model, s.version) {
			return res, d.versionDisallowed(s)
		}
		rr.Budget = time.Until(s.deadline)
		ch, err := d.balancer.pickServer(c, v.Pool, s.model+"@"+s.version, &rr, tried)
		if err != nil {
			return res, withExecutionState(fault.FromError(err), s.retryState)
		}
		tried = append(tried, ch.candidate.ID)
		s.retryState.RecordAttempt()
		if s.retryState.Attempts() > 1 {
			d.metrics.retries.Inc(1)
		}
		dec := d.runAttempt(ctx, s, res, ch)
		if res.complete {
			return res, nil
		}
		if dec.Action != request.Retry {
			return res, dec.Error
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
func (d *Daemon) runAttempt(ctx context.Context, s *step, res *stepResult, ch pick) request.Decision {
	began := time.Now()
	res.text.Reset()
	runID := fmt.Sprintf("%s-%d", s.requestID, s.retryState.Attempts())
	asm := request.NewAssembler(runID)
	d.metrics.attempts.Inc(1)
	failed, event, started := true, request.ConnectFailed, false
	defer func() { d.finishAttempt(s, ch, began, res, failed) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	u := d.guard.Begin(containmentServer(ch.candidate), s.fingerprint, cancel)
	defer func() {
		d.guard.End(ctx, u, containmentServer(ch.candidate), containmentOutcome(event, res.complete, started))
	}()
	// The configuration may have changed since the pick; this check is the last
	// thing before the request leaves.
	if !d.config.current().MayDispatch(s.workspace, s.model, s.version) {
		failed = false
		return request.Decision{Action: request.Fail, Error: fault.FromError(d.versionDisallowed(s))}
	}
	stream, err := d.engine.Start(ctx, ch.candidate.Address, engine.Run{
		ID: runID, Version: s.model + "@" + s.version, Priority: s.priority, Body: s.body,
	})
	for {
		started = started || err == nil
		event = d.readFrames(s, res, ch, asm, stream, err, began)
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
			d.balancer.recordMissingVersion(ch, s.model+"@"+s.version)
		case request.ConnectFailed, request.RunNotFound:
			d.balancer.recordUnreachable(ch)
		}
		dec := d.nextAction(s.retryState, event)
		if errors.Is(context.Cause(ctx), containment.ErrHeld) {
			dec = request.Decision{Action: request.Retry} // the next try is refused
		}
		if dec.Action != request.Resume {
			d.cancelRun(ch, runID, event)
			failed = event != request.CallerDisconnected
			return dec
		}
		d.metrics.resumes.Inc(1)
		stream, err = d.engine.Resume(ctx, ch.candidate.Address, runID, asm.LastOffset())
	}
}

func (d *Daemon) nextAction(life *request.RetryState, e request.AttemptEvent) request.Decision {
	d.retryBudget.mu.Lock()
	defer d.retryBudget.mu.Unlock()
	return life.Next(e, time.Now(), d.retryBudget.budget)
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
func (d *Daemon) cancelRun(ch pick, runID string, e request.AttemptEvent) {
	if e == request.AttemptRefused || e == request.ConnectFailed || e == request.RunFailed || e == request.RunNotFound {
		return
	}
	go func() { _ = d.engine.Cancel(ch.candidate.Address, runID) }()
}

func (d *Daemon) finishAttempt(s *step, ch pick, began time.Time, res *stepResult, failed bool) {
	d.balancer.recordCompletion(ch, max(0, time.Since(began)-res.queueWait), failed)
	if !res.complete {
		return
	}
	res.pick = ch
}

// readFrames passes the frames of one connection on until the answer is whole or the
// connection is of no more use.
func (d *Daemon) readFrames(s *step, res *stepResult, ch pick, asm *request.Assembler, stream *engine.Stream, err error, began time.Time) request.AttemptEvent {
	if err != nil {
		return startEvent(err)
	}
	defer stream.Close()
	s.retryState.RecordExecution()
	for {
		f, err := stream.Next()
		if err != nil {
			d.balancer.recordTimeout(ch)
			return request.ConnectionLost
		}
		switch asm.Accept(f.Frame) {
		case request.Deliver:
		case request.SequenceGap:
			d.metrics.framesDropped.Inc(1)
			return request.ConnectionLost
		default:
			d.metrics.framesDropped.Inc(1)
			continue
		}
		if f.Failed {
			d.recordRun(s, ch, true, res.firstToken)
			return request.RunFailed
		}
		if err := d.handleFrame(s, res, ch, f, began); err != nil {
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
func (d *Daemon) handleFrame(s *step, res *stepResult, ch pick, f engine.Frame, began time.Time) error {
	if res.firstToken == 0 {
		res.firstToken = time.Since(began)
		res.queueWait = d.balancer.recordFirstToken(ch, res.firstToken)
		d.metrics.firstToken.RecordDuration(res.firstToken)
	}
	if f.End {
		res.complete, res.usage, res.finishReason = true, f.Usage, f.Finish
		d.recordRun(s, ch, false, res.firstToken)
		return nil
	}
	res.text.WriteString(f.Delta)
	if s.onText == nil || f.Delta == "" {
		return nil
	}
	s.retryState.RecordDelivery()
	return s.onText(f.Delta)
}

func (d *Daemon) recordRun(s *step, ch pick, failed bool, first time.Duration) {
	slow := first > slowRunFactor*ch.expectedFirstToken && first > minSlowDelay
	d.rollouts.recordRun(runObservation{
		model: s.model, version: s.version, server: ch.candidate.ID, domain: ch.candidate.FailureDomain,
		failed: failed, timed: !failed && ch.hadFreeSlot, slow: slow,
	})
}
