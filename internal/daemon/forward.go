package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/engine"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/logs"
	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/request"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

const (
	// maxUnreachedAttempts is the number of servers that a request may fail to connect to before it
	// is forwarded to another daemon.
	maxUnreachedAttempts = 2
	// maxOverflows is the number of daemons to which a request may be forwarded because this daemon's
	// share of the servers is in use.
	maxOverflows = 3
	// maxForwards is the number of daemons to which one request may be forwarded.
	maxForwards = 3
	// forwardOpenTimeout bounds the wait for a connection to another daemon.
	forwardOpenTimeout = time.Second
	// helperProbeInterval is the time without a message after which the connection to another daemon
	// is probed, and the interval of probes. One without a response within helperProbeTimeout ends the
	// wait, which is longer than a sound daemon is silent.
	helperProbeInterval = 2 * time.Second
	helperProbeTimeout  = 5 * time.Second
	// maxForwardedRequests bounds the requests served for other daemons at a time, and thus their
	// memory. Each occupies a connection.
	maxForwardedRequests = 256
)

// Kinds of forwarding streams.
const (
	stepKind = "step"
	callKind = "call"
)

// forwarding is the state of forwarding one request.
type forwarding struct {
	// forwarded is set if another daemon has forwarded the request, which then stays here.
	forwarded bool
	// unreached is the number of servers that could not be connected to.
	unreached int
	// helpers are the daemons to which the request was forwarded.
	helpers []string
	// withoutHelper is set once no daemon was left to forward the request to.
	withoutHelper bool
}

// probeTimes are the times of probing a connection.
type probeTimes struct{ interval, timeout time.Duration }

// pickHelper returns the daemon to forward a request for a pool to, if it should be forwarded.
func (d *Daemon) pickHelper(poolName string, f *forwarding) (address string, found bool) {
	if f.forwarded || len(f.helpers) >= maxForwards {
		return "", false
	}
	lost := d.balancer.outOfReach(poolName)
	if f.unreached < maxUnreachedAttempts && !lost {
		return "", false
	}
	candidates, doubtful := d.members.helpers()
	address, found = d.balancer.pickOrTryHelper(candidates, doubtful, f.helpers)
	if found {
		f.helpers = append(f.helpers, address)
		return address, true
	}
	if !f.withoutHelper {
		f.withoutHelper = true
		d.log.Info("no daemon to forward to", "pool", poolName, "out_of_reach", lost, "unreached", f.unreached, "daemons", len(candidates), "doubtful", len(doubtful), "tried", len(f.helpers), "refused_lately", d.balancer.refusedHelpers(candidates))
	}
	return "", false
}

// pickOverflow returns a daemon to forward a request to because of a refusal, if others may have a
// share left of the servers that tolerate few rejections.
func (d *Daemon) pickOverflow(refusal error, f *forwarding) (address string, found bool) {
	if !fault.Is(refusal, fault.ServerSaturated) || f.forwarded || len(f.helpers) >= maxOverflows {
		return "", false
	}
	candidates, _ := d.members.helpers()
	address, found = d.balancer.pickHelper(candidates, f.helpers)
	if found {
		f.helpers = append(f.helpers, address)
	}
	return address, found
}

// pickHelper picks one of the candidates that is not excluded.
func (b *balancer) pickHelper(candidates, excluded []string) (address string, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.helpers.Pick(candidates, excluded, b.uptime(), b.rng)
}

// pickOrTryHelper is pickHelper, or else picks one that is doubtful or has refused lately. endTrial
// must be called with it.
func (b *balancer) pickOrTryHelper(candidates, doubtful, excluded []string) (address string, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.helpers.PickOrTry(candidates, doubtful, excluded, b.uptime(), b.rng)
}

// endTrial records that a daemon has responded or failed.
func (b *balancer) endTrial(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.helpers.EndTrial(address)
}

// refusedHelpers returns the number of candidates that could not serve a forwarded request lately.
func (b *balancer) refusedHelpers(candidates []string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.helpers.RefusedLately(candidates, b.uptime())
}

// recordHelper records whether a daemon could serve a forwarded request.
func (b *balancer) recordHelper(address string, served bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if served {
		b.helpers.Served(address, b.uptime())
	} else {
		b.helpers.Refused(address, b.uptime())
	}
}

