package relay

import (
	"math"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// modelLatencies estimates the latency of a service's models on a typical engine. Models beyond
// maxModelLatencies share the estimate of otherModels: callers may choose any name.
type modelLatencies map[string]*modelLatency

type modelLatency struct {
	// prefill estimates the time to the first event from the uncached tokens.
	prefill *routing.FirstTokenFit
	// eventInterval is the mean time between events in seconds.
	eventInterval float64
	// quick estimates the first events of sends that met no queue, and gaps the shortest gaps between
	// events in seconds by the requests in flight. Engines are compared by them.
	quick *routing.FirstTokenFit
	gaps  enginespeed.LowTime
	// load is the rate at which this daemon sends prompts to the model.
	load routing.Rate
	// work is the rate of their prefill time in seconds.
	work routing.Rate
	// wait is the mean time to the first event beyond that of the prompt's prefill.
	wait routing.DecayingMean
	// responseTime is the mean response time of a plain service in seconds.
	responseTime float64
}

const (
	// initialFixedLatency and initialTokenLatency are the estimate for the cheapest
	// model before the first sample; the latter scales with relativeLatency.
	initialFixedLatency = 60 * time.Millisecond
	initialTokenLatency = 5 * time.Microsecond
	// costExponent converts a cost ratio to a latency ratio: the cost of models grows
	// faster than their latency.
	costExponent = 0.85
	// referenceTokenTime is the prefill time per token in which pending work is
	// expressed: the work of a model that takes twice as long counts double.
	referenceTokenTime = 10 * time.Microsecond
)

const (
	// maxModelLatencies is the number of models of a service with an estimate of their own.
	maxModelLatencies = 128
	otherModels       = ""
)

// sampleWeight is the weight of a new sample in a moving average.
const sampleWeight = 0.05

func (l modelLatencies) get(model string, e *route.Engine) *modelLatency {
	if l[model] == nil && len(l) >= maxModelLatencies {
		model = otherModels
	}
	latency := l[model]
	if latency == nil {
		perToken := time.Duration(relativeLatency(model, e) * float64(initialTokenLatency))
		latency = &modelLatency{prefill: routing.NewFirstTokenFit(initialFixedLatency, perToken), quick: routing.NewFirstTokenFit(initialFixedLatency, perToken)}
		l[model] = latency
	}
	return latency
}

// relativeLatency estimates a model's latency relative to the cheapest model's, from the
// costs.
func relativeLatency(model string, e *route.Engine) float64 {
	if e == nil || e.CostPerKiloToken[model] <= 0 {
		return 1
	}
	lowest := e.CostPerKiloToken[model]
	for _, cost := range e.CostPerKiloToken {
		if cost > 0 {
			lowest = min(lowest, cost)
		}
	}
	return math.Pow(e.CostPerKiloToken[model]/lowest, costExponent)
}

// prefillScale returns the prefill time per token relative to referenceTokenTime.
func (l *modelLatency) prefillScale() float64 {
	return float64(l.prefill.PerToken()) / float64(referenceTokenTime)
}

// updateMean adds a sample to a moving average; the first sample sets it.
func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += sampleWeight * (sample - *mean)
}

// streamTime returns the expected time from the first event of a stream to the last.
func (l modelLatencies) streamTime(model string, events float64) time.Duration {
	if latency := l[model]; latency != nil {
		return time.Duration(max(events-1, 0) * latency.eventInterval * float64(time.Second))
	}
	return 0
}

// remainingStreamTime returns the streamTime of a stream that has begun.
func (s *State) remainingStreamTime(t *target, events float64) time.Duration {
	var remaining time.Duration
	s.withService(t.service, func(sv *service) { remaining = t.ownTime(sv.models.streamTime(t.model, events)) })
	return remaining
}

// typicalLatency returns the typical time to the first event or response and the
// interval between events, in seconds.
func (s *State) typicalLatency(t *target, engine bool) (first, interval float64) {
	s.withService(t.service, func(sv *service) {
		latency := sv.models.get(t.model, nil)
		first, interval = latency.responseTime, latency.eventInterval
		if engine {
			// The server prefills what it cannot fetch.
			first = (t.backlog + t.ownTime(latency.prefill.Predict(t.uncached+t.fetch.expectedTokens))).Seconds()
			interval *= t.factor()
		}
	})
	return first, interval
}

// typicalEngineLatency returns the time to the first event and the interval between events that a
// request takes on a typical engine, in seconds, behind the requests that are queued on its target. The
// target's own speed is left out, since a slow version makes its engines slow.
func (s *State) typicalEngineLatency(t *target) (first, interval float64) {
	s.withService(t.service, func(sv *service) {
		latency := sv.models.get(t.model, nil)
		prefill := latency.prefill.Predict(t.uncached + t.fetch.expectedTokens)
		first = (t.typicalTime(t.backlog) + prefill).Seconds()
		interval = latency.eventInterval
	})
	return first, interval
}

// recordEventInterval records the mean interval between the events of a stream. A version that is being
// rolled out is compared with the running one by it, and has no part in it.
func (s *State) recordEventInterval(t *target, interval time.Duration) {
	if t.unproven {
		return
	}
	s.withService(t.service, func(sv *service) {
		updateMean(&sv.models.get(t.model, nil).eventInterval, t.typicalTime(interval).Seconds())
	})
}
