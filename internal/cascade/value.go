package cascade

import (
	"math"
	"time"
)

// Escalator decides for streams whose head carries the model's own opinion whether a
// larger model is asked before anything is passed on. It chooses what brings most:
// the value of an answer by the probability that it is right and in time, less the
// price of the run, less what the engine time it takes costs the requests that wait
// behind it. The cheapest model always begins: its opinion tells more of a request
// than anything else does, for a tenth of the largest model's time.
type Escalator struct {
	first, rest Forecast
	sure        sureness
	usual       map[string]*usual
	// delay is what one second more to the first event costs a request of a model
	// lately, in the unit of prices.
	delay map[string]float64
}

// Model is one of the models that may answer, cheapest first.
type Model struct {
	Name string
	// Price is that of 1,000 generated tokens, and Dearest the dearest model's.
	Price, HighestPrice float64
}

// Request is what a decision knows of a request. Times count from the decision.
type Request struct {
	Route string
	// PromptTokens is the prompt's length and Answer the expected one of the answer, in
	// tokens.
	PromptTokens, AnswerTokens int
	// FirstEventTarget is the time until which a first event is in time, and Left the time
	// until which the answer must be whole.
	FirstEventTarget, Remaining time.Duration
}

// Estimate is what is expected of one model's answer at the server that it would get.
type Estimate struct {
	// Unavailable says that no server could answer.
	Unavailable bool
	// FirstEvent is the time to the first event, and Rest the time from there to the last.
	FirstEvent, Remainder time.Duration
	// EngineTime is the engine time to read the prompt, and Delayed the number of requests
	// that each second of it delays.
	EngineTime       time.Duration
	DelayedPerSecond float64
}

// Decision is a decision and what it was made of.
type Decision struct {
	// Model is the index of the model to ask, or of the one whose answer stands.
	Model int
	// KeepValue and Ask are the worth of letting the answer stand and of the best other
	// model, in the unit of prices.
	KeepValue, EscalateValue float64
	// CorrectProbability is how likely the answer is taken to be right.
	CorrectProbability float64
}

const (
	// worthOverPrice is the value of a mean answer of a route over the price of a run
	// of its dearest model. Nobody tells it. Operators ask a model because its answers
	// are worth several times its price.
	worthOverPrice = 6
	// lateWorth is the part of its value that a late answer keeps.
	lateWorth = 0.3
	// sizeWorth is the part of an answer's value that grows with its size against the
	// route's mean, mostSize the most it can be worth over the mean, and answerSize
	// the size of a generated token in tokens read, as the operators reckon.
	sizeWorth  = 0.7
	mostSize   = 4
	answerSize = 10
	// readPrice is the price of a token read over that of one generated.
	readPrice = 0.25
	// priceTokens is the number of tokens that a model's price is for.
	priceTokens = 1000
	// delayWeight is the weight of a new request in the cost of a delay: about the
	// last 50 count.
	delayWeight = 0.02
	// delayStep is the delay by which its cost is measured.
	delayStep = 100 * time.Millisecond
)

// usual is the mean size of a route's requests in tokens.
type usual struct{ prompt, answer float64 }

// usualWeight is the weight of a new request: about the last 50 count.
const usualWeight = 0.02

func (v *Escalator) usualOf(r Request) *usual {
	u := v.usual[r.Route]
	if u == nil {
		if v.usual == nil {
			v.usual = map[string]*usual{}
		}
		u = &usual{float64(r.PromptTokens), float64(r.AnswerTokens)}
		v.usual[r.Route] = u
	}
	return u
}

// price returns the price of a run.
func (m Model) price(prompt, answer float64) float64 {
	return m.Price * (answer + readPrice*prompt) / priceTokens
}

// Value returns what the right answer to a request is worth in time, in the unit of
// prices.
func (v *Escalator) Value(r Request, models []Model) float64 {
	u := v.usualOf(r)
	size := (float64(r.PromptTokens) + answerSize*float64(r.AnswerTokens)) / max(u.prompt+answerSize*u.answer, 1)
	mean := worthOverPrice * models[len(models)-1].price(u.prompt, u.answer)
	return mean * min(1-sizeWorth+sizeWorth*size, mostSize)
}

// earns returns the part of its value that a right answer is expected to earn.
func (v *Escalator) earns(r Request, o Estimate) float64 {
	inTime := 1.0
	if r.FirstEventTarget != 0 {
		inTime = v.first.Within(o.FirstEvent, r.FirstEventTarget)
	}
	whole := v.rest.Within(o.Remainder, r.Remaining-o.FirstEvent)
	return whole * (lateWorth + (1-lateWorth)*inTime)
}

