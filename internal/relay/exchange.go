package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/containment"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gate"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
)

// exchange is one call on its way.
type exchange struct {
	relay     *Relay
	call      *Call
	out       Caller
	route     *route.Route
	service   route.Service
	workspace string
	urgency   int
	deadline  time.Time
	// draw is uniform and the same for every send of the call.
	draw    uint64
	journey request.ProxyRetryState
	tried   []string
	// fingerprint is the same for every repeat of the request by its caller.
	fingerprint quarantine.Fingerprint
	// standing is what was known of the request before the last send.
	standing quarantine.Status
	// run is the last send.
	run *containment.Attempt
	// succeeded says that a server answered in full, and not with a failure.
	succeeded bool
	// model indexes the route's models.
	model int
	// opinion is what the last model asked said of its answer.
	opinion opinion
	// last is the number of the last event passed on, or NoEvent.
	last int64
	// headed says that the head of an answer was passed on.
	headed bool
	// failure is a server's own failure, passed on if nothing better comes.
	failure *answer
	// firstEvent is when the first event was passed on.
	firstEvent time.Time
	// repeatTaken says that the repeat which follows a move was taken out of the
	// budget when the request was moved.
	repeatTaken atomic.Bool
}

// errMoved ends a send whose request goes on elsewhere.
var errMoved = errors.New("the server went silent")

// serve sends the call until it is answered or given up.
func (x *exchange) serve(ctx context.Context) {
	x.learnArrived()
	for {
		if refusal := x.held(); refusal != nil {
			x.giveUp(refusal)
			return
		}
		t, refusal := x.choose()
		if refusal != nil {
			x.giveUp(refusal)
			return
		}
		if x.journey.Sends() == 0 {
			x.relay.firstSend(x.service.Name)
		}
		x.journey.RecordSend()
		if t.warming {
			x.relay.Metrics.WarmingSends.Inc(1)
		}
		x.learnSent(t)
		outcome, done := x.attempt(ctx, t)
		if done {
			return
		}
		if ctx.Err() != nil {
			x.note("caller left", t)
			x.relay.Metrics.CallersLeft.Inc(1)
			return
		}
		// One that servers may end by asks the larger model of the same server: its cancelled
		// run may end that one all the same, and a second would end with it.
		if outcome != request.LowConfidence || x.standing.Crashes == 0 {
			x.tried = append(x.tried, t.server.ID)
		}
		refusal = x.journey.Next(outcome, time.Now(), func() bool {
			return outcome == request.LowConfidence || x.repeatTaken.Swap(false) || x.relay.mayRepeat(x.service.Name, 0)
		})
		if refusal != nil {
			x.giveUp(refusal)
			return
		}
		x.relay.Metrics.Repeats.Inc(1)
	}
}

// modelName is the model to name to the server, empty to leave the call's.
func (x *exchange) modelName() string {
	if x.cascades() {
		return x.route.Models[x.model]
	}
	return ""
}

// wantedModel is the model that will answer.
func (x *exchange) wantedModel() string {
	if m := x.modelName(); m != "" {
		return m
	}
	return x.call.Model
}

// choose picks a server. A key that is taken away after the call was admitted does
// not end it: the caller sent it while the key was good, and an answer that has begun
// would be cut.
func (x *exchange) choose() (*target, *fault.Error) {
	w := x.want(x.wantedModel())
	t, err := x.relay.State.pick(&w, x.service.MaxConns)
	if err != nil && len(x.tried) > 0 && x.journey.Repeatable {
		// Every server had its turn. One that was lost may answer again.
		w.tried = nil
		t, err = x.relay.State.pick(&w, x.service.MaxConns)
	}
	if err != nil {
		return nil, x.journey.Fail(err.Kind, err.Detail).WithRetryAfter(err.RetryAfter)
	}
	return t, nil
}

// want is what the call needs of a server that runs a model.
func (x *exchange) want(model string) want {
	if x.service.Engine == nil {
		model = ""
	}
	return want{
		service: x.service.Name, engine: x.service.Engine, model: model, prompt: x.call.Prompt, bodyBytes: len(x.call.Body),
		urgent: x.route.Priority == 0, budget: time.Until(x.deadline), tried: x.tried,
		choice:      x.relay.Rollouts.Admits(x.service.Name, x.call.Session, x.draw),
		fingerprint: x.fingerprint, standing: x.standing,
		gated: gate.Request{Held: x.standing.Held}, limit: x.relay.limitOf(x),
	}
}

// attempt sends the request to a server and books what became of it there.
func (x *exchange) attempt(ctx context.Context, t *target) (request.SendOutcome, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.run = x.relay.Guard.Begin(guarded(t.server), x.fingerprint, cancel)
	outcome, done := x.send(ctx, cancel, t)
	x.relay.Guard.End(ctx, x.run, guarded(t.server), fateOf(ctx, outcome, done))
	if x.succeeded {
		x.relay.Guard.RecordSuccess(x.fingerprint)
	}
	return outcome, done
}

