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
	out       ResponseWriter
	route     *route.Route
	service   route.Service
	workspace string
	priority  int
	deadline  time.Time
	// hash is uniform and the same for every send of the call.
	hash    uint64
	journey request.Journey
	tried   []string
	// fingerprint is the same for every repeat of the request by its caller.
	fingerprint quarantine.Fingerprint
	// standing is what was known of the request before the last send.
	standing quarantine.Standing
	// run is the last send.
	run *containment.Run
	// succeeded says that a server answered in full, and not with a failure.
	succeeded bool
	// modelIndex indexes the route's models.
	modelIndex int
	// lastConfidence is what the last model asked said of its answer.
	lastConfidence modelConfidence
	// lastEvent is the number of the last event passed on, or NoEvent.
	lastEvent int64
	// headerSent says that the head of an answer was passed on.
	headerSent bool
	// serverFailure is a server's own failure, passed on if nothing better comes.
	serverFailure *bufferedResponse
	// firstEventAt is when the first event was passed on.
	firstEventAt time.Time
	// retryTaken says that the repeat which follows a move was taken out of the
	// budget when the request was moved.
	retryTaken atomic.Bool
}

// errRerouted ends a send whose request goes on elsewhere.
var errRerouted = errors.New("the server went silent")

// serve sends the call until it is answered or given up.
func (x *exchange) serve(ctx context.Context) {
	x.recordArrival()
	for {
		if refusal := x.checkHold(); refusal != nil {
			x.fail(refusal)
			return
		}
		t, refusal := x.selectServer()
		if refusal != nil {
			x.fail(refusal)
			return
		}
		if x.journey.Sends() == 0 {
			x.relay.recordFirstSend(x.service.Name)
		}
		x.journey.Sent()
		if t.warming {
			x.relay.Metrics.WarmingSends.Inc(1)
		}
		x.recordSend(t)
		outcome, done := x.attempt(ctx, t)
		if done {
			return
		}
		if ctx.Err() != nil {
			x.logEvent("caller left", t)
			x.relay.Metrics.ClientsDisconnected.Inc(1)
			return
		}
		// One that servers may end by asks the larger model of the same server: its cancelled
		// run may end that one all the same, and a second would end with it.
		if outcome != request.Unconvincing || x.standing.Ends == 0 {
			x.tried = append(x.tried, t.server.ID)
		}
		refusal = x.journey.After(outcome, time.Now(), func() bool {
			return outcome == request.Unconvincing || x.retryTaken.Swap(false) || x.relay.takeRetry(x.service.Name, 0)
		})
		if refusal != nil {
			x.fail(refusal)
			return
		}
		x.relay.Metrics.Retries.Inc(1)
	}
}

// modelOverride is the model to name to the server, empty to leave the call's.
func (x *exchange) modelOverride() string {
	if x.choosesModel() {
		return x.route.Models[x.modelIndex]
	}
	return ""
}

// effectiveModel is the model that will answer.
func (x *exchange) effectiveModel() string {
	if m := x.modelOverride(); m != "" {
		return m
	}
	return x.call.Model
}

// selectServer picks a server. A key that is taken away after the call was admitted does
// not end it: the caller sent it while the key was good, and an answer that has begun
// would be cut.
func (x *exchange) selectServer() (*target, *fault.Error) {
	req := x.requirements(x.effectiveModel())
	t, err := x.relay.State.pick(&req, x.service.MaxConns)
	if err != nil && len(x.tried) > 0 && x.journey.Repeatable {
		// Every server had its turn. One that was lost may answer again.
		req.tried = nil
		t, err = x.relay.State.pick(&req, x.service.MaxConns)
	}
	if err != nil {
		return nil, x.journey.Refuse(err.Kind, err.Detail).After(err.RetryAfter)
	}
	return t, nil
}

// requirements is what the call needs of a server that runs a model.
func (x *exchange) requirements(model string) requirements {
	if x.service.Engine == nil {
		model = ""
	}
	return requirements{
		service: x.service.Name, engine: x.service.Engine, model: model, prompt: x.call.Prompt, bodyBytes: len(x.call.Body),
		urgent: x.route.Priority == 0, timeLeft: time.Until(x.deadline), tried: x.tried,
		versions:    x.relay.Rollouts.ChooseVersion(x.service.Name, x.call.Session, x.hash),
		fingerprint: x.fingerprint, standing: x.standing,
		gateRequest: gate.Request{Held: x.standing.Held}, slowStart: x.relay.slowStartLimit(x),
	}
}

// attempt sends the request to a server and books what became of it there.
func (x *exchange) attempt(ctx context.Context, t *target) (request.Outcome, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.run = x.relay.Guard.Enter(containmentServer(t.server), x.fingerprint, cancel)
	outcome, done := x.send(ctx, cancel, t)
	x.relay.Guard.Leave(ctx, x.run, containmentServer(t.server), fateOf(ctx, outcome, done))
	if x.succeeded {
		x.relay.Guard.Succeeded(x.fingerprint)
	}
	return outcome, done
}

