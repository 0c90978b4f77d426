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
	"github.com/damaskrudder/damaskrudder/internal/logs"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/upstream"
	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// exchange is the processing of one call.
type exchange struct {
	relay *Relay
	call  *Call
	out   ResponseWriter
	// held accounts for the memory of the call, and cancel ends its processing.
	held      *HeldRequest
	cancel    context.CancelCauseFunc
	route     *route.Route
	service   route.Service
	workspace string
	// rank is the rank among the ranks of the configuration, 0 the highest.
	rank  int
	ranks urgency.Ranks
	// overShare is set if the workspace uses more than its share while others wait.
	overShare bool
	deadline  time.Time
	// hash is uniformly distributed and the same for every send of the call.
	hash       uint64
	retryState request.ProxyRetryState
	tried      []string
	// identity is the same for every retry of the request by its client.
	identity quarantine.Identity
	// quarantineStatus is the request's quarantine state before the last send.
	quarantineStatus quarantine.Status
	// run is the containment record of the last send.
	run *containment.Attempt
	// open are the sends and forwards that have not ended, and selected is a server until the send to
	// it begins.
	open     map[taker]bool
	selected *target
	// interrupted is set if the response to the last send broke off or was none.
	interrupted bool
	// succeeded is set once a server has sent a complete, successful response.
	succeeded bool
	// modelIndex is the index of the current model in the route's models.
	modelIndex int
	// lastConfidence is the confidence of the last model that responded.
	lastConfidence modelConfidence
	// lastEvent is the number of the last event forwarded, or NoEvent.
	lastEvent int64
	// headerSent is set once the response header has been sent to the client.
	headerSent bool
	// partlySent is set if the client received only a part of a response.
	partlySent bool
	// paced writes a response that is forwarded as it arrives; nil before its header. aborted is set
	// if it ends before it is complete.
	paced   *pacedWriter
	aborted bool
	// complete is the response to deliver once its server is no longer involved.
	complete *bufferedResponse
	// serverFailure is a server's error response, forwarded if no attempt succeeds.
	serverFailure *bufferedResponse
	// firstEventAt is when the first event was forwarded.
	firstEventAt time.Time
	// forwarded is set if another daemon has forwarded the call. reportRuns then reports the number
	// of runs to it.
	forwarded  bool
	reportRuns func(runs int)
	// unreached is the number of sends that reached no server, and sentToServer is set once a send
	// may have reached one.
	unreached    int
	sentToServer bool
	// forwards are the daemons to which the call was forwarded, and forwardRefusal is the refusal
	// of the last one.
	forwards       []string
	forwardRefusal *fault.Error
	// withoutHelper is set once no daemon was left to forward the call to.
	withoutHelper bool
	// withoutArrival is set if the last send reached no server, so that the next one draws on no
	// budget.
	withoutArrival bool
	// arrived is set once a send of this daemon has reached a server.
	arrived atomic.Bool
	// resent is set once a send has failed.
	resent bool
	// displacedPerSecond is the number of other workspaces' answers that are late for each second of
	// engine time; zero unless overShare is set.
	displacedPerSecond float64
	// retryWithdrawn is set if the budget was already charged for the retry after a reroute.
	retryWithdrawn atomic.Bool
	// movedOff are the servers and daemons that the call was taken off although they had not responded.
	movedOff []string
	// contest is the last search for one that takes the call from a party it waits for.
	contest atomic.Pointer[contest]
	// next has taken the call from the last one that held it.
	next taker
	// waitsAt is the ID of the server that the call waits for, if any, while others are offered it by
	// offers.
	waitsAt string
	offers  *offers
}

// errRerouted cancels a send whose request continues elsewhere.
var errRerouted = errors.New("request rerouted to another server")

