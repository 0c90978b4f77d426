package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
)

// opinion is what a model said of its own answer.
type opinion struct {
	model      int
	confidence float64
}

// noOpinion is the confidence of a model that states none.
const noOpinion = -1

// cascades reports whether the daemon chooses the model.
func (x *exchange) cascades() bool { return x.call.Model == AnyModel && len(x.route.Models) > 0 }

// models returns the route's models with their prices.
func (x *exchange) models() []cascade.Model {
	out := make([]cascade.Model, len(x.route.Models))
	dearest := 0.0
	for i, name := range x.route.Models {
		out[i].Name = name
		if x.service.Engine != nil {
			out[i].Price = x.service.Engine.CostPer1kTokens[name]
		}
		dearest = max(dearest, out[i].Price)
	}
	for i := range out {
		out[i].HighestPrice = dearest
	}
	return out
}

// asked is the request as a decision on models sees it.
func (x *exchange) asked() cascade.Request {
	r := cascade.Request{
		Route: x.route.Name, PromptTokens: x.call.Prompt.Tokens, AnswerTokens: x.call.Prompt.ExpectedAnswerTokens(),
		Remaining: time.Until(x.deadline),
	}
	if target := x.route.LatencyTarget; target > 0 {
		// A target that has passed is not the same as none.
		r.FirstEventTarget = max(target-time.Since(x.call.Received), 1)
	}
	return r
}

// events is the expected number of events of the answer.
func (x *exchange) events() float64 {
	perEvent := 1
	if e := x.service.Engine; e != nil {
		perEvent = max(e.EventTokens, 1)
	}
	return float64(x.call.Prompt.ExpectedAnswerTokens()) / float64(perEvent)
}

// offers asks what is expected of each model from an index on.
func (x *exchange) offers(from int) []cascade.Estimate {
	out := make([]cascade.Estimate, len(x.route.Models))
	for i := range out {
		if i < from {
			out[i].Unavailable = true
			continue
		}
		w := x.want(x.route.Models[i])
		w.tried = nil
		out[i] = x.relay.State.outlook(&w, x.events())
	}
	return out
}

// learnArrived tells that the request came.
func (x *exchange) learnArrived() {
	x.opinion = opinion{confidence: noOpinion}
	if x.cascades() {
		r := x.asked()
		x.relay.valuer(x.service.Name, func(v *cascade.Escalator) { v.ObserveRequest(r) })
	}
}

// escalates decides whether a larger model is asked instead, and changes to it.
func (x *exchange) escalates(t *target, confidence float64, began time.Time) bool {
	if !x.cascades() || x.headed {
		return false
	}
	var v cascade.Decision
	r, models, offers := x.asked(), x.models(), x.offers(x.model+1)
	standing := cascade.Estimate{Remainder: x.relay.State.rest(t, x.events())}
	delay := 0.0
	before := x.opinion
	x.opinion = opinion{x.model, confidence}
	x.relay.valuer(x.service.Name, func(l *cascade.Escalator) {
		if before.model < x.model {
			l.ObserveEscalation(models[before.model], models[x.model], before.confidence, confidence)
		}
		v = l.Decide(r, models, offers, x.model, confidence, standing, x.journey.RunsLeft())
		delay = l.DelayCost(models[len(models)-1])
	})
	if v.Model == x.model {
		x.note("answer stands", t, "confidence", confidence, "right", v.CorrectProbability, "worth", v.KeepValue, "worth_of_asking", v.EscalateValue, "delay_price", delay)
		return false
	}
	if !x.relay.mayRepeat(x.service.Name, keepForLoss) {
		x.note("keeps a doubtful answer", t, "confidence", confidence, "right", v.CorrectProbability, "why", "no budget left")
		return false
	}
	x.note("asks a larger model", t, "confidence", confidence, "right", v.CorrectProbability, "worth", v.KeepValue, "worth_of_asking", v.EscalateValue, "delay_price", delay, "next", x.route.Models[v.Model])
	x.relay.Metrics.Escalations.Inc(1)
	x.relay.Rollouts.observe(t, false, x.ratio(t, time.Since(began), 0))
	x.model = v.Model
	x.tried = nil
	return true
}

// learnSent tells what was sent, for the price of a delay.
func (x *exchange) learnSent(t *target) {
	if !x.cascades() {
		return
	}
	r, models := x.asked(), x.models()
	o := cascade.Estimate{FirstEvent: t.expected, Remainder: x.relay.State.rest(t, x.events())}
	x.relay.valuer(x.service.Name, func(v *cascade.Escalator) { v.ObserveDispatch(r, models, x.model, o) })
}

// learnBegan tells how long a first event took.
func (x *exchange) learnBegan(t *target, took time.Duration) {
	if x.cascades() {
		x.relay.valuer(x.service.Name, func(v *cascade.Escalator) { v.ObserveFirstEvent(t.expected, took) })
	}
}

// learnEnded tells how long a stream took from its first event to the last.
func (x *exchange) learnEnded(t *target, took time.Duration) {
	if !x.cascades() {
		return
	}
	expected := x.relay.State.rest(t, x.events())
	x.relay.valuer(x.service.Name, func(v *cascade.Escalator) { v.ObserveCompletion(expected, took) })
}