// after returns what an offer becomes if another model is asked before.
func (o Estimate) after(before Estimate) Estimate {
	o.FirstEvent += before.FirstEvent
	return o
}

// choice is one decision between models: value is what the right answer is worth, and
// likely how likely each model's answer is right.
type choice struct {
	*Escalator
	request Request
	models  []Model
	offers  []Estimate
	value   float64
	likely  func(at int) float64
}

// asking returns the worth of asking a model, and larger ones after it as long as runs
// are left. Before is the offer of the model that is asked before it.
func (c *choice) asking(at int, before Estimate, runs int) float64 {
	o := c.offers[at].after(before)
	if o.Unavailable || runs < 1 {
		return math.Inf(-1)
	}
	m, r := c.models[at], c.request
	cost := m.price(float64(r.PromptTokens), float64(r.AnswerTokens)) + o.EngineTime.Seconds()*o.DelayedPerSecond*c.delay[m.Name]
	next := 0.0
	for to := at + 1; to < len(c.models); to++ {
		next = max(next, c.asking(to, o, runs-1))
	}
	sure := c.likely(at)
	return sure*c.value*c.earns(r, o) + (1-sure)*next - cost
}

// ObserveRequest takes a request into the means of its route.
func (v *Escalator) ObserveRequest(r Request) {
	u := v.usualOf(r)
	u.prompt += usualWeight * (float64(r.PromptTokens) - u.prompt)
	u.answer += usualWeight * (float64(r.AnswerTokens) - u.answer)
}

// Decide decides on an answer of which the model has an opinion, before any of it is
// passed on. Standing tells when the rest of it is expected. A negative confidence is
// none stated.
func (v *Escalator) Decide(r Request, models []Model, offers []Estimate, at int, confidence float64, standing Estimate, runs int) Decision {
	if confidence < 0 {
		return Decision{Model: at}
	}
	out := Decision{Model: at, CorrectProbability: right(confidence), EscalateValue: math.Inf(-1)}
	c := choice{
		Escalator: v, request: r, models: models, offers: offers, value: v.Value(r, models),
		likely: func(to int) float64 { return v.sure.would(models[at], models[to], confidence) },
	}
	out.KeepValue = out.CorrectProbability * c.value * v.earns(r, standing)
	for to := at + 1; to < len(models); to++ {
		ask := c.asking(to, Estimate{}, runs)
		if ask > out.KeepValue && ask > out.EscalateValue {
			out.Model = to
		}
		out.EscalateValue = max(out.EscalateValue, ask)
	}
	return out
}

// ObserveEscalation takes the opinions of two models that were asked the same.
func (v *Escalator) ObserveEscalation(from, to Model, before, after float64) {
	v.sure.asked(from, to, before, after)
}

// ObserveDispatch learns from a request that is sent to a server what a delay costs: the larger
// of what a little more would cost it, and of what each second of the expected one
// does. The first alone falls to nothing where all requests are late, and a queue
// that costs nothing is never left: see TestValuerLeavesAnOverload.
func (v *Escalator) ObserveDispatch(r Request, models []Model, at int, o Estimate) {
	if v.delay == nil {
		v.delay = map[string]float64{}
	}
	now := v.earns(r, o)
	perSecond := (now - v.earns(r, o.after(Estimate{FirstEvent: delayStep}))) / delayStep.Seconds()
	if o.FirstEvent > 0 {
		atOnce := o
		atOnce.FirstEvent = 0
		perSecond = max(perSecond, (v.earns(r, atOnce)-now)/o.FirstEvent.Seconds())
	}
	name := models[at].Name
	v.delay[name] += delayWeight * (v.Value(r, models)*perSecond - v.delay[name])
}

// DelayCost returns what one second more to a first event costs a request of a model
// lately.
func (v *Escalator) DelayCost(m Model) float64 { return v.delay[m.Name] }

// ObserveFirstEvent takes the time to the first event of a run and what was expected.
func (v *Escalator) ObserveFirstEvent(expected, actual time.Duration) {
	v.first.Observe(expected, actual)
}

// ObserveCompletion takes the time from the first event to the last and what was expected.
func (v *Escalator) ObserveCompletion(expected, actual time.Duration) {
	if expected > 0 {
		v.rest.Observe(expected, actual)
	}
}