// serve sends the call until it is answered or fails.
func (x *exchange) serve(ctx context.Context) {
	x.recordArrival()
	for {
		if x.next == nil {
			if refusal := x.checkHold(); refusal != nil {
				x.fail(refusal)
				return
			}
		}
		outcome, done, refusal := x.sendOnce(ctx)
		if done {
			x.deliverComplete()
			return
		}
		if x.next != nil {
			x.retryState.Record(outcome)
			x.relay.Metrics.Retries.Inc(1)
			continue
		}
		if refusal == nil && ctx.Err() != nil {
			x.logEvent("client disconnected", nil, "cause", context.Cause(ctx), "moved_off", x.movedOff)
			x.relay.Metrics.ClientsDisconnected.Inc(1)
			return
		}
		if refusal == nil {
			refusal = x.retryState.Next(outcome, time.Now(), func() bool { return x.takeRetry(outcome) })
		}
		if final := x.finalForwardRefusal(); final != nil {
			refusal = final
		}
		if refusal != nil {
			x.fail(refusal)
			return
		}
		x.relay.Metrics.Retries.Inc(1)
	}
}

// sendOnce sends the call to a server, or to another daemon if the servers are out of reach. It
// returns true if the client has the final response, and a refusal if there is nowhere to send it.
func (x *exchange) sendOnce(ctx context.Context) (outcome request.SendOutcome, done bool, refusal *fault.Error) {
	x.withoutArrival = false
	if next := x.next; next != nil {
		x.next = nil
		outcome, done = next.finish()
		return outcome, done, nil
	}
	if helper, found := x.pickHelper(); found {
		outcome, done = x.forward(ctx, helper)
		return outcome, done, nil
	}
	t, refusal := x.selectTarget(ctx)
	if refusal != nil {
		if helper, found := x.pickOverflow(refusal); found {
			outcome, done = x.forward(ctx, helper)
			return outcome, done, nil
		}
		return outcome, false, refusal
	}
	x.countSend(t)
	s := x.startSend(ctx, t, current)
	defer x.relay.liveness.untrack(s.watch) // if a panic ends the send
	s.open()
	outcome, done = x.finishSend(s)
	return outcome, done, nil
}

// selectTarget selects the server of the next send.
func (x *exchange) selectTarget(ctx context.Context) (*target, *fault.Error) {
	t, refusal := x.selectToConfirm(ctx)
	if t == nil && refusal == nil {
		t, refusal = x.selectServer()
	}
	if refusal != nil {
		t, refusal = x.selectWithPermit(ctx, refusal)
	}
	return t, refusal
}

// isRepeat reports whether a send or forward that begins now is a repeat for the servers. An offer is
// one, as the party that holds the call may have sent it to a server.
func (x *exchange) isRepeat() bool { return x.sentToServer || x.offers != nil }

// countSend records that the call is about to be sent to a server.
func (x *exchange) countSend(t *target) {
	if !x.isRepeat() {
		x.relay.recordFirstSend(x.service.Name)
	}
	x.sentToServer = true
	x.retryState.RecordSend()
	x.reportRuns(x.retryState.Runs())
	if t.warming {
		x.relay.Metrics.WarmingSends.Inc(1)
	}
	if t.fallback {
		x.relay.Metrics.VersionFallbacks.Inc(1)
	}
	x.recordSend(t)
	x.recordWork(t)
	x.relay.Rollouts.recordSend(t)
}

// finishSend receives the response to a send and records the result.
func (x *exchange) finishSend(s *send) (outcome request.SendOutcome, done bool) {
	s.setRole(current)
	x.run = s.run
	outcome, done = x.receive(s)
	x.endSend(s, outcome, done)
	if x.next = s.next; x.next != nil && outcome != request.LowConfidence {
		x.movedOff = append(x.movedOff, s.target.server.ID)
	}
	if x.succeeded {
		x.relay.Guard.RecordSuccess(x.identity)
	}
	if !x.withoutArrival {
		x.arrived.Store(true)
	}
	x.resent = x.resent || !done && outcome != request.LowConfidence
	if x.partlySent {
		x.retryState.Repeatable = false
	}
	// A request suspected of crashing servers is escalated on the same server:
	// its cancelled run may still crash that one, and must not crash a second.
	if !done && (outcome != request.LowConfidence || x.quarantineStatus.Crashes == 0) {
		x.tried = append(x.tried, s.target.server.ID)
	}
	return outcome, done
}

