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
	// fallback is the version for a further attempt when a run failed: the
	// running one, for a session that a roll-out moved and that has no answer
	// yet. Empty keeps the version.
	fallback string
	priority int
	prompt   string
	body     map[string]json.RawMessage
	life     *request.RetryState
	deadline time.Time
	// fingerprint is the same for every repeat of the request by its caller.
	fingerprint quarantine.Fingerprint
	// deliver gets each piece of the answer; its error means the caller left.
	deliver func(text string) error
}

// stepResult is what a step gave.
type stepResult struct {
	text       strings.Builder
	usage      engine.Usage
	firstToken time.Duration
	// wait is the part of firstToken spent in the server's queue.
	wait     time.Duration
	choice   choice
	finish   string
	complete bool
}

// run drives the attempts of a step until its answer is whole or it fails.
func (d *Daemon) run(ctx context.Context, s *step) (*stepResult, error) {
	res := &stepResult{}
	var tried []string
	d.retries.earn()
	rr := routing.Request{PromptTokens: (len(s.prompt) + 3) / 4, BlockTokens: routing.BlockTokens, Urgent: s.priority == 0}
	rr.Blocks = routing.Blocks(nil, s.model+"@"+s.version, s.prompt)
	for {
		if refusal := d.held(s.fingerprint, s.life); refusal != nil {
			return res, refusal
		}
		if s.life.Attempts() > 0 && s.fallback != "" {
			s.version = s.fallback
			rr.Blocks = routing.Blocks(rr.Blocks[:0], s.model+"@"+s.version, s.prompt)
		}
		c := d.config.current()
		v, ok := c.Version(s.model, s.version)
		if !ok || !c.MayDispatch(s.workspace, s.model, s.version) {
			return res, d.lastCheck(s)
		}
		rr.Budget = time.Until(s.deadline)
		ch, err := d.pools.pick(c, v.Pool, s.model+"@"+s.version, &rr, tried)
		if err != nil {
			return res, truthful(fault.FromError(err), s.life)
		}
		tried = append(tried, ch.candidate.ID)
		s.life.RecordAttempt()
		if s.life.Attempts() > 1 {
			d.metrics.retries.Inc(1)
		}
		dec := d.attempt(ctx, s, res, ch)
		if res.complete {
			return res, nil
		}
		if dec.Action != request.Retry {
			return res, dec.Error
		}
	}
}

// lastCheck refuses an attempt whose version lost its permission while the
// request was queued, retried or escalated.
func (d *Daemon) lastCheck(s *step) error {
	d.metrics.lastCheck.Inc(1)
	return fault.New(fault.VersionWithdrawn, "%s@%s is no longer allowed", s.model, s.version).WithExecution(s.life.ExecutionState())
}

// attempt runs once on one server, resuming its stream as often as needed.
func (d *Daemon) attempt(ctx context.Context, s *step, res *stepResult, ch choice) request.Decision {
	began := time.Now()
	res.text.Reset()
	runID := fmt.Sprintf("%s-%d", s.requestID, s.life.Attempts())
	asm := request.NewAssembler(runID)
	d.metrics.attempts.Inc(1)
	failed, event, started := true, request.ConnectFailed, false
	defer func() { d.finishAttempt(s, ch, began, res, failed) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	u := d.guard.Begin(guarded(ch.candidate), s.fingerprint, cancel)
	defer func() { d.guard.End(ctx, u, guarded(ch.candidate), fateOf(event, res.complete, started)) }()
	// The configuration may have changed since the pick; this check is the last
	// thing before the request leaves.
	if !d.config.current().MayDispatch(s.workspace, s.model, s.version) {
		failed = false
		return request.Decision{Action: request.Fail, Error: fault.FromError(d.lastCheck(s))}
	}
	stream, err := d.engine.Start(ctx, ch.candidate.Address, engine.Run{
		ID: runID, Version: s.model + "@" + s.version, Priority: s.priority, Body: s.body,
	})
	for {
		started = started || err == nil
		event = d.pump(s, res, ch, asm, stream, err, began)
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
			d.pools.lacks(ch, s.model+"@"+s.version)
		case request.ConnectFailed, request.RunNotFound:
			d.pools.unreachable(ch)
		}
		dec := d.decide(s.life, event)
		if errors.Is(context.Cause(ctx), containment.ErrHeld) {
			dec = request.Decision{Action: request.Retry} // the next try is refused
		}
		if dec.Action != request.Resume {
			d.abandonRun(ch, runID, event)
			failed = event != request.CallerDisconnected
			return dec
		}
		d.metrics.resumes.Inc(1)
		stream, err = d.engine.Resume(ctx, ch.candidate.Address, runID, asm.LastOffset())
	}
}

