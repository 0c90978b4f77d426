package cascade

import (
	"math"
	"testing"
	"time"
)

// threeModels returns models whose middle one costs half as much as the largest.
func threeModels() []Model {
	return []Model{{"small", 0.01, 0.13}, {"middle", 0.06, 0.13}, {"large", 0.13, 0.13}}
}

func testRequest() Request {
	return Request{Route: "r", PromptTokens: 9000, CompletionTokens: 100, FirstEventTarget: 2 * time.Second, RemainingTime: 10 * time.Second}
}

// fastEstimates returns estimates of three models on servers without a queue.
func fastEstimates() []Estimate {
	estimate := Estimate{FirstEvent: 300 * time.Millisecond, Remainder: time.Second, EngineTime: 200 * time.Millisecond}
	return []Estimate{estimate, estimate, estimate}
}

const maxRuns = 3

func TestDecide(t *testing.T) {
	late, endless, queued, displacing := fastEstimates(), fastEstimates(), fastEstimates(), fastEstimates()
	for i := range late {
		late[i].FirstEvent = 4 * time.Second
		endless[i].Remainder = time.Minute
		queued[i].DelayedPerSecond = 1000
		displacing[i].DisplacedPerSecond = 10
	}
	two := []Model{{"small", 0.01, 0.13}, {"large", 0.13, 0.13}}
	for _, tt := range []struct {
		name       string
		models     []Model
		estimates  []Estimate
		at         int
		confidence float64
		runs       int
		want       string
	}{
		{"high confidence", threeModels(), fastEstimates(), 0, 90, maxRuns, "small"},
		{"low confidence", threeModels(), fastEstimates(), 0, 10, maxRuns, "large"},
		{"medium confidence", threeModels(), fastEstimates(), 0, 45, maxRuns, "middle"},
		{"low confidence of the middle model", threeModels(), fastEstimates(), 1, 30, maxRuns, "large"},
		{"low confidence of the largest model", threeModels(), fastEstimates(), 2, 5, maxRuns, "large"},
		{"no confidence stated", threeModels(), fastEstimates(), 0, -1, maxRuns, "small"},
		{"no runs left", threeModels(), fastEstimates(), 0, 10, 0, "small"},
		{"even confidence, larger model late", two, late, 0, 50, maxRuns, "small"},
		{"low confidence, larger model late", two, late, 0, 10, maxRuns, "large"},
		{"low confidence, larger model past the deadline", two, endless, 0, 10, maxRuns, "small"},
		{"low confidence, run would delay 1,000 requests", two, queued, 0, 10, maxRuns, "small"},
		{"low confidence, run would displace two answers", two, displacing, 0, 10, maxRuns, "small"},
		{"no server for the larger model", two, []Estimate{{}, {Unavailable: true}}, 0, 10, maxRuns, "small"},
		{"one model", two[:1], fastEstimates()[:1], 0, 5, maxRuns, "small"},
	} {
		escalator := Escalator{delayByModel: map[string]DelayCosts{"large": {Sum: 100, Requests: 1000 - delayPriorRequests}}}
		got := escalator.Decide(testRequest(), tt.models, tt.estimates, tt.at, tt.confidence, Estimate{Remainder: time.Second}, tt.runs)
		if name := tt.models[got.Model].Name; name != tt.want {
			t.Errorf("%s: %s, want %s (%+v)", tt.name, name, tt.want, got)
		}
	}
}

// A middle model nearly as good as the largest must be preferred to it, and one no better
// than the smallest skipped.
func TestEscalatorLearnsConfidenceGain(t *testing.T) {
	for _, tt := range []struct {
		gain float64
		want int
	}{{60, 1}, {0, 2}} {
		var escalator Escalator
		models := threeModels()
		for range 30 {
			escalator.ObserveEscalation(models[0], models[1], 30, 30+tt.gain)
		}
		if got := escalator.Decide(testRequest(), models, fastEstimates(), 0, 25, Estimate{Remainder: time.Second}, maxRuns); got.Model != tt.want {
			t.Errorf("middle model with a gain of %g: escalated to %s", tt.gain, models[got.Model].Name)
		}
	}
}

// Confidences at the ends of the scale must not lower the estimate of a model.
func TestExtremeConfidencesAreBounds(t *testing.T) {
	var escalator Escalator
	models := threeModels()
	before := escalator.calibration.predict(models[0], models[2], 40)
	for range 50 {
		escalator.ObserveEscalation(models[0], models[2], 90, 100)
		escalator.ObserveEscalation(models[0], models[2], 0, 60)
		escalator.ObserveEscalation(models[0], models[2], -1, 10)
	}
	if after := escalator.calibration.predict(models[0], models[2], 40); after < before {
		t.Errorf("probability of the largest model %.2f, before %.2f", after, before)
	}
}