// send makes one attempt. Done says that the caller has the final answer.
func (x *exchange) send(ctx context.Context, cancel context.CancelCauseFunc, t *target) (request.SendOutcome, bool) {
	by, age := x.relay.State.LastConfirmation(freshness.Servers)
	x.note("send", t, "entries_age_ms", age.Milliseconds(), "entries_by", by, "expected_ms", t.expected.Milliseconds(), "uncached", t.uncached, "warming", t.warming, "send", x.journey.Sends(), "session", x.call.Session, "fingerprint", x.fingerprint)
	began := time.Now()
	ctx, stop := context.WithDeadline(ctx, x.deadline)
	defer stop()
	a := x.relay.watch.enter(t, x.service.Engine != nil, x.route, x.sendUrgency(), func(lost bool) bool {
		if !x.mayMove(lost) {
			return false
		}
		cancel(errMoved)
		return true
	})
	defer x.relay.watch.leave(a)
	s := BackendRequest{
		Call: x.call, Server: t.server, Workspace: x.workspace, Model: x.modelName(), LastEvent: x.last,
		Timeout: time.Until(x.deadline) - deadlineMargin, Priority: x.sendUrgency(), MaxConnections: t.connections,
	}
	reply, err := x.relay.backend.Send(ctx, s)
	if err != nil {
		return x.sendFailed(t, began, err), false
	}
	x.relay.watch.answered(a)
	outcome, done := x.take(ctx, t, a, reply, began)
	failed := !done && outcome != request.LowConfidence && outcome != request.NotStarted
	x.relay.State.ended(t, time.Since(began), failed)
	return outcome, done
}

// mayMove reports whether the request may leave its server for another one, and takes
// the repeat that this costs. From a server that still answers others it only moves if
// it may be sent again: without that, a stream whose events merely came slowly was
// ended, and cut in the middle because the budget was used up. From a server that is
// lost it moves in any case, since its caller may come back by itself.
func (x *exchange) mayMove(lost bool) bool {
	if !x.journey.Repeatable || x.journey.RunsLeft() <= 0 {
		return false
	}
	if x.relay.mayRepeat(x.service.Name, 0) {
		x.repeatTaken.Store(true)
		return true
	}
	return lost
}

// sendUrgency raises requests that have already lost time to a server or model.
func (x *exchange) sendUrgency() int {
	if x.journey.Sends() > 1 {
		return max(0, x.urgency-firstUrgency)
	}
	return x.urgency
}

// sendFailed tells from an error whether the request may have run.
func (x *exchange) sendFailed(t *target, began time.Time, err error) request.SendOutcome {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{Reason: upstream.ConnectionLost, Sent: true, Err: err}
	}
	failed := e.Reason != upstream.Canceled && e.Reason != upstream.ConnectionLimit
	x.relay.State.ended(t, time.Since(began), failed)
	if e.Reason == upstream.Unreachable {
		x.relay.State.unreachable(t)
	}
	if errors.Is(e.Err, syscall.ECONNREFUSED) {
		x.relay.State.endedRun(t.server.ID)
	}
	x.relay.Metrics.SendsFailed.Inc(1)
	x.note("send failed", t, "reason", e.Reason, "sent", e.Sent, "err", e.Err, "after_ms", time.Since(began).Milliseconds())
	if !e.Sent {
		return request.NotStarted
	}
	return request.ResponseLost
}

// take judges the head of a reply and passes the answer on.
func (x *exchange) take(ctx context.Context, t *target, a *attempt, reply *BackendResponse, began time.Time) (request.SendOutcome, bool) {
	defer func() { _ = reply.Body.Close() }() // ends the run if it is not over; there is nothing to do about an error
	if reply.NotRun {
		x.note("not run", t, "status", reply.Status)
		return request.NotStarted, false
	}
	ok := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	switch {
	case !reply.Authenticated:
		x.note("unproven answer", t, "status", reply.Status)
		return request.ResponseLost, false
	case ok && x.route.Kind == route.Stream:
		return x.stream(ctx, t, a, reply, began)
	case x.headed:
		return request.ErrorResponse, false
	}
	return x.plain(t, reply, began, ok)
}

// giveUp ends the call: with a server's own failure if there is one, else with a
// refusal. An answer that has begun is cut so that it does not look complete.
func (x *exchange) giveUp(e *fault.Error) {
	switch {
	case x.headed:
		x.note("cut", nil, "kind", e.Kind, "why", e.Detail, "last_event", x.last)
		x.relay.Metrics.Cut.Inc(1)
		x.out.Cut()
	case x.failure != nil && e.ExecutionState() != fault.NotRun:
		x.note("failed at the server", nil, "status", x.failure.status)
		x.failure.deliver(x.out)
	default:
		if e.ExecutionState() == fault.NotRun && e.RetryDelay() > 0 && e.RetryAfter == 0 {
			e = e.WithRetryAfter(x.retryAfter())
		}
		x.relay.refused(x.call, x.out, e)
	}
}

// retryAfter spreads the returns of refused callers over a time in which servers
// get through some work, by a draw that differs between callers.
func (x *exchange) retryAfter() time.Duration {
	const spread = 400 * time.Millisecond
	return earliestReturn + time.Duration(x.draw>>32%uint64(spread))
}

// earliestReturn is the least advice: a server that refused needs some requests'
// time to have room.
const earliestReturn = 100 * time.Millisecond

// note writes a line about a decision on the call.
func (x *exchange) note(what string, t *target, more ...any) {
	fields := []any{"request", x.call.ID, "route", x.route.Name, "at_ms", time.Since(x.call.Received).Milliseconds()}
	if t != nil {
		fields = append(fields, "server", t.server.ID, "version", t.server.Version)
		if t.model != "" {
			fields = append(fields, "model", t.model)
		}
	}
	x.relay.log.Info(what, append(fields, more...)...)
}