// takeRetry reports whether the call may be sent again after an outcome, and draws on the retry
// budget if the next send is a repeat for the servers.
func (x *exchange) takeRetry(outcome request.SendOutcome) bool {
	return outcome == request.LowConfidence || x.withoutArrival || x.retryWithdrawn.Swap(false) || x.relay.withdrawRetry(x.service.Name, 0)
}

// modelOverride returns the model to request from the server; empty keeps the call's.
func (x *exchange) modelOverride() string {
	if x.choosesModel() {
		return x.route.Models[x.modelIndex]
	}
	return ""
}

// effectiveModel returns the model that will run.
func (x *exchange) effectiveModel() string {
	if m := x.modelOverride(); m != "" {
		return m
	}
	return x.call.Model
}

// selectServer picks a server. It does not check the key again: revoking a key
// does not abort requests that were admitted before.
func (x *exchange) selectServer() (*target, *fault.Error) {
	req := x.requirements(x.effectiveModel())
	t, err := x.relay.State.pick(&req, x.service.MaxConnections)
	if err != nil && len(x.tried) > 0 && x.retryState.Repeatable {
		// All servers were tried. One that was lost may respond again.
		req.tried = nil
		if x.offers != nil {
			req.tried = append(x.offers.servers(), x.waitsAt)
		}
		t, err = x.relay.State.pick(&req, x.service.MaxConnections)
	}
	if err != nil {
		return nil, x.retryState.Fail(err.Kind, err.Detail).WithRetryAfter(err.RetryAfter)
	}
	x.selected = t
	return t, nil
}

// requirements returns the call's requirements on a server that runs a model.
func (x *exchange) requirements(model string) requirements {
	if x.service.Engine == nil {
		model = ""
	}
	return requirements{
		service: x.service.Name, engine: x.service.Engine, model: model, prompt: x.call.Prompt, bodyBytes: len(x.call.Body),
		urgent: x.rank == 0, urgency: x.urgencyRequest(), ranks: x.ranks, remainingTime: time.Until(x.deadline), tried: x.tried,
		versions:         x.relay.Rollouts.ChooseVersion(x.service.Name, x.call.Session, x.hash),
		quarantineStatus: x.quarantineStatus, resent: x.resent || x.forwarded || x.lastEvent != NoEvent,
		gateRequest: gate.Request{Held: x.quarantineStatus.Held}, slowStart: x.relay.slowStartLimit(x),
	}
}

// endSend records the end of a send in the guard and for the roll-outs.
func (x *exchange) endSend(s *send, outcome request.SendOutcome, done bool) {
	x.relay.liveness.untrack(s.watch)
	x.relay.Rollouts.endAnswer(s.target)
	if !done { // else the head is kept until the client has it
		s.head.release()
	}
	s.stop()
	server := containmentServer(s.target.server)
	delete(x.open, s)
	x.relay.Guard.End(s.ctx, s.run, server, containmentOutcome(s.ctx, outcome, done))
	x.recordInterruption(s.ctx, s.target)
	s.cancel(nil)
}

// recordInterruption counts a broken response as evidence against the version of its server.
// It is none if the server leaves or if the daemon's own links are the cause.
func (x *exchange) recordInterruption(ctx context.Context, t *target) {
	if !x.interrupted {
		return
	}
	x.interrupted = false
	if !x.relay.State.isLeaving(t.server.ID) && !x.relay.State.linkFailed(t) {
		x.relay.Rollouts.recordResponse(t, x.route.Name, ctx.Err() == nil, unknownLatency)
	}
}

