package cascade

import (
	"math"
	"time"
)

// Escalator decides whether a request is escalated to a larger model before any of a
// smaller model's answer is passed on. From the confidence stated at the start of the
// answer, it maximizes the expected net value: the value of a correct answer in time, less
// the price of the run and the delay to other requests.
type Escalator struct {
	firstEvent, remainder LatencyForecast
	calibration           confidenceCalibration
	sizeByRoute           map[string]*requestSize
	// overallSize is the mean size of the requests of all routes.
	overallSize *requestSize
	// delayByModel and peerDelayByModel are the cost of delay of recent requests, those of this and
	// those of the other daemons.
	delayByModel, peerDelayByModel map[string]DelayCosts
	delayUpdatedAt                 time.Time
}

// DelayCosts sums the cost, in the unit of prices, of one second of additional time to first event
// over recent requests of a model.
type DelayCosts struct{ Sum, Requests float64 }

// Model is one of the models of a route. Models are ordered by price, cheapest first.
type Model struct {
	Name string
	// Price is the price of 1,000 generated tokens, and HighestPrice that of the most
	// expensive model.
	Price, HighestPrice float64
}

// Request describes the request to decide on. Times count from the decision.
type Request struct {
	Route string
	// PromptTokens is the length of the prompt, and CompletionTokens the expected length of
	// the answer.
	PromptTokens, CompletionTokens int
	// FirstEventTarget is the time left to the target for the first event, zero if there
	// is none. Remaining is the time left to the deadline of the complete answer.
	FirstEventTarget, RemainingTime time.Duration
}

// Estimate is the expected performance of one model on the best available server.
type Estimate struct {
	// Unavailable is set if no server can answer.
	Unavailable bool
	// FirstEvent is the time to the first event, and Remainder the time from there to the
	// last.
	FirstEvent, Remainder time.Duration
	// EngineTime is the time of the prompt's prefill, and DelayedPerSecond the number of
	// other requests delayed during each second of it.
	EngineTime       time.Duration
	DelayedPerSecond float64
	// DisplacedPerSecond is the number of answers that callers with a prior claim on the engine get
	// late for each second of it; zero if there is none.
	DisplacedPerSecond float64
}

// Decision is the result of Decide and the values that led to it.
type Decision struct {
	// Model is the index of the model to escalate to, or of the current one if its answer
	// is kept.
	Model int
	// KeepValue and EscalateValue are the net values of keeping the answer and of the best
	// escalation, in the unit of prices.
	KeepValue, EscalateValue float64
	// CorrectProbability is the probability that the current answer is correct.
	CorrectProbability float64
}

const (
	// valuePerCost is the assumed ratio of the value of an average answer to the cost of a
	// run of the most expensive model. No setting states it; operators use a model because
	// its answers are worth several times its price.
	valuePerCost = 6
	// lateValueShare is the fraction of its value that an answer retains if its first
	// event is late.
	lateValueShare = 0.3
	// sizeValueShare is the fraction of an answer's value that is proportional to its size
	// relative to the route's mean, maxSizeFactor the bound of its value relative to the
	// mean, and completionTokenSize the size of a generated token in prompt tokens.
	sizeValueShare      = 0.7
	maxSizeFactor       = 4
	completionTokenSize = 10
	// promptTokenPrice is the price of a prompt token relative to a generated one.
	promptTokenPrice = 0.25
	// priceTokens is the number of tokens that Model.Price refers to.
	priceTokens = 1000
	// delayHalfLife is the half-life of a request in the cost of delay. It is about the time in
	// which an overload builds up.
	delayHalfLife = 2 * time.Second
	// delayPriorRequests is the weight of the assumption that a delay costs nothing.
	delayPriorRequests = 2
	// delayStep is the difference in time by which the cost of delay is computed.
	delayStep = 100 * time.Millisecond
)

// requestSize is the mean size of a route's requests in tokens.
type requestSize struct{ prompt, completion float64 }

// requestSizeWeight is the weight of a new request in the mean size.
const requestSizeWeight = 0.02

func (e *Escalator) meanRequestSize(r Request) *requestSize {
	size := e.sizeByRoute[r.Route]
	if size == nil {
		if e.sizeByRoute == nil {
			e.sizeByRoute = map[string]*requestSize{}
		}
		size = &requestSize{float64(r.PromptTokens), float64(r.CompletionTokens)}
		e.sizeByRoute[r.Route] = size
	}
	return size
}