// forward sends a request to another daemon and calls receive with each message of its response,
// until that reports the last one. The error is nil if receive did.
func (d *Daemon) forward(ctx context.Context, address, kind, id string, req any, receive func(peer.ForwardResponse) bool) (sent bool, err error) {
	d.metrics.forwards.Inc(1)
	d.log.Info("forwarded", "request", id, "daemon", address)
	openCtx, cancel := context.WithTimeout(ctx, forwardOpenTimeout)
	stream, sent, err := d.peers.OpenStream(openCtx, address, kind, req)
	cancel()
	for err == nil {
		var message peer.ForwardResponse
		var more bool
		more, err = d.receiveForwarded(ctx, stream, &message)
		d.balancer.endTrial(address)
		switch {
		case err != nil:
			sent = !errors.Is(err, peer.ErrRefused)
		case !more:
			err = errForwardIncomplete
		case receive(message):
			// The last message only ends the stream.
			_, _ = stream.Receive(ctx, &peer.ForwardResponse{})
			stream.Close()
			return true, nil
		}
	}
	if stream != nil {
		stream.Close()
	}
	if ctx.Err() == nil {
		d.balancer.recordHelper(address, false)
	}
	d.log.Info("forwarding failed", "request", id, "daemon", address, "sent", sent, "err", err)
	return sent, err
}

var (
	errForwardIncomplete = errors.New("the response of the other daemon is incomplete")
	errHelperSilent      = errors.New("the connection to the other daemon is silent")
)

// receiveForwarded receives the next message of a response. It fails if the connection is found to be
// silent.
func (d *Daemon) receiveForwarded(ctx context.Context, stream *peer.Stream, message *peer.ForwardResponse) (more bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	probe := time.AfterFunc(d.helperProbe.interval, func() { d.probeHelper(ctx, stream, cancel) })
	defer probe.Stop()
	return stream.Receive(ctx, message)
}

// probeHelper probes the connection of a stream until the context ends, and cancels it after a probe
// without a response.
func (d *Daemon) probeHelper(ctx context.Context, stream *peer.Stream, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		// A context that ends during a write would close the connection.
		probeCtx, cancelProbe := context.WithTimeout(context.WithoutCancel(ctx), d.helperProbe.timeout)
		err := stream.Ping(probeCtx)
		cancelProbe()
		if err != nil {
			cancel(errors.Join(errHelperSilent, err)) // without effect if the wait has ended
			return
		}
		loop.Sleep(ctx, d.helperProbe.interval)
	}
}

// forwardFailure returns the error for a forwarded request without a response, or nil if it may be
// sent again.
func (d *Daemon) forwardFailure(ctx context.Context, state *request.RetryState, sent bool) error {
	event := request.ConnectFailed
	switch {
	case ctx.Err() != nil:
		event = request.ClientDisconnected
	case sent:
		event = request.RunNotFound
	}
	if decision := d.nextAction(state, event); decision.Action != request.Retry {
		return decision.Error
	}
	return nil
}

// forwardRefusal handles the refusal of another daemon. It returns nil if another one may serve the
// request.
func (d *Daemon) forwardRefusal(address, id string, refusal *fault.Encoded, state *request.RetryState) error {
	e := refusal.Decode()
	d.log.Info("forwarded request refused", "request", id, "daemon", address, "kind", e.Kind, "ran", e.ExecutionState(), "why", logs.Bounded(e.Detail))
	if e.ExecutionState() == fault.NotRun && helperAtFault(e.Kind) {
		if e.Kind != fault.ServerSaturated {
			d.balancer.recordHelper(address, false)
		}
		return nil
	}
	if e.ExecutionState() == fault.NotRun {
		return withExecutionState(e, state)
	}
	return e
}

// helperAtFault reports whether a refusal is due to the state of the daemon that refuses, so that
// another daemon may serve the request.
func helperAtFault(kind fault.Kind) bool {
	switch kind {
	case fault.ConfigurationStale, fault.ShuttingDown, fault.EngineRefused, fault.NoServer, fault.HelperUnable, fault.ServerSaturated, fault.VersionWithdrawn, fault.NotEntitled:
		return true
	}
	return false
}