// startSend prepares a send.
func (x *exchange) startSend(ctx context.Context, t *target, role sendRole) *send {
	urgent := x.decideUrgency(t)
	x.relay.Metrics.recordTransfer(&t.fetch)
	x.logEvent("send", t, x.sendFields(t, urgent)...)
	s := &send{x: x, target: t, parent: ctx, sentAt: time.Now(), role: role, offers: x.offers, head: reservation{held: x.held}}
	x.beginAnswer(t, s.sentAt)
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.timed, s.stop = context.WithDeadline(s.ctx, x.deadline)
	s.run = x.relay.Guard.Begin(containmentServer(t.server), x.identity, s.cancel)
	x.open[s], x.selected = true, nil
	s.request = BackendRequest{
		Call: x.call, Server: t.server, Workspace: x.workspace, Model: x.modelOverride(), LastEvent: x.lastEvent,
		FetchFrom: t.fetch.address, Timeout: time.Until(x.deadline) - deadlineMargin, Priority: urgent.Priority, MaxConnections: t.maxConnections,
		// New connections are tried in the background while the servers do not accept them.
		ReuseOnly: x.relay.State.holdsOffConnections(t.service),
		Admit:     func() bool { return x.relay.State.admits(t) },
		GrowHead:  func(n int) error { return s.head.grow(int64(n) * heldPerHeadByte) },
	}
	s.watch = x.relay.liveness.track(t, x.service.Engine != nil, x.route, urgent.Priority, s.reroute)
	return s
}

// receive handles the response to a send. It returns true if the client has the final response.
func (x *exchange) receive(s *send) (request.SendOutcome, bool) {
	if s.err != nil {
		return x.handleSendError(s.timed, s.target, s.sentAt, s.err), false
	}
	outcome, done := x.handleReply(s)
	failed := !done && outcome != request.LowConfidence && outcome != request.NotStarted
	x.recordSendEnd(s.target, time.Since(s.sentAt), failed)
	return outcome, done
}

// recordSendEnd records that a server is done with a send.
func (x *exchange) recordSendEnd(t *target, elapsed time.Duration, failed bool) {
	t.ended = true
	x.relay.State.recordSendEnd(t, elapsed, failed)
}

// sendFields returns the inputs of a send for its log line.
func (x *exchange) sendFields(t *target, urgent urgency.Decision) []any {
	by, age := x.relay.State.LastConfirmation(freshness.Servers)
	fields := []any{
		"priority", urgent.Priority, "slack_ms", urgent.Slack.Milliseconds(), "urgency", urgent.Reason,
		"entries_age_ms", age.Milliseconds(), "entries_by", by, "expected_ms", t.expectedLatency.Milliseconds(), "uncached", t.uncached, "speed", t.loggedFactor(),
		"warming", t.warming, "fallback", t.fallback, "send", x.retryState.Sends(), "session", logs.Bounded(x.call.Session),
		"workspace", x.workspace, "over_share", x.overShare, "fingerprint", x.identity.Request, "parts", x.identity.Parts[:min(len(x.identity.Parts), maxLoggedParts)],
	}
	return append(fields, t.fetch.logFields()...)
}

// mayReroute reports whether the request may continue on another server, and takes the retry from
// the budget unless one was taken and not used. Without budget, only requests of a server that will
// not respond are rerouted; others would be aborted although it may go on.
func (x *exchange) mayReroute(ended bool) bool {
	if !x.retryState.Repeatable || x.retryState.RemainingRuns() <= 0 {
		return false
	}
	if x.retryWithdrawn.Load() || x.relay.withdrawRetry(x.service.Name, 0) {
		x.retryWithdrawn.Store(true)
		return true
	}
	return ended
}