func (e *Escalator) overallMeanSize(r Request) *requestSize {
	if e.overallSize == nil {
		e.overallSize = &requestSize{float64(r.PromptTokens), float64(r.CompletionTokens)}
	}
	return e.overallSize
}

// cost returns the price of a run of the largest model.
func (s *requestSize) cost(models []Model) float64 {
	return models[len(models)-1].cost(s.prompt, s.completion)
}

// add adds a request to the mean.
func (s *requestSize) add(r Request) {
	s.prompt += requestSizeWeight * (float64(r.PromptTokens) - s.prompt)
	s.completion += requestSizeWeight * (float64(r.CompletionTokens) - s.completion)
}

// cost returns the price of a run with the given numbers of tokens.
func (m Model) cost(prompt, answer float64) float64 {
	return m.Price * (answer + promptTokenPrice*prompt) / priceTokens
}

// AnswerValue returns the value of a correct answer in time, in the unit of prices. No setting states
// what the answers of a route are worth compared with those of others. The geometric mean of two
// assumptions is used: that they are worth as much as their cost, and that all are worth the same. By
// cost alone, the longest prompts would escalate under overload at the expense of all others.
func (e *Escalator) AnswerValue(r Request, models []Model) float64 {
	meanSize := e.meanRequestSize(r)
	relativeSize := (float64(r.PromptTokens) + completionTokenSize*float64(r.CompletionTokens)) / max(meanSize.prompt+completionTokenSize*meanSize.completion, 1)
	return e.meanAnswerValue(r, models) * min(1-sizeValueShare+sizeValueShare*relativeSize, maxSizeFactor)
}

// meanAnswerValue returns the AnswerValue of the route's mean request.
func (e *Escalator) meanAnswerValue(r Request, models []Model) float64 {
	return valuePerCost * math.Sqrt(e.overallMeanSize(r).cost(models)*e.meanRequestSize(r).cost(models))
}

// expectedShare returns the expected fraction of its value that a correct answer yields,
// given the probabilities of being in time and complete.
func (e *Escalator) expectedShare(r Request, estimate Estimate) float64 {
	inTime := 1.0
	if r.FirstEventTarget != 0 {
		inTime = e.firstEvent.ProbabilityWithin(estimate.FirstEvent, r.FirstEventTarget)
	}
	complete := e.remainder.ProbabilityWithin(estimate.Remainder, r.RemainingTime-estimate.FirstEvent)
	return complete * (lateValueShare + (1-lateValueShare)*inTime)
}

// startingAfter returns the estimate for a run that starts at the first event of another.
func (e Estimate) startingAfter(before Estimate) Estimate {
	e.FirstEvent += before.FirstEvent
	return e
}

// evaluation holds the inputs of one decision: the value of a correct answer and, by model
// index, the probability that the model's answer is correct.
type evaluation struct {
	*Escalator
	request   Request
	models    []Model
	estimates []Estimate
	value     float64
	correct   func(model int) float64
}

// escalationValue returns the expected net value of a run of a model, including further
// escalations while runs are left. Before is the estimate of the preceding run.
func (e *evaluation) escalationValue(model int, before Estimate, runs int) float64 {
	estimate := e.estimates[model].startingAfter(before)
	if estimate.Unavailable || runs < 1 {
		return math.Inf(-1)
	}
	m, r := e.models[model], e.request
	cost := m.cost(float64(r.PromptTokens), float64(r.CompletionTokens)) + estimate.EngineTime.Seconds()*e.engineTimeCost(estimate, m)
	next := 0.0
	for to := model + 1; to < len(e.models); to++ {
		next = max(next, e.escalationValue(to, estimate, runs-1))
	}
	probability := e.correct(model)
	return probability*e.value*e.expectedShare(r, estimate) + (1-probability)*next - cost
}

// engineTimeCost returns what a second of an engine's time costs other requests.
func (e *evaluation) engineTimeCost(estimate Estimate, m Model) float64 {
	displaced := estimate.DisplacedPerSecond * (1 - lateValueShare) * e.meanAnswerValue(e.request, e.models)
	return estimate.DelayedPerSecond*e.DelayCost(m) + displaced
}

// ObserveRequest adds a request to the mean sizes.
func (e *Escalator) ObserveRequest(r Request) {
	e.meanRequestSize(r).add(r)
	e.overallMeanSize(r).add(r)
}