// forwardStep runs a step through another daemon. Done is set if the step has ended.
func (d *Daemon) forwardStep(ctx context.Context, s *step, res *stepResult, address string) (done bool, err error) {
	defer d.balancer.endTrial(address)
	body, err := json.Marshal(s.body)
	if err != nil {
		return true, fault.FromError(err)
	}
	req := peer.ForwardedStep{
		RequestID: s.requestID, Workspace: s.workspace, Model: s.model, Version: s.version, FallbackVersion: s.fallbackVersion, Priority: s.priority,
		Prompt: s.prompt, Body: body, RemainingMillis: time.Until(s.deadline).Milliseconds(), Attempts: s.retryState.Attempts(), Repeatable: s.retryState.Repeatable,
		Streamed: s.onText != nil, Fingerprint: s.identity.Request, Parts: s.identity.Parts, ConfigNumber: d.config.current().Number,
	}
	start := time.Now()
	res.text.Reset()
	var last peer.ForwardResponse
	var textErr error
	sent, err := d.forward(ctx, address, stepKind, s.requestID, req, func(m peer.ForwardResponse) bool {
		if m.Text != "" && textErr == nil {
			textErr = d.receiveText(s, res, m.Text, start)
		}
		last = m
		return m.Result != nil || m.Refusal != nil || textErr != nil
	})
	switch {
	case textErr != nil:
		return true, fault.New(fault.CallerLeft, "the caller left").WithExecution(fault.Ran)
	case err != nil:
		err = d.forwardFailure(ctx, s.retryState, sent)
		return err != nil, err
	case last.Refusal != nil:
		err = d.forwardRefusal(address, s.requestID, last.Refusal, s.retryState)
		return err != nil, err
	}
	d.balancer.recordHelper(address, true)
	s.retryState.RecordExecution()
	applyStepResult(res, s, last.Result, time.Since(start))
	return true, nil
}

// receiveText passes a piece of a forwarded step's response to the caller.
func (d *Daemon) receiveText(s *step, res *stepResult, text string, start time.Time) error {
	if res.firstToken == 0 {
		res.firstToken = time.Since(start)
		d.metrics.firstToken.RecordDuration(res.firstToken)
	}
	res.text.WriteString(text)
	if s.onText == nil {
		return nil
	}
	d.recordDelivery(s)
	return s.onText(text)
}

func applyStepResult(res *stepResult, s *step, r *peer.StepResult, elapsed time.Duration) {
	if res.firstToken == 0 {
		res.firstToken = elapsed
	}
	s.version = r.Version
	res.usage = engine.Usage{PromptTokens: r.PromptTokens, CompletionTokens: r.CompletionTokens, Confidence: r.Confidence}
	res.finishReason, res.complete = r.FinishReason, true
	res.pick = pick{candidate: routing.Candidate{ID: r.Server, FailureDomain: r.FailureDomain}}
}

// forwardCall calls a service through another daemon. Done is set if the call has ended.
func (d *Daemon) forwardCall(ctx context.Context, id string, req ServiceRequest, state *request.RetryState, address string) (resp *ServiceResponse, done bool, err error) {
	defer d.balancer.endTrial(address)
	forwarded := peer.ForwardedServiceCall{
		RequestID: id, Workspace: req.Workspace, Service: req.Service, Body: req.Body, Repeatable: state.Repeatable,
		RemainingMillis: time.Until(state.Deadline).Milliseconds(), ConfigNumber: d.config.current().Number,
	}
	var last peer.ForwardResponse
	sent, err := d.forward(ctx, address, callKind, id, forwarded, func(m peer.ForwardResponse) bool {
		last = m
		return m.Call != nil || m.Refusal != nil
	})
	switch {
	case err != nil:
		err = d.forwardFailure(ctx, state, sent)
		return nil, err != nil, err
	case last.Refusal != nil:
		err = d.forwardRefusal(address, id, last.Refusal, state)
		return nil, err != nil, err
	}
	d.balancer.recordHelper(address, true)
	return &ServiceResponse{Status: last.Call.Status, Body: last.Call.Body}, true, nil
}