// send makes one attempt. Done says that the caller has the final answer.
func (x *exchange) send(ctx context.Context, cancel context.CancelCauseFunc, t *target) (request.Outcome, bool) {
	by, age := x.relay.State.LastConfirmation(freshness.Servers)
	x.logEvent("send", t, "entries_age_ms", age.Milliseconds(), "entries_by", by, "expected_ms", t.expectedLatency.Milliseconds(), "uncached", t.uncached, "warming", t.warming, "send", x.journey.Sends(), "session", x.call.Session, "fingerprint", x.fingerprint)
	sentAt := time.Now()
	ctx, stop := context.WithDeadline(ctx, x.deadline)
	defer stop()
	a := x.relay.liveness.track(t, x.service.Engine != nil, x.route, x.sendPriority(), func(lost bool) bool {
		if !x.mayReroute(lost) {
			return false
		}
		cancel(errRerouted)
		return true
	})
	defer x.relay.liveness.untrack(a)
	s := BackendRequest{
		Call: x.call, Server: t.server, Workspace: x.workspace, Model: x.modelOverride(), LastEvent: x.lastEvent,
		Timeout: time.Until(x.deadline) - deadlineMargin, Priority: x.sendPriority(), MaxConnections: t.maxConnections,
	}
	reply, err := x.relay.backend.Send(ctx, s)
	if err != nil {
		return x.handleSendError(t, sentAt, err), false
	}
	x.relay.liveness.recordHeader(a)
	outcome, done := x.handleReply(ctx, t, a, reply, sentAt)
	failed := !done && outcome != request.Unconvincing && outcome != request.NotStarted
	x.relay.State.recordSendEnd(t, time.Since(sentAt), failed)
	return outcome, done
}

// mayReroute reports whether the request may leave its server for another one, and takes
// the repeat that this costs. From a server that still answers others it only moves if
// it may be sent again: without that, a stream whose events merely came slowly was
// ended, and cut in the middle because the budget was used up. From a server that is
// lost it moves in any case, since its caller may come back by itself.
func (x *exchange) mayReroute(lost bool) bool {
	if !x.journey.Repeatable || x.journey.RunsLeft() <= 0 {
		return false
	}
	if x.relay.takeRetry(x.service.Name, 0) {
		x.retryTaken.Store(true)
		return true
	}
	return lost
}

// sendPriority raises requests that have already lost time to a server or model.
func (x *exchange) sendPriority() int {
	if x.journey.Sends() > 1 {
		return max(0, x.priority-basePriority)
	}
	return x.priority
}

// handleSendError tells from an error whether the request may have run.
func (x *exchange) handleSendError(t *target, sentAt time.Time, err error) request.Outcome {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{Reason: upstream.Broken, Sent: true, Err: err}
	}
	failed := e.Reason != upstream.Canceled && e.Reason != upstream.Full
	x.relay.State.recordSendEnd(t, time.Since(sentAt), failed)
	if e.Reason == upstream.Unreachable {
		x.relay.State.markUnreachable(t)
	}
	if errors.Is(e.Err, syscall.ECONNREFUSED) {
		x.relay.State.recordServerEnd(t.server.ID)
	}
	x.relay.Metrics.SendsFailed.Inc(1)
	x.logEvent("send failed", t, "reason", e.Reason, "sent", e.Sent, "err", e.Err, "after_ms", time.Since(sentAt).Milliseconds())
	if !e.Sent {
		return request.NotStarted
	}
	return request.Lost
}

// handleReply judges the head of a reply and passes the answer on.
func (x *exchange) handleReply(ctx context.Context, t *target, a *attempt, reply *BackendResponse, sentAt time.Time) (request.Outcome, bool) {
	defer func() { _ = reply.Body.Close() }() // ends the run if it is not over; there is nothing to do about an error
	if reply.NotRun {
		x.logEvent("not run", t, "status", reply.Status)
		return request.NotStarted, false
	}
	ok := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	switch {
	case !reply.Authenticated:
		x.logEvent("unproven answer", t, "status", reply.Status)
		return request.Lost, false
	case ok && x.route.Kind == route.Stream:
		return x.forwardStream(ctx, t, a, reply, sentAt)
	case x.headerSent:
		return request.Failed, false
	}
	return x.forwardBuffered(t, reply, sentAt, ok)
}

// fail ends the call: with a server's own failure if there is one, else with a
// refusal. An answer that has begun is cut so that it does not look complete.
func (x *exchange) fail(e *fault.Error) {
	switch {
	case x.headerSent:
		x.logEvent("cut", nil, "kind", e.Kind, "why", e.Detail, "last_event", x.lastEvent)
		x.relay.Metrics.ResponsesAborted.Inc(1)
		x.out.Abort()
	case x.serverFailure != nil && e.State() != fault.NotRun:
		x.logEvent("failed at the server", nil, "status", x.serverFailure.status)
		x.serverFailure.writeTo(x.out)
	default:
		if e.State() == fault.NotRun && e.Advice() > 0 && e.RetryAfter == 0 {
			e = e.After(x.retryAfter())
		}
		x.relay.refuse(x.call, x.out, e)
	}
}

// retryAfter spreads the returns of refused callers over a time in which servers
// get through some work, by a draw that differs between callers.
func (x *exchange) retryAfter() time.Duration {
	const spread = 400 * time.Millisecond
	return minRetryAfter + time.Duration(x.hash>>32%uint64(spread))
}

// minRetryAfter is the least advice: a server that refused needs some requests'
// time to have room.
const minRetryAfter = 100 * time.Millisecond

// logEvent writes a line about a decision on the call.
func (x *exchange) logEvent(message string, t *target, extra ...any) {
	fields := []any{"request", x.call.ID, "route", x.route.Name, "at_ms", time.Since(x.call.Received).Milliseconds()}
	if t != nil {
		fields = append(fields, "server", t.server.ID, "version", t.server.Version)
		if t.model != "" {
			fields = append(fields, "model", t.model)
		}
	}
	x.relay.log.Info(message, append(fields, extra...)...)
}
