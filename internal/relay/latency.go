package relay

import (
	"math"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// modelLatencies estimates the latency of a service's models.
type modelLatencies map[string]*modelLatency

type modelLatency struct {
	// prefill estimates the time to the first event from the uncached tokens.
	prefill *routing.Line
	// eventInterval is the mean time between events in seconds.
	eventInterval float64
	// load is the rate at which this daemon sends prompts to the model.
	load routing.Load
	// responseTime is the mean response time of a plain service in seconds.
	responseTime float64
}

const (
	// initialFixedLatency and initialTokenLatency are the estimate for the cheapest
	// model before the first sample; the latter scales with the relative cost.
	initialFixedLatency = 60 * time.Millisecond
	initialTokenLatency = 5 * time.Microsecond
	// costExponent converts a cost ratio to a latency ratio: the cost of models grows
	// faster than their latency.
	costExponent = 0.85
	// referenceTokenTime is the prefill time per token in which pending work is
	// measured: a model that takes twice as long counts double.
	referenceTokenTime = 10 * time.Microsecond
)

// sampleWeight is the weight of a new sample in a moving average.
const sampleWeight = 0.05

func (p modelLatencies) get(model string, e *route.Engine) *modelLatency {
	v := p[model]
	if v == nil {
		v = &modelLatency{prefill: routing.NewLine(initialFixedLatency, time.Duration(relativeCost(model, e)*float64(initialTokenLatency)))}
		p[model] = v
	}
	return v
}

// relativeCost returns the latency ratio to the cheapest model, derived from the costs.
func relativeCost(model string, e *route.Engine) float64 {
	if e == nil || e.Cost[model] <= 0 {
		return 1
	}
	least := e.Cost[model]
	for _, c := range e.Cost {
		if c > 0 {
			least = min(least, c)
		}
	}
	return math.Pow(e.Cost[model]/least, costExponent)
}

// prefillScale is the prefill time per token relative to referenceTokenTime.
func (p *modelLatency) prefillScale() float64 {
	return float64(p.prefill.PerToken()) / float64(referenceTokenTime)
}

func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += sampleWeight * (sample - *mean)
}

// streamTime returns the expected time from the first event of a stream to the last.
func (p modelLatencies) streamTime(model string, events float64) time.Duration {
	if v := p[model]; v != nil {
		return time.Duration(max(events-1, 0) * v.eventInterval * float64(time.Second))
	}
	return 0
}

// remainingStreamTime returns the streamTime of a stream that has begun.
func (s *State) remainingStreamTime(t *target, events float64) time.Duration {
	var rest time.Duration
	s.withService(t.service, func(sv *service) { rest = sv.models.streamTime(t.model, events) })
	return rest
}

// typicalLatency returns the typical time to the first event or response and the
// interval between events, in seconds.
func (s *State) typicalLatency(t *target, engine bool) (first, gap float64) {
	s.withService(t.service, func(sv *service) {
		p := sv.models.get(t.model, nil)
		first, gap = p.responseTime, p.eventInterval
		if engine {
			first = (t.backlog + p.prefill.At(t.uncached)).Seconds()
		}
	})
	return first, gap
}

// recordEventInterval records the mean interval between the events of a stream.
func (s *State) recordEventInterval(t *target, gap time.Duration) {
	s.withService(t.service, func(sv *service) { updateMean(&sv.models.get(t.model, nil).eventInterval, gap.Seconds()) })
}
