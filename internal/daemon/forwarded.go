package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/logs"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/quarantine"
	"github.com/damaskrudder/damaskrudder/internal/request"
)

// registerForwarding registers the handlers of requests that other daemons forward.
func (d *Daemon) registerForwarding(s *peer.Server) {
	peer.HandleStream(s, stepKind, func(ctx context.Context, from string, req peer.ForwardedStep, send func(any) error) {
		d.serveForwarded(from, req.RequestID, req.ConfigNumber, send, func() (peer.ForwardResponse, error) { return d.runForwardedStep(ctx, req, send) })
	})
	peer.HandleStream(s, callKind, func(ctx context.Context, from string, req peer.ForwardedServiceCall, send func(any) error) {
		d.serveForwarded(from, req.RequestID, req.ConfigNumber, send, func() (peer.ForwardResponse, error) { return d.runForwardedCall(ctx, req) })
	})
}

// serveForwarded admits a forwarded request, serves it and sends the last message of the response.
func (d *Daemon) serveForwarded(from, id string, configNumber uint64, send func(any) error, serve func() (peer.ForwardResponse, error)) {
	d.log.Info("forwarded request received", "request", id, "from", from)
	d.metrics.forwardedRequests.Inc(1)
	if d.admission.enter() {
		defer d.admission.leave() // once the response is sent
	}
	resp, err := recoverPanic(d, id, func() (peer.ForwardResponse, error) { return d.admitForwarded(configNumber, serve) })
	if err != nil {
		e := fault.FromError(err)
		d.RecordRefusal(string(e.Kind))
		d.log.Info("refused", "request", id, "kind", e.Kind, "ran", e.ExecutionState(), "why", logs.Bounded(e.Detail), "from", from)
		resp = peer.ForwardResponse{Refusal: e.Encode()}
	}
	_ = send(resp) // the other daemon has disconnected
}

func (d *Daemon) admitForwarded(configNumber uint64, serve func() (peer.ForwardResponse, error)) (peer.ForwardResponse, error) {
	done, err := d.admit()
	if err != nil {
		return peer.ForwardResponse{}, err
	}
	defer done()
	defer d.forwardedRequests.Add(-1)
	switch {
	case d.forwardedRequests.Add(1) > maxForwardedRequests:
		return peer.ForwardResponse{}, fault.New(fault.HelperUnable, "%d requests of other daemons are being served", maxForwardedRequests)
	case d.config.current().Number < configNumber:
		return peer.ForwardResponse{}, fault.New(fault.ConfigurationStale, "the forwarding daemon has a newer configuration")
	}
	return serve()
}

// runForwardedStep runs a step for another daemon.
func (d *Daemon) runForwardedStep(ctx context.Context, req peer.ForwardedStep, send func(any) error) (peer.ForwardResponse, error) {
	deadline := time.Now().Add(time.Duration(req.RemainingMillis) * time.Millisecond)
	state := &request.RetryState{Repeatable: req.Repeatable, Deadline: deadline}
	for range req.Attempts {
		state.RecordAttempt()
	}
	s := &step{
		requestID: req.RequestID, workspace: req.Workspace, model: req.Model, version: req.Version, fallbackVersion: req.FallbackVersion,
		priority: req.Priority, prompt: req.Prompt, retryState: state, deadline: deadline, identity: quarantine.Identity{Request: req.Fingerprint, Parts: req.Parts}, forwarding: forwarding{forwarded: true},
	}
	if err := json.Unmarshal(req.Body, &s.body); err != nil {
		return peer.ForwardResponse{}, fault.New(fault.BadRequest, "the body of a forwarded step is not JSON").WithCause(err)
	}
	if err := d.refuseOutOfReach(req.Model, req.Version); err != nil {
		return peer.ForwardResponse{}, err
	}
	if req.Streamed {
		s.onText = func(text string) error { return send(peer.ForwardResponse{Text: text}) }
	}
	res, err := d.runStep(ctx, s)
	if err != nil {
		return peer.ForwardResponse{}, err
	}
	resp := peer.ForwardResponse{Result: &peer.StepResult{
		Version: s.version, PromptTokens: res.usage.PromptTokens, CompletionTokens: res.usage.CompletionTokens, Confidence: res.usage.Confidence,
		FinishReason: res.finishReason, Server: res.pick.candidate.ID, FailureDomain: res.pick.candidate.FailureDomain,
	}}
	if !req.Streamed {
		resp.Text = res.text.String()
	}
	return resp, nil
}

// refuseOutOfReach refuses a step whose servers this daemon does not reach either.
func (d *Daemon) refuseOutOfReach(model, version string) error {
	if v, ok := d.config.current().Version(model, version); ok && d.balancer.outOfReach(v.Pool) {
		return fault.New(fault.HelperUnable, "the servers of pool %s are out of reach here as well", v.Pool)
	}
	return nil
}

// runForwardedCall calls a service for another daemon.
func (d *Daemon) runForwardedCall(ctx context.Context, req peer.ForwardedServiceCall) (peer.ForwardResponse, error) {
	cfg := d.config.current()
	svc, ok := cfg.Services[req.Service]
	if !ok {
		return peer.ForwardResponse{}, fault.New(fault.ConfigurationStale, "no service %q is configured here", req.Service)
	}
	if d.balancer.outOfReach(svc.Pool) {
		return peer.ForwardResponse{}, fault.New(fault.HelperUnable, "the servers of pool %s are out of reach here as well", svc.Pool)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.RemainingMillis)*time.Millisecond)
	defer cancel()
	call := ServiceRequest{Workspace: req.Workspace, Service: req.Service, Body: req.Body, forwarded: true}
	if !req.Repeatable {
		call.IdempotencyKey = req.RequestID // the forwarding daemon has claimed the caller's key
	}
	resp, err := d.dispatchCall(ctx, req.RequestID, call, svc, cfg.Workspaces[req.Workspace])
	if err != nil {
		return peer.ForwardResponse{}, err
	}
	return peer.ForwardResponse{Call: &peer.CallResult{Status: resp.Status, Body: resp.Body}}, nil
}
