package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

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
	// kept are the runs that may go on while another server is tried.
	kept []*run
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

// runStep executes a request on one model. A run that is silent or cut off is kept until another
// server has taken the request. If none does, the request returns to it.
func (d *Daemon) runStep(ctx context.Context, s *step) (*stepResult, error) {
	res := &stepResult{}
	defer d.cancelKeptRuns(s)
	err := d.tryServers(ctx, s, res)
	for err != nil && d.mayReturn(ctx, s) {
		s.retryState.RecordReturn()
		d.log.Info("returned to earlier run", "request", s.requestID, "run", s.kept[0].id, "server", s.kept[0].picked.candidate.ID, "runs", len(s.kept), "err", err)
		decision := d.resumeKeptRuns(ctx, s, res, 0)
		switch {
		case res.complete:
			return res, nil
		case decision.Action == request.Cancel:
			return res, decision.Error
		}
	}
	return res, err
}

// tryServers makes attempts until the response is complete or no further one is possible.
func (d *Daemon) tryServers(ctx context.Context, s *step, res *stepResult) error {
	var tried []string
	d.retryBudget.deposit()
	routeReq := routing.Request{PromptTokens: (len(s.prompt) + 3) / 4, BlockTokens: routing.BlockTokens, Urgent: s.priority == 0}
	routeReq.Blocks = routing.Blocks(nil, s.model+"@"+s.version, s.prompt)
	for {
		if refusal := d.checkHold(s.identity, s.retryState); refusal != nil {
			return refusal
		}
		if s.retryState.Attempts() > 0 && s.fallbackVersion != "" {
			s.version = s.fallbackVersion
			routeReq.Blocks = routing.Blocks(routeReq.Blocks[:0], s.model+"@"+s.version, s.prompt)
		}
		cfg := d.config.current()
		v, ok := cfg.Version(s.model, s.version)
		if !ok || !cfg.MayDispatch(s.workspace, s.model, s.version) {
			return d.versionDisallowed(s)
		}
		if helper, found := d.pickHelper(v.Pool, &s.forwarding); found {
			done, err := d.forwardStep(ctx, s, res, helper)
			if done {
				return err
			}
			continue
		}
		routeReq.Budget = time.Until(s.deadline)
		picked, err := d.balancer.pickServer(cfg, v.Pool, s.model+"@"+s.version, &routeReq, tried)
		if helper, found := d.pickOverflow(err, &s.forwarding); found {
			done, err := d.forwardStep(ctx, s, res, helper)
			if done {
				return err
			}
			continue
		}
		if err != nil {
			return withExecutionState(fault.FromError(err), s.retryState)
		}
		tried = append(tried, picked.candidate.ID)
		s.retryState.RecordAttempt()
		if s.retryState.Attempts() > 1 {
			d.metrics.retries.Inc(1)
		}
		decision := d.runAttempt(ctx, s, res, picked)
		if decision.Action == request.Resume {
			decision = d.resumeKeptRuns(ctx, s, res, decision.Delay)
		}
		if res.complete {
			return nil
		}
		if decision.Action != request.Retry {
			return decision.Error
		}
	}
}

// versionDisallowed returns the error for a version that the workspace may no
// longer use, after a configuration change during the request.
func (d *Daemon) versionDisallowed(s *step) error {
	d.metrics.lastCheckRefused.Inc(1)
	return fault.New(fault.VersionWithdrawn, "%s@%s is no longer allowed", s.model, s.version).WithExecution(s.retryState.ExecutionState())
}

// runAttempt makes one attempt on one server. The decision is to resume if an earlier run is to be
// resumed.
func (d *Daemon) runAttempt(ctx context.Context, s *step, res *stepResult, picked pick) request.Decision {
	res.text.Reset()
	r := &run{id: fmt.Sprintf("%s-%d", s.requestID, s.retryState.Attempts()), picked: picked, version: s.version, startedAt: time.Now(), failed: true, event: request.ConnectFailed}
	r.assembler = request.NewAssembler(r.id)
	d.metrics.attempts.Inc(1)
	defer func() { d.balancer.recordCompletion(picked, max(0, time.Since(r.startedAt)-res.queueWait), r.failed) }()
	return d.guardRun(ctx, s, res, r, func(ctx context.Context) request.Decision {
		// The configuration may have changed since the server was picked, so the version is
		// checked again immediately before the request is sent.
		if !d.config.current().MayDispatch(s.workspace, s.model, s.version) {
			r.failed = false
			return request.Decision{Action: request.Fail, Error: fault.FromError(d.versionDisallowed(s))}
		}
		stream, err := d.engine.Start(ctx, picked.candidate.Address, engine.Run{
			ID: r.id, Version: s.model + "@" + s.version, Priority: d.decideUrgency(s, picked).Priority, Body: s.body,
		})
		return d.followRun(ctx, s, res, r, stream, err)
	})
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

// readFrames processes the frames of one connection until the response is complete
// or the connection cannot be used any more.
func (d *Daemon) readFrames(ctx context.Context, s *step, res *stepResult, r *run, stream *engine.Stream) request.AttemptEvent {
	defer stream.Close()
	s.retryState.RecordExecution()
	for {
		frame, err := stream.Next()
		if err != nil {
			if ctx.Err() == nil {
				d.balancer.recordTimeout(r.picked)
			}
			return request.ConnectionLost
		}
		switch r.assembler.Accept(frame.Frame) {
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
			d.recordRun(s, r.picked, true, res.firstToken)
			return request.RunFailed
		}
		if err := d.handleFrame(s, res, r, frame); err != nil {
			return request.ClientDisconnected
		}
		if res.complete {
			return request.ConnectionLost
		}
	}
}

// startEvent returns the event of a run that could not be started.
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
func (d *Daemon) handleFrame(s *step, res *stepResult, r *run, frame engine.Frame) error {
	if res.firstToken == 0 {
		res.firstToken = time.Since(r.startedAt)
		res.queueWait = d.balancer.recordFirstToken(r.picked, res.firstToken)
		d.metrics.firstToken.RecordDuration(res.firstToken)
	}
	if frame.End {
		res.complete, res.usage, res.finishReason = true, frame.Usage, frame.FinishReason
		d.recordRun(s, r.picked, false, res.firstToken)
		return nil
	}
	res.text.WriteString(frame.Delta)
	if s.onText == nil || frame.Delta == "" {
		return nil
	}
	d.recordDelivery(s)
	return s.onText(frame.Delta)
}

func (d *Daemon) recordRun(s *step, picked pick, failed bool, firstToken time.Duration) {
	slow := firstToken > slowRunFactor*picked.expectedFirstToken && firstToken > minSlowDelay
	d.rollouts.recordRun(runObservation{
		model: s.model, version: s.version, server: picked.candidate.ID, domain: picked.candidate.FailureDomain,
		failed: failed, timed: !failed && picked.hadFreeSlot, slow: slow,
	})
}