// Decide decides whether the answer of a model, given by index, is kept or escalated.
// Current is the estimate for the rest of that answer. An answer without a stated
// confidence, given as a negative value, is kept.
func (e *Escalator) Decide(r Request, models []Model, estimates []Estimate, model int, confidence float64, current Estimate, runs int) Decision {
	if confidence < 0 {
		return Decision{Model: model}
	}
	decision := Decision{Model: model, CorrectProbability: correctProbability(confidence), EscalateValue: math.Inf(-1)}
	eval := evaluation{
		Escalator: e, request: r, models: models, estimates: estimates, value: e.AnswerValue(r, models),
		correct: func(to int) float64 { return e.calibration.predict(models[model], models[to], confidence) },
	}
	decision.KeepValue = decision.CorrectProbability * eval.value * e.expectedShare(r, current)
	for to := model + 1; to < len(models); to++ {
		escalateValue := eval.escalationValue(to, Estimate{}, runs)
		if escalateValue > decision.KeepValue && escalateValue > decision.EscalateValue {
			decision.Model = to
		}
		decision.EscalateValue = max(decision.EscalateValue, escalateValue)
	}
	return decision
}

// ObserveEscalation adds the confidences that two models state on the same request.
func (e *Escalator) ObserveEscalation(from, to Model, before, after float64) {
	e.calibration.observe(from, to, before, after)
}

// ObserveSend updates the cost of delay from a dispatched request: the larger of its
// marginal cost and the average cost per second of the expected delay. The marginal cost
// alone vanishes once all requests are late, which would prolong an overload.
func (e *Escalator) ObserveSend(r Request, models []Model, model int, estimate Estimate, now time.Time) {
	e.decayDelayCosts(now)
	share := e.expectedShare(r, estimate)
	perSecond := (share - e.expectedShare(r, estimate.startingAfter(Estimate{FirstEvent: delayStep}))) / delayStep.Seconds()
	if estimate.FirstEvent > 0 {
		immediate := estimate
		immediate.FirstEvent = 0
		perSecond = max(perSecond, (e.expectedShare(r, immediate)-share)/estimate.FirstEvent.Seconds())
	}
	name := models[model].Name
	costs := e.delayByModel[name]
	e.delayByModel[name] = DelayCosts{costs.Sum + e.AnswerValue(r, models)*perSecond, costs.Requests + 1}
}

func (e *Escalator) decayDelayCosts(now time.Time) {
	if e.delayByModel == nil {
		e.delayByModel = map[string]DelayCosts{}
	}
	if now.Before(e.delayUpdatedAt) {
		return
	}
	decay := math.Exp2(-now.Sub(e.delayUpdatedAt).Seconds() / delayHalfLife.Seconds())
	e.delayUpdatedAt = now
	for name, costs := range e.delayByModel {
		e.delayByModel[name] = DelayCosts{costs.Sum * decay, costs.Requests * decay}
	}
}

// DelayCosts returns the recent cost of delay of this daemon's requests of a model.
func (e *Escalator) DelayCosts(model string, now time.Time) DelayCosts {
	e.decayDelayCosts(now)
	return e.delayByModel[model]
}

// SetPeerDelayCosts sets the recent cost of delay of the other daemons' requests of a model. Each
// daemon of many sends too little to know soon that an overload has begun.
func (e *Escalator) SetPeerDelayCosts(model string, costs DelayCosts) {
	if e.peerDelayByModel == nil {
		e.peerDelayByModel = map[string]DelayCosts{}
	}
	e.peerDelayByModel[model] = costs
}

// DelayCost returns the recent cost, in the unit of prices, of one second of additional
// time to first event for a request of a model.
func (e *Escalator) DelayCost(m Model) float64 {
	own, peers := e.delayByModel[m.Name], e.peerDelayByModel[m.Name]
	return (own.Sum + peers.Sum) / (own.Requests + peers.Requests + delayPriorRequests)
}

// ObserveFirstEvent adds the expected and actual time to the first event of a run.
func (e *Escalator) ObserveFirstEvent(expected, actual time.Duration) {
	e.firstEvent.Observe(expected, actual)
}

// ObserveCompletion adds the expected and actual time from the first event to the last.
func (e *Escalator) ObserveCompletion(expected, actual time.Duration) {
	if expected > 0 {
		e.remainder.Observe(expected, actual)
	}
}
