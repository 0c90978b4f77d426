package relay

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
)

// modelConfidence is a model's confidence in its own answer.
type modelConfidence struct {
	modelIndex int
	confidence float64
}

// noConfidence is the confidence of a model that reports none.
const noConfidence = -1

// choosesModel reports whether the daemon selects the model.
func (x *exchange) choosesModel() bool { return x.call.Model == AnyModel && len(x.route.Models) > 0 }

// models returns the route's models with their prices.
func (x *exchange) models() []cascade.Model {
	out := make([]cascade.Model, len(x.route.Models))
	highest := 0.0
	for i, name := range x.route.Models {
		out[i].Name = name
		if x.service.Engine != nil {
			out[i].Price = x.service.Engine.CostPerKiloToken[name]
		}
		highest = max(highest, out[i].Price)
	}
	for i := range out {
		out[i].HighestPrice = highest
	}
	return out
}

// cascadeRequest describes the call for model selection.
func (x *exchange) cascadeRequest() cascade.Request {
	r := cascade.Request{
		Route: x.route.Name, PromptTokens: x.call.Prompt.Tokens, CompletionTokens: x.call.Prompt.ExpectedCompletionTokens(),
		RemainingTime: time.Until(x.deadline),
	}
	if target := x.route.LatencyTarget; target > 0 {
		// Zero would mean that the route has no target.
		r.FirstEventTarget = max(target-time.Since(x.call.Received), 1)
	}
	return r
}

// expectedEvents returns the expected number of events of the answer.
func (x *exchange) expectedEvents() float64 {
	perEvent := 1
	if engine := x.service.Engine; engine != nil {
		perEvent = max(engine.EventTokens, 1)
	}
	return float64(x.call.Prompt.ExpectedCompletionTokens()) / float64(perEvent)
}

// modelOffers estimates the latency and cost of each model from an index on. Smaller
// models are marked unavailable.
func (x *exchange) modelOffers(from int) []cascade.Estimate {
	out := make([]cascade.Estimate, len(x.route.Models))
	for i := range out {
		if i < from {
			out[i].Unavailable = true
			continue
		}
		req := x.requirements(x.route.Models[i])
		req.tried = nil
		out[i] = x.relay.State.estimate(&req, x.expectedEvents())
		out[i].DisplacedPerSecond = x.displacedPerSecond
	}
	return out
}

// recordArrival records the arrival of the request.
func (x *exchange) recordArrival() {
	x.lastConfidence = modelConfidence{confidence: noConfidence}
	if x.choosesModel() {
		r := x.cascadeRequest()
		x.relay.withEscalator(x.service.Name, func(v *cascade.Escalator) { v.ObserveRequest(r) })
	}
}

// escalate offers the call of a send, whose response has begun, to a larger model if that is worth it.
// It returns true if one has taken the call, or if the answer of the current model was lost meanwhile;
// else that answer is kept.
func (x *exchange) escalate(s *send) bool {
	if !x.choosesModel() || x.headerSent {
		return false
	}
	t, confidence := s.target, s.reply.Confidence
	model, why := x.decideModel(t, confidence)
	if model == x.modelIndex {
		x.logEvent("answer accepted", t, why...)
		return false
	}
	if !x.relay.withdrawRetry(x.service.Name, failoverReserveFraction) {
		x.logEvent("low-confidence answer kept", t, append(why, "why", "retry budget exhausted")...)
		return false
	}
	next, err := x.offerToModel(s, model)
	switch {
	case next == nil && s.ctx.Err() != nil:
		x.logEvent("low-confidence answer lost", t, append(why, "why", err, "cause", context.Cause(s.ctx))...)
		return true
	case next == nil:
		x.logEvent("low-confidence answer kept", t, append(why, "why", err)...)
		x.relay.Metrics.EscalationsGivenUp.Inc(1)
		return false
	}
	x.logEvent("escalated to larger model", t, append(why, "to", next.name(), "workspace", x.workspace, "over_share", x.overShare, "displaced_per_s", x.displacedPerSecond, "latency", t.comparableLatency(0))...)
	x.relay.Metrics.Escalations.Inc(1)
	x.relay.Rollouts.recordResponse(t, x.route.Name, false, t.comparableLatency(0))
	s.next = next
	next.succeed()
	return true
}

