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
	firstEvent, remainder LatencyForecast
	calibration           confidenceCalibration
	sizeByRoute           map[string]*requestSize
	// delayCostByModel is what one second more to the first event costs a request of a model
	// lately, in the unit of prices.
	delayCostByModel map[string]float64
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
	// valuePerCost is the value of a mean answer of a route over the price of a run
	// of its dearest model. Nobody tells it. Operators ask a model because its answers
	// are worth several times its price.
	valuePerCost = 6
	// lateValueShare is the part of its value that a late answer keeps.
	lateValueShare = 0.3
	// sizeValueShare is the part of an answer's value that grows with its size against the
	// route's mean, mostSize the most it can be worth over the mean, and answerSize
	// the size of a generated token in tokens read, as the operators reckon.
	sizeValueShare  = 0.7
	maxSizeFactor   = 4
	answerTokenSize = 10
	// promptTokenPrice is the price of a token read over that of one generated.
	promptTokenPrice = 0.25
	// priceTokens is the number of tokens that a model's price is for.
	priceTokens = 1000
	// delayWeight is the weight of a new request in the cost of a delay: about the
	// last 50 count.
	delayWeight = 0.02
	// delayStep is the delay by which its cost is measured.
	delayStep = 100 * time.Millisecond
)

// requestSize is the mean size of a route's requests in tokens.
type requestSize struct{ prompt, answer float64 }

// requestSizeWeight is the weight of a new request: about the last 50 count.
const requestSizeWeight = 0.02

func (e *Escalator) meanSize(r Request) *requestSize {
	size := e.sizeByRoute[r.Route]
	if size == nil {
		if e.sizeByRoute == nil {
			e.sizeByRoute = map[string]*requestSize{}
		}
		size = &requestSize{float64(r.PromptTokens), float64(r.AnswerTokens)}
		e.sizeByRoute[r.Route] = size
	}
	return size
}

// cost returns the price of a run.
func (m Model) cost(prompt, answer float64) float64 {
	return m.Price * (answer + promptTokenPrice*prompt) / priceTokens
}

// AnswerValue returns what the right answer to a request is worth in time, in the unit of
// prices.
func (e *Escalator) AnswerValue(r Request, models []Model) float64 {
	meanSize := e.meanSize(r)
	relativeSize := (float64(r.PromptTokens) + answerTokenSize*float64(r.AnswerTokens)) / max(meanSize.prompt+answerTokenSize*meanSize.answer, 1)
	meanValue := valuePerCost * models[len(models)-1].cost(meanSize.prompt, meanSize.answer)
	return meanValue * min(1-sizeValueShare+sizeValueShare*relativeSize, maxSizeFactor)
}

// expectedShare returns the part of its value that a right answer is expected to earn.
func (e *Escalator) expectedShare(r Request, o Estimate) float64 {
	inTime := 1.0
	if r.FirstEventTarget != 0 {
		inTime = e.firstEvent.Within(o.FirstEvent, r.FirstEventTarget)
	}
	complete := e.remainder.Within(o.Remainder, r.Remaining-o.FirstEvent)
	return complete * (lateValueShare + (1-lateValueShare)*inTime)
}

// startingAfter returns what an offer becomes if another model is asked before.
func (e Estimate) startingAfter(before Estimate) Estimate {
	e.FirstEvent += before.FirstEvent
	return e
}

// evaluation is one decision between models: value is what the right answer is worth, and
// likely how likely each model's answer is right.
type evaluation struct {
	*Escalator
	request   Request
	models    []Model
	estimates []Estimate
	value     float64
	correct   func(at int) float64
}