func TestAnswerValueGrowsWithSize(t *testing.T) {
	var escalator Escalator
	short, long := testRequest(), testRequest()
	escalator.ObserveRequest(short)
	long.CompletionTokens = 900
	shortValue, longValue := escalator.AnswerValue(short, threeModels()), escalator.AnswerValue(long, threeModels())
	if want := shortValue * (1 - sizeValueShare + sizeValueShare*18000/10000); math.Abs(longValue-want) > 0.01*want {
		t.Errorf("value of an average answer %.3f, of a long one %.3f, want %.3f", shortValue, longValue, want)
	}
	long.CompletionTokens = 1e6
	if most := escalator.AnswerValue(long, threeModels()); most > maxSizeFactor*shortValue*1.001 {
		t.Errorf("value of a huge answer is %.1f times the average", most/shortValue)
	}
}

func TestLatencyForecastLearnsBiasAndSpread(t *testing.T) {
	var forecast LatencyForecast
	if p := forecast.ProbabilityWithin(time.Second, time.Second); math.Abs(p-0.5) > 0.01 {
		t.Errorf("initial probability %.2f, want 0.50", p)
	}
	for i := range 400 {
		// Alternate between 1.6 and 2.5 times the expected time, with a median of 2.
		factor := 1.6
		if i%2 == 0 {
			factor = 2.5
		}
		forecast.Observe(time.Second, time.Duration(factor*float64(time.Second)))
	}
	for limit, want := range map[time.Duration]float64{time.Second: 0, 2 * time.Second: 0.5, 4 * time.Second: 1} {
		if p := forecast.ProbabilityWithin(time.Second, limit); math.Abs(p-want) > 0.06 {
			t.Errorf("within %s: %.2f, want %.2f", limit, p, want)
		}
	}
	if forecast.ProbabilityWithin(time.Second, 0) != 0 || forecast.ProbabilityWithin(0, time.Second) != 1 {
		t.Error("want probability 0 with no time left and 1 for an expected time of 0")
	}
}

// Guards against an overload in which the routes with the longest prompts take the larger models.
func TestValueOfLongPromptsIsBelowTheirCost(t *testing.T) {
	models := threeModels()
	long, short := Request{Route: "long", PromptTokens: 16000, CompletionTokens: 10}, Request{Route: "short", PromptTokens: 1000, CompletionTokens: 10}
	var e Escalator
	for range 1000 {
		e.ObserveRequest(long)
		e.ObserveRequest(short)
	}
	largest := models[len(models)-1]
	costs := largest.cost(16000, 10) / largest.cost(1000, 10)
	if got, want := e.AnswerValue(long, models)/e.AnswerValue(short, models), math.Sqrt(costs); math.Abs(got-want) > 0.01 {
		t.Errorf("values of the routes differ by %.2f, want %.2f, as costs differ by %.2f", got, want, costs)
	}
}

// A temporary backlog at the larger model must not persist because escalations continue
// while all requests are late.
func TestEscalatorRecoversFromOverload(t *testing.T) {
	const (
		capacity = 60.0  // answers of the larger model per second
		load     = 200.0 // requests per second, with confidences uniform from 0 to 100
		step     = 0.05  // seconds
		until    = 60.0  // seconds
	)
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	models := []Model{{"small", 0.01, 0.13}, {"large", 0.13, 0.13}}
	request := Request{Route: "r", PromptTokens: 1000, CompletionTokens: 20, FirstEventTarget: time.Second, RemainingTime: 10 * time.Second}
	var escalator Escalator
	queued, escalationRate, late := 300.0, 0.0, 0.0
	for now := 0.0; now < until; now += step {
		delay := queued / capacity
		first := seconds(0.3 + delay)
		estimate := Estimate{FirstEvent: first, EngineTime: seconds(1 / capacity), DelayedPerSecond: escalationRate * delay}
		escalations := 0.0
		for i := range int(load * step) {
			escalator.ObserveRequest(request)
			confidence := 100 * (float64(i) + 0.5) / (load * step)
			if escalator.Decide(request, models, []Estimate{{Unavailable: true}, estimate}, 0, confidence, Estimate{}, maxRuns).Model == 1 {
				escalator.ObserveSend(request, models, 1, estimate, time.Unix(0, 0).Add(seconds(now)))
				escalator.ObserveFirstEvent(first, first)
				escalations++
			}
		}
		escalationRate += 0.1 * (escalations/step - escalationRate)
		queued = max(0, queued+escalations-capacity*step)
		if first > request.FirstEventTarget && now > until/2 {
			late += step
		}
	}
	if lateFraction := late / (until / 2); lateFraction > 0.25 {
		t.Errorf("%.2f of the requests are late in the second half, want at most 0.25", lateFraction)
	}
}
