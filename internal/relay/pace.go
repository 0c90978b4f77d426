package relay

import (
	"math"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// paces learns how fast a service's models are.
type paces map[string]*pace

type pace struct {
	// line is the time to the first event by uncached tokens.
	line *routing.FirstTokenFit
	// gap is the mean time between events in seconds.
	gap float64
	// load is how many of the model's prompts this daemon sends.
	load routing.PromptRate
	// first is the mean time to the answer of a plain service in seconds.
	first float64
}

const (
	// firstFixed and firstPerToken are assumed of the cheapest model before the
	// first sample, the latter times the relation of the models' costs.
	firstFixed    = 60 * time.Millisecond
	firstPerToken = 5 * time.Microsecond
	// costPower turns the relation of costs into one of times: dearer models
	// cost somewhat more than the time they take.
	costPower = 0.85
	// referenceToken is the time for one token that pending work is counted in:
	// a model that takes twice as long counts double.
	referenceToken = 10 * time.Microsecond
)

// paceWeight is the weight of a new sample: about the last 20 count.
const paceWeight = 0.05

func (p paces) of(model string, e *route.Engine) *pace {
	v := p[model]
	if v == nil {
		v = &pace{line: routing.NewFirstTokenFit(firstFixed, time.Duration(costRatio(model, e)*float64(firstPerToken)))}
		p[model] = v
	}
	return v
}

// costRatio relates a model's cost to the cheapest one's.
func costRatio(model string, e *route.Engine) float64 {
	if e == nil || e.CostPer1kTokens[model] <= 0 {
		return 1
	}
	least := e.CostPer1kTokens[model]
	for _, c := range e.CostPer1kTokens {
		if c > 0 {
			least = min(least, c)
		}
	}
	return math.Pow(e.CostPer1kTokens[model]/least, costPower)
}

// scale is how much longer the model takes over a token than the reference.
func (p *pace) scale() float64 { return float64(p.line.PerToken()) / float64(referenceToken) }

func mean(old *float64, sample float64) {
	if *old == 0 {
		*old = sample
		return
	}
	*old += paceWeight * (sample - *old)
}

// rest returns the time from the first event of a model's stream to the last.
func (p paces) rest(model string, events float64) time.Duration {
	if v := p[model]; v != nil {
		return time.Duration(max(events-1, 0) * v.gap * float64(time.Second))
	}
	return 0
}

// rest is that of a stream that has begun.
func (s *State) rest(t *target, events float64) time.Duration {
	var rest time.Duration
	s.with(t.service, func(sv *service) { rest = sv.pace.rest(t.model, events) })
	return rest
}

// typical returns the usual time to the first event or answer, in seconds.
func (s *State) typical(t *target, engine bool) (first, gap float64) {
	s.with(t.service, func(sv *service) {
		p := sv.pace.of(t.model, nil)
		first, gap = p.first, p.gap
		if engine {
			first = (t.ahead + p.line.Predict(t.uncached)).Seconds()
		}
	})
	return first, gap
}

// paced books the mean time between the events of a stream.
func (s *State) paced(t *target, gap time.Duration) {
	s.with(t.service, func(sv *service) { mean(&sv.pace.of(t.model, nil).gap, gap.Seconds()) })
}