// escalationValue returns the worth of asking a model, and larger ones after it as long as runs
// are left. Before is the offer of the model that is asked before it.
func (e *evaluation) escalationValue(at int, before Estimate, runs int) float64 {
	o := e.estimates[at].startingAfter(before)
	if o.Unavailable || runs < 1 {
		return math.Inf(-1)
	}
	m, r := e.models[at], e.request
	cost := m.cost(float64(r.PromptTokens), float64(r.AnswerTokens)) + o.EngineTime.Seconds()*o.DelayedPerSecond*e.delayCostByModel[m.Name]
	next := 0.0
	for to := at + 1; to < len(e.models); to++ {
		next = max(next, e.escalationValue(to, o, runs-1))
	}
	probability := e.correct(at)
	return probability*e.value*e.expectedShare(r, o) + (1-probability)*next - cost
}

// ObserveRequest takes a request into the means of its route.
func (e *Escalator) ObserveRequest(r Request) {
	size := e.meanSize(r)
	size.prompt += requestSizeWeight * (float64(r.PromptTokens) - size.prompt)
	size.answer += requestSizeWeight * (float64(r.AnswerTokens) - size.answer)
}

// Decide decides on an answer of which the model has an opinion, before any of it is
// passed on. Standing tells when the rest of it is expected. A negative confidence is
// none stated.
func (e *Escalator) Decide(r Request, models []Model, estimates []Estimate, at int, confidence float64, current Estimate, runs int) Decision {
	if confidence < 0 {
		return Decision{Model: at}
	}
	decision := Decision{Model: at, CorrectProbability: correctProbability(confidence), EscalateValue: math.Inf(-1)}
	c := evaluation{
		Escalator: e, request: r, models: models, estimates: estimates, value: e.AnswerValue(r, models),
		correct: func(to int) float64 { return e.calibration.predict(models[at], models[to], confidence) },
	}
	decision.KeepValue = decision.CorrectProbability * c.value * e.expectedShare(r, current)
	for to := at + 1; to < len(models); to++ {
		escalateValue := c.escalationValue(to, Estimate{}, runs)
		if escalateValue > decision.KeepValue && escalateValue > decision.EscalateValue {
			decision.Model = to
		}
		decision.EscalateValue = max(decision.EscalateValue, escalateValue)
	}
	return decision
}

// ObserveEscalation takes the opinions of two models that were asked the same.
func (e *Escalator) ObserveEscalation(from, to Model, before, after float64) {
	e.calibration.observe(from, to, before, after)
}

// ObserveDispatch learns from a request that is sent to a server what a delay costs: the larger
// of what a little more would cost it, and of what each second of the expected one
// does. The first alone falls to nothing where all requests are late, and a queue
// that costs nothing is never left: see TestValuerLeavesAnOverload.
func (e *Escalator) ObserveDispatch(r Request, models []Model, at int, estimate Estimate) {
	if e.delayCostByModel == nil {
		e.delayCostByModel = map[string]float64{}
	}
	share := e.expectedShare(r, estimate)
	perSecond := (share - e.expectedShare(r, estimate.startingAfter(Estimate{FirstEvent: delayStep}))) / delayStep.Seconds()
	if estimate.FirstEvent > 0 {
		immediate := estimate
		immediate.FirstEvent = 0
		perSecond = max(perSecond, (e.expectedShare(r, immediate)-share)/estimate.FirstEvent.Seconds())
	}
	name := models[at].Name
	e.delayCostByModel[name] += delayWeight * (e.AnswerValue(r, models)*perSecond - e.delayCostByModel[name])
}

// DelayCost returns what one second more to a first event costs a request of a model
// lately.
func (e *Escalator) DelayCost(m Model) float64 { return e.delayCostByModel[m.Name] }

// ObserveFirstEvent takes the time to the first event of a run and what was expected.
func (e *Escalator) ObserveFirstEvent(expected, actual time.Duration) {
	e.firstEvent.Observe(expected, actual)
}

// ObserveCompletion takes the time from the first event to the last and what was expected.
func (e *Escalator) ObserveCompletion(expected, actual time.Duration) {
	if expected > 0 {
		e.remainder.Observe(expected, actual)
	}
}