// handleSendError records a failed send and derives whether the request may have run.
func (x *exchange) handleSendError(ctx context.Context, t *target, sentAt time.Time, err error) request.SendOutcome {
	var e *upstream.Error
	if !errors.As(err, &e) {
		e = &upstream.Error{Reason: upstream.ConnectionLost, Sent: true, Err: err}
	}
	failed := e.Reason != upstream.Canceled && e.Reason != upstream.ConnectionLimit && e.Reason != upstream.Withdrawn
	x.recordSendEnd(t, time.Since(sentAt), failed)
	if e.Reason == upstream.Unreachable {
		x.relay.State.recordUnreachable(t)
	}
	if (e.Reason == upstream.Unreachable || e.Reason == upstream.ConnectionLost) && !errors.Is(e.Err, upstream.ErrNoIdleConnection) {
		x.relay.recordUnreachedFor(ctx, t, e.Err)
		x.unreached++
	}
	x.withoutArrival = e.Reason == upstream.Unreachable
	x.interrupted = e.Reason == upstream.InvalidResponse && !errors.Is(err, errNoRoom)
	if errors.Is(e.Err, syscall.ECONNREFUSED) {
		x.relay.checkTermination(t)
	}
	x.relay.Metrics.SendsFailed.Inc(1)
	x.logEvent("send failed", t, "reason", e.Reason, "sent", e.Sent, "err", e.Err, "after_ms", time.Since(sentAt).Milliseconds())
	if !e.Sent {
		return request.NotStarted
	}
	return request.ResponseLost
}

// handleReply checks the header of a reply and forwards the response.
func (x *exchange) handleReply(s *send) (request.SendOutcome, bool) {
	t, reply := s.target, s.reply
	defer func() { _ = reply.Body.Close() }() // cancels an unfinished run; an error has no effect on the call
	ok := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	x.observe(t, reply, ok && !reply.NotRun)
	if reply.NotRun {
		x.logEvent("server did not run request", t, "status", reply.Status)
		return request.NotStarted, false
	}
	switch {
	case !reply.Authenticated:
		x.logEvent("unauthenticated response", t, "status", reply.Status)
		return request.ResponseLost, false
	case ok && x.route.Kind == route.Stream:
		return x.forwardStream(s)
	case x.headerSent:
		return request.ErrorResponse, false
	}
	return x.forwardBuffered(s, ok)
}

// fail ends the call with a server's error response if there is one, else with a
// refusal. A response that has begun is aborted.
func (x *exchange) fail(e *fault.Error) {
	if len(x.movedOff) > 0 {
		x.logEvent("no answer after move", nil, "kind", e.Kind, "why", e.Detail, "begun", x.headerSent, "moved_off", x.movedOff)
		x.relay.Metrics.MovedWithoutAnswer.Inc(1)
	}
	switch {
	case x.headerSent:
		x.logEvent("cut", nil, "kind", e.Kind, "why", e.Detail, "last_event", x.lastEvent)
		x.relay.Metrics.ResponsesAborted.Inc(1)
		x.aborted = true
	case x.serverFailure != nil && e.ExecutionState() != fault.NotRun:
		x.logEvent("server failure forwarded", nil, "status", x.serverFailure.status)
		x.deliver(x.serverFailure)
	default:
		if e.ExecutionState() == fault.NotRun && e.RetryDelay() > 0 && e.RetryAfter == 0 {
			e = e.WithRetryAfter(x.retryAfter())
		}
		x.relay.Refuse(x.call, x.out, e)
	}
}

// retryAfter spreads the retries of refused clients over an interval, by the
// call's hash.
func (x *exchange) retryAfter() time.Duration {
	const spread = 400 * time.Millisecond
	return minRetryAfter + time.Duration(x.hash>>32%uint64(spread))
}

// minRetryAfter is the least Retry-After of a refusal.
const minRetryAfter = 100 * time.Millisecond

// maxLoggedParts is the largest number of a prompt's parts in a log line.
const maxLoggedParts = 16

// logEvent logs a message about the call.
func (x *exchange) logEvent(message string, t *target, extra ...any) {
	fields := []any{"request", logs.Bounded(x.call.ID), "route", x.route.Name, "at_ms", time.Since(x.call.Received).Milliseconds()}
	if t != nil {
		fields = append(fields, "server", t.server.ID, "version", t.server.Version)
		if t.model != "" {
			fields = append(fields, "model", logs.Bounded(t.model))
		}
	}
	x.relay.log.Info(message, append(fields, extra...)...)
}
