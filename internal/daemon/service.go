package daemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/billing"
	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// ServiceRequest is a validated call of a plain service.
type ServiceRequest struct {
	Workspace string
	Service   string
	Body      []byte
	// IdempotencyKey is the Idempotency-Key header, required for non-repeatable
	// services.
	IdempotencyKey string
	// forwarded is set if another daemon has forwarded the call.
	forwarded bool
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status   int
	Body     []byte
	Replayed bool
}

// CallService calls a plain service. Errors are of type *fault.Error.
func (d *Daemon) CallService(ctx context.Context, id string, req ServiceRequest) (*ServiceResponse, error) {
	done, err := d.admit()
	if err != nil {
		return nil, err
	}
	defer done()
	start := time.Now()
	exec := &execution{model: "service " + req.Service}
	couldDeny := d.config.canDeny()
	resp, err := d.callService(ctx, id, req, exec)
	err = d.withholdDenial(couldDeny, err)
	d.recordOutcome(req.Workspace, exec, start, err)
	return resp, err
}

func (d *Daemon) callService(ctx context.Context, id string, req ServiceRequest, exec *execution) (*ServiceResponse, error) {
	cfg := d.config.current()
	w := cfg.Workspaces[req.Workspace]
	svc, ok := cfg.Services[req.Service]
	if !ok {
		return nil, fault.NewField(fault.UnknownModel, "service", "no service %q", req.Service)
	}
	if !slices.Contains(w.Services, req.Service) {
		return nil, fault.NewField(fault.NotEntitled, "service", "the workspace may not call %q", req.Service)
	}
	if svc.NonRepeatable && req.IdempotencyKey == "" {
		return nil, fault.NewField(fault.BadRequest, "Idempotency-Key", "service %q needs a key: its calls may not be repeated", req.Service)
	}
	reserved, err := d.limits.reserve(ctx, req.Workspace, w, 0)
	if err != nil {
		return nil, err
	}
	defer reserved.settle(0)
	if err := d.usage.reserve(); err != nil {
		return nil, err
	}
	resp, ran, err := d.callWithClaim(ctx, id, req, svc, w)
	if !ran {
		d.usage.cancel()
		return resp, err
	}
	outcome := billing.Complete
	if err != nil {
		outcome = billing.Truncated
	}
	stored := d.usage.add(ctx, billing.UsageRecord{
		RequestID: id, Workspace: req.Workspace, Model: req.Service, Micros: svc.Micros,
		Outcome: outcome, UnixMillis: time.Now().UnixMilli(), Daemon: d.settings.ID,
		FirstTokenMillis: exec.firstToken.Milliseconds(),
	})
	if !stored && err == nil {
		return nil, unprotectedError()
	}
	return resp, err
}

// callWithClaim claims the idempotency key, if there is one, and dispatches the call.
// ran reports whether a server ran the call or may have run it.
func (d *Daemon) callWithClaim(ctx context.Context, id string, req ServiceRequest, svc fleet.Service, w fleet.Workspace) (resp *ServiceResponse, ran bool, err error) {
	var granted *claim
	if req.IdempotencyKey != "" {
		var replay *request.ClaimResult
		granted, replay, err = d.claims.acquire(ctx, req.Workspace, req.IdempotencyKey, req.Body, id)
		if err != nil {
			return nil, false, err
		}
		if replay != nil {
			return &ServiceResponse{replay.Status, replay.Response, true}, false, nil
		}
	}
	resp, err = recoverPanic(d, id, func() (*ServiceResponse, error) { return d.dispatchCall(ctx, id, req, svc, w) })
	if err != nil {
		state := fault.FromError(err).ExecutionState()
		granted.finish(state, 0, nil)
		return nil, state != fault.NotRun, err
	}
	granted.finish(fault.Ran, resp.Status, resp.Body)
	return resp, true, nil
}

// dispatchCall tries servers until one responds or a retry is not allowed.
func (d *Daemon) dispatchCall(ctx context.Context, id string, req ServiceRequest, svc fleet.Service, w fleet.Workspace) (*ServiceResponse, error) {
	limit := defaultDeadline
	if w.DeadlineMillis > 0 {
		limit = time.Duration(w.DeadlineMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	state := &request.RetryState{Repeatable: req.IdempotencyKey == "", Deadline: time.Now().Add(limit)}
	forwarding := &forwarding{forwarded: req.forwarded}
	d.retryBudget.deposit()
	var tried []string
	identity := quarantine.Identity{Request: quarantine.FingerprintOf(req.Workspace, "", "call", req.Service, req.Body)}
	for {
		if refusal := d.checkHold(identity, state); refusal != nil {
			return nil, refusal
		}
		cfg := d.config.current()
		if !slices.Contains(cfg.Workspaces[req.Workspace].Services, req.Service) {
			d.metrics.lastCheckRefused.Inc(1)
			return nil, fault.New(fault.NotEntitled, "service %s is no longer allowed", req.Service).WithExecution(state.ExecutionState())
		}
		if helper, found := d.pickHelper(svc.Pool, forwarding); found {
			resp, done, err := d.forwardCall(ctx, id, req, state, helper)
			if done {
				return resp, err
			}
			continue
		}
		picked, err := d.balancer.pickServer(cfg, svc.Pool, "", &routing.Request{}, tried)
		if helper, found := d.pickOverflow(err, forwarding); found {
			resp, done, err := d.forwardCall(ctx, id, req, state, helper)
			if done {
				return resp, err
			}
			continue
		}
		if err != nil {
			return nil, withExecutionState(fault.FromError(err), state)
		}
		tried = append(tried, picked.candidate.ID)
		state.RecordAttempt()
		d.metrics.attempts.Inc(1)
		start := time.Now()
		status, body, err := d.guardedCall(ctx, id, picked, identity, req.Body, start)
		if err == nil {
			d.balancer.recordReached(picked.pool, picked.candidate.ID)
			return &ServiceResponse{Status: status, Body: body}, nil
		}
		event := request.RunNotFound
		if errors.Is(err, engine.ErrNotConnected) {
			event = request.ConnectFailed
			d.balancer.recordUnreachable(picked)
		}
		d.recordContact(forwarding, picked, event, err)
		if decision := d.nextAction(state, event); decision.Action != request.Retry {
			return nil, decision.Error
		}
	}
}

// guardedCall calls a server and reports the outcome to the balancer and the containment guard.
func (d *Daemon) guardedCall(ctx context.Context, id string, picked pick, identity quarantine.Identity, body []byte, start time.Time) (status int, response []byte, err error) {
	failed, outcome := true, containment.Canceled
	defer func() { d.balancer.recordCompletion(picked, time.Since(start), failed) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := d.guard.Begin(containmentServer(picked.candidate), identity, cancel)
	defer func() {
		d.guard.End(ctx, attempt, containmentServer(picked.candidate), outcome)
		if !failed {
			d.guard.RecordSuccess(identity)
		}
	}()
	status, response, err = d.engine.Call(ctx, picked.candidate.Address, id, body)
	failed, outcome = err != nil || status >= http.StatusInternalServerError, containment.ConnectionLost
	switch {
	case err == nil, errors.Is(err, engine.ErrNotConnected):
		outcome = containment.Completed
	case ctx.Err() != nil:
		outcome = containment.Canceled
	}
	return status, response, err
}