// decideModel returns the index of the model that is to answer, and what led to it as log fields.
func (x *exchange) decideModel(t *target, confidence float64) (model int, why []any) {
	var verdict cascade.Decision
	r, models, offers := x.cascadeRequest(), x.models(), x.modelOffers(x.modelIndex+1)
	current := cascade.Estimate{Remainder: x.relay.State.remainingStreamTime(t, x.expectedEvents())}
	delay := 0.0
	previous := x.lastConfidence
	x.lastConfidence = modelConfidence{x.modelIndex, confidence}
	peerCosts := x.peerDelayCosts(models)
	x.relay.withEscalator(x.service.Name, func(v *cascade.Escalator) {
		for i, costs := range peerCosts {
			v.SetPeerDelayCosts(models[i].Name, costs)
		}
		if previous.modelIndex < x.modelIndex {
			v.ObserveEscalation(models[previous.modelIndex], models[x.modelIndex], previous.confidence, confidence)
		}
		verdict = v.Decide(r, models, offers, x.modelIndex, confidence, current, x.retryState.RemainingRuns())
		delay = v.DelayCost(models[len(models)-1])
	})
	return verdict.Model, []any{
		"confidence", confidence, "right", verdict.CorrectProbability, "worth", verdict.KeepValue, "worth_of_asking", verdict.EscalateValue,
		"delay_price", delay, "next", x.route.Models[verdict.Model],
	}
}

// offerToModel offers the call of a send to servers with a larger model until one has taken it. It
// returns nil and the reason if none does. What the send's server responds meanwhile is held back.
func (x *exchange) offerToModel(s *send, model int) (taker, error) {
	smaller, tried := x.modelIndex, x.tried
	x.modelIndex, x.tried = model, nil
	if x.quarantineStatus.Crashes == 0 { // else its run may still crash that server, and must not crash a second
		x.tried = []string{s.target.server.ID}
	}
	x.retryWithdrawn.Store(true) // by the escalation
	s.setRole(offering)
	defer s.setRole(current)
	s.body.holdBack()
	x.offers = newOffers(s.parent, x)
	x.offers.endsSilent = true
	next, why := x.offers.run()
	x.offers, x.withoutArrival, x.forwardRefusal = nil, false, nil
	if next == nil {
		x.modelIndex, x.tried = smaller, tried
	}
	return next, why
}

// recordSend records a send for the estimate of the cost of delay.
func (x *exchange) recordSend(t *target) {
	if !x.choosesModel() {
		return
	}
	r, models := x.cascadeRequest(), x.models()
	estimate := cascade.Estimate{FirstEvent: t.expectedLatency, Remainder: x.relay.State.remainingStreamTime(t, x.expectedEvents())}
	x.relay.withEscalator(x.service.Name, func(v *cascade.Escalator) { v.ObserveSend(r, models, x.modelIndex, estimate, time.Now()) })
}

// recordFirstEvent records the time to the first event.
func (x *exchange) recordFirstEvent(t *target, elapsed time.Duration) {
	if x.choosesModel() {
		x.relay.withEscalator(x.service.Name, func(v *cascade.Escalator) { v.ObserveFirstEvent(t.expectedLatency, elapsed) })
	}
}

// recordStreamEnd records the time from a stream's first event to its last.
func (x *exchange) recordStreamEnd(t *target, elapsed time.Duration) {
	if !x.choosesModel() {
		return
	}
	expected := x.relay.State.remainingStreamTime(t, x.expectedEvents())
	x.relay.withEscalator(x.service.Name, func(v *cascade.Escalator) { v.ObserveCompletion(expected, elapsed) })
}
