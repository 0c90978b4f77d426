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

// ServiceRequest is a checked call of a plain service.
type ServiceRequest struct {
	Workspace string
	Service   string
	Body      []byte
	// IdempotencyKey is the Idempotency-Key, required for non-repeatable services.
	IdempotencyKey string
}

// ServiceAnswer is a plain service's reply.
type ServiceAnswer struct {
	Status   int
	Body     []byte
	Replayed bool
}

// CallService answers a plain service call. Its error is always a *fault.Error.
func (d *Daemon) CallService(ctx context.Context, id string, q ServiceRequest) (*ServiceAnswer, error) {
	done, err := d.enter()
	if err != nil {
		return nil, err
	}
	defer done()
	began := time.Now()
	st := &served{model: "service " + q.Service}
	a, err := d.call(ctx, id, q, st)
	d.account(q.Workspace, st, began, err)
	return a, err
}

func (d *Daemon) call(ctx context.Context, id string, q ServiceRequest, st *served) (*ServiceAnswer, error) {
	c := d.config.current()
	w := c.Workspaces[q.Workspace]
	svc, ok := c.Services[q.Service]
	if !ok {
		return nil, fault.NewField(fault.UnknownModel, "service", "no service %q", q.Service)
	}
	if !slices.Contains(w.Services, q.Service) {
		return nil, fault.NewField(fault.NotEntitled, "service", "the workspace may not call %q", q.Service)
	}
	if svc.NonRepeatable && q.IdempotencyKey == "" {
		return nil, fault.NewField(fault.BadRequest, "Idempotency-Key", "service %q needs a key: its calls may not be repeated", q.Service)
	}
	res, err := d.limits.reserve(ctx, q.Workspace, w, 0)
	if err != nil {
		return nil, err
	}
	defer res.settle(0)
	if err := d.usage.reserve(); err != nil {
		return nil, err
	}
	a, ran, err := d.callOnce(ctx, id, q, svc, w)
	if !ran {
		d.usage.cancel()
		return a, err
	}
	outcome := billing.Complete
	if err != nil {
		outcome = billing.Truncated
	}
	safe := d.usage.add(ctx, billing.UsageRecord{
		RequestID: id, Workspace: q.Workspace, Model: q.Service, Micros: svc.Micros,
		Outcome: outcome, UnixMillis: time.Now().UnixMilli(), Daemon: d.settings.ID,
		FirstTokenMillis: st.firstToken.Milliseconds(),
	})
	if !safe && err == nil {
		return nil, unprotected()
	}
	return a, err
}

// callOnce claims the key, if there is one, and sends the call. Ran says
// whether a server answered or may have run it.
func (d *Daemon) callOnce(ctx context.Context, id string, q ServiceRequest, svc fleet.Service, w fleet.Workspace) (a *ServiceAnswer, ran bool, err error) {
	var t *ticket
	if q.IdempotencyKey != "" {
		var replay *request.ClaimResult
		t, replay, err = d.claims.acquire(ctx, q.Workspace, q.IdempotencyKey, q.Body, id)
		if err != nil {
			return nil, false, err
		}
		if replay != nil {
			return &ServiceAnswer{replay.Status, replay.Response, true}, false, nil
		}
	}
	a, err = d.send(ctx, id, q, svc, w)
	if err != nil {
		state := fault.FromError(err).ExecutionState()
		t.finish(state, 0, nil)
		return nil, state != fault.NotRun, err
	}
	t.finish(fault.Ran, a.Status, a.Body)
	return a, true, nil
}

// send tries servers until one answers or the call may have run.
func (d *Daemon) send(ctx context.Context, id string, q ServiceRequest, svc fleet.Service, w fleet.Workspace) (*ServiceAnswer, error) {
	limit := defaultDeadline
	if w.DeadlineMillis > 0 {
		limit = time.Duration(w.DeadlineMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	life := &request.RetryState{Repeatable: q.IdempotencyKey == "", Deadline: time.Now().Add(limit)}
	d.retries.earn()
	var tried []string
	fingerprint := quarantine.FingerprintOf(q.Workspace, "", "call", q.Service, q.Body)
	for {
		if refusal := d.held(fingerprint, life); refusal != nil {
			return nil, refusal
		}
		c := d.config.current()
		if !slices.Contains(c.Workspaces[q.Workspace].Services, q.Service) {
			d.metrics.lastCheck.Inc(1)
			return nil, fault.New(fault.NotEntitled, "service %s is no longer allowed", q.Service).WithExecution(life.ExecutionState())
		}
		ch, err := d.pools.pick(c, svc.Pool, "", &routing.Request{}, tried)
		if err != nil {
			return nil, truthful(fault.FromError(err), life)
		}
		tried = append(tried, ch.candidate.ID)
		life.RecordAttempt()
		d.metrics.attempts.Inc(1)
		began := time.Now()
		status, body, err := d.guardedCall(ctx, id, ch, fingerprint, q.Body)
		d.pools.completed(ch, time.Since(began), err != nil || status >= http.StatusInternalServerError)
		if err == nil {
			return &ServiceAnswer{Status: status, Body: body}, nil
		}
		event := request.RunNotFound
		if errors.Is(err, engine.ErrNotConnected) {
			event = request.ConnectFailed
			d.pools.unreachable(ch)
		}
		if dec := d.decide(life, event); dec.Action != request.Retry {
			return nil, dec.Error
		}
	}
}

// guardedCall calls a server and tells the guard what became of it.
func (d *Daemon) guardedCall(ctx context.Context, id string, ch choice, f quarantine.Fingerprint, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	u := d.guard.Begin(guarded(ch.candidate), f, cancel)
	status, answer, err := d.engine.Call(ctx, ch.candidate.Address, id, body)
	fate := containment.ConnectionLost
	switch {
	case err == nil, errors.Is(err, engine.ErrNotConnected):
		fate = containment.Completed
	case ctx.Err() != nil:
		fate = containment.Canceled
	}
	d.guard.End(ctx, u, guarded(ch.candidate), fate)
	if err == nil && status < http.StatusInternalServerError {
		d.guard.RecordSuccess(f)
	}
	return status, answer, err
}