func (d *Daemon) decide(life *request.RetryState, e request.AttemptEvent) request.Decision {
	d.retries.mu.Lock()
	defer d.retries.mu.Unlock()
	return life.Next(e, time.Now(), d.retries.budget)
}

// retries is the retry budget of all requests of this daemon.
type retries struct {
	mu     sync.Mutex
	budget *request.RetryBudget
}

func (r *retries) earn() {
	r.mu.Lock()
	r.budget.Deposit()
	r.mu.Unlock()
}

// abandonRun cancels a run that will not be resumed. A run nobody waits for
// would hold a slot, and its answer could not be billed.
func (d *Daemon) abandonRun(ch choice, runID string, e request.AttemptEvent) {
	if e == request.AttemptRefused || e == request.ConnectFailed || e == request.RunFailed || e == request.RunNotFound {
		return
	}
	go func() { _ = d.engine.Cancel(ch.candidate.Address, runID) }()
}

func (d *Daemon) finishAttempt(s *step, ch choice, began time.Time, res *stepResult, failed bool) {
	d.pools.completed(ch, max(0, time.Since(began)-res.wait), failed)
	if !res.complete {
		return
	}
	res.choice = ch
}

// pump passes the frames of one connection on until the answer is whole or the
// connection is of no more use.
func (d *Daemon) pump(s *step, res *stepResult, ch choice, asm *request.Assembler, stream *engine.Stream, err error, began time.Time) request.AttemptEvent {
	if err != nil {
		return startEvent(err)
	}
	defer stream.Close()
	s.life.RecordExecution()
	for {
		f, err := stream.Next()
		if err != nil {
			d.pools.silent(ch)
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
			d.observeRun(s, ch, true, res.firstToken)
			return request.RunFailed
		}
		if err := d.take(s, res, ch, f, began); err != nil {
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
	case errors.Is(err, engine.ErrRunNotFound):
		return request.RunNotFound
	}
	return request.ConnectionLost
}

// take books a delivered frame and hands its text to the caller.
func (d *Daemon) take(s *step, res *stepResult, ch choice, f engine.Frame, began time.Time) error {
	if res.firstToken == 0 {
		res.firstToken = time.Since(began)
		res.wait = d.pools.firstToken(ch, res.firstToken)
		d.metrics.firstToken.RecordDuration(res.firstToken)
	}
	if f.End {
		res.complete, res.usage, res.finish = true, f.Usage, f.FinishReason
		d.observeRun(s, ch, false, res.firstToken)
		return nil
	}
	res.text.WriteString(f.Delta)
	if s.deliver == nil || f.Delta == "" {
		return nil
	}
	s.life.RecordDelivery()
	return s.deliver(f.Delta)
}

func (d *Daemon) observeRun(s *step, ch choice, failed bool, first time.Duration) {
	slow := first > slowRun*ch.expected && first > slowFloor
	d.rollouts.observe(observation{
		model: s.model, version: s.version, server: ch.candidate.ID, domain: ch.candidate.FailureDomain,
		failed: failed, timed: !failed && ch.spare, slow: slow,
	})
}
