package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

const (
	// planInterval is the period of collecting ratings and updating plans.
	planInterval = time.Second
	// sampleSubmitTimeout bounds one submission to the rating service.
	sampleSubmitTimeout = 2 * time.Second
	// maxPendingSamples bounds the samples whose rating is outstanding.
	maxPendingSamples = 20000
	// maxClasses is the number of request classes of a cascade with evidence of their own: callers may
	// name any. Others, and those with a name of more than maxClassBytes bytes, are otherClasses.
	maxClasses    = 64
	maxClassBytes = 128
	otherClasses  = "other"
)

// cascadePlanner collects ratings and derives the plan of each cascade of each
// workspace from them.
type cascadePlanner struct {
	d            *Daemon
	mu           sync.Mutex
	state        map[string]*cascadeState
	pending      map[string]pendingSample
	ratingCursor int
}

type cascadeState struct {
	classes    map[string]*cascade.Class
	plan       cascade.Plan
	cheapModel string
}

// pendingSample describes a submitted response whose rating is outstanding.
type pendingSample struct {
	cascade, class string
	confidence     float64
	expensive      bool
}

func newCascadePlanner(d *Daemon) *cascadePlanner {
	return &cascadePlanner{d: d, state: map[string]*cascadeState{}, pending: map[string]pendingSample{}}
}

func (c *cascadePlanner) stateOf(cascadeKey string) *cascadeState {
	state := c.state[cascadeKey]
	if state == nil {
		state = &cascadeState{classes: map[string]*cascade.Class{}}
		c.state[cascadeKey] = state
	}
	return state
}

func (s *cascadeState) class(name string) *cascade.Class {
	name = s.boundedClass(name)
	class := s.classes[name]
	if class == nil {
		class = &cascade.Class{}
		s.classes[name] = class
	}
	return class
}

// boundedClass returns the name under which the evidence of a class is kept.
func (s *cascadeState) boundedClass(name string) string {
	if s.classes[name] == nil && (len(s.classes) >= maxClasses || len(name) > maxClassBytes) {
		return otherClasses
	}
	return name
}

// boundedClass returns the name under which the evidence of a class of a cascade is kept.
func (c *cascadePlanner) boundedClass(cascadeKey, name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateOf(cascadeKey).boundedClass(name)
}

// useCheapFirst reports whether a request goes to the cheap model first.
// cheapModel is "model@version"; the collected evidence is discarded when it changes.
func (c *cascadePlanner) useCheapFirst(cascadeKey, class, cheapModel string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateOf(cascadeKey)
	if state.cheapModel != cheapModel {
		for _, evidence := range state.classes {
			evidence.Reset()
		}
		state.cheapModel = cheapModel
	}
	_, known := state.plan.Accept[class]
	return state.plan.UseCheapFirst(class, known, rand.Float64())
}

// acceptCheap records the confidence of a response of the cheap model and reports
// whether the response is accepted.
func (c *cascadePlanner) acceptCheap(cascadeKey, class string, confidence float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateOf(cascadeKey)
	state.class(class).RecordConfidence(confidence)
	return state.plan.Accepts(class, confidence)
}

// submitSample sends a random share of responses to the rating service.
func (c *cascadePlanner) submitSample(info pendingSample, sample platform.Sample) {
	if c.d.deps.Ratings == nil || rand.Float64() >= c.ratingShare(sample.Model, sample.Version) {
		return
	}
	c.mu.Lock()
	// Samples that are never rated stay in the map, so it is cleared when it is full.
	// Outstanding ratings then do not count towards the plans.
	if len(c.pending) >= maxPendingSamples {
		clear(c.pending)
	}
	c.pending[sample.RequestID+"/"+sample.Model] = info
	c.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sampleSubmitTimeout)
		defer cancel()
		_ = c.d.deps.Ratings.Submit(ctx, sample)
	}()
}

// ratingShare returns the fraction of a version's responses to submit for rating.
func (c *cascadePlanner) ratingShare(model, version string) float64 {
	budget := c.d.settings.RatingShare
	ro, ok := c.d.config.current().RolloutFor(model)
	if !ok || !rollout.CarriesTraffic(ro) {
		return budget
	}
	return rollout.RatingShare(budget, ro.Percent(), version == ro.TargetVersion)
}

func (c *cascadePlanner) run(ctx context.Context) {
	runPeriodically(ctx, planInterval, func(ctx context.Context) {
		c.collectRatings(ctx)
		c.updatePlans()
	})
}

func (c *cascadePlanner) collectRatings(ctx context.Context) {
	if c.d.deps.Ratings == nil {
		return
	}
	ratings, next, err := c.d.deps.Ratings.Collect(ctx, c.d.sampleOwnerID(), c.ratingCursor)
	if err != nil {
		return
	}
	c.ratingCursor = next
	for _, r := range ratings {
		c.d.rollouts.recordRating(r.Sample.Model, r.Sample.Version, r.Sample.Server, r.Good)
		c.recordRating(r)
	}
}

func (c *cascadePlanner) recordRating(r platform.Rating) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Sample.RequestID + "/" + r.Sample.Model
	info, known := c.pending[id]
	delete(c.pending, id)
	if !known || info.cascade == "" {
		return
	}
	class := c.stateOf(info.cascade).class(info.class)
	if info.expensive {
		class.RecordExpensiveRating(r.Good)
	} else {
		class.RecordRating(info.confidence, r.Good)
	}
}

// updatePlans recomputes the plan of every cascade from the collected evidence.
func (c *cascadePlanner) updatePlans() {
	cfg := c.d.config.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, spec := range cfg.Cascades {
		costs := cascade.Costs{Cheap: stablePrice(cfg, spec.Steps[0]), Expensive: stablePrice(cfg, spec.Steps[len(spec.Steps)-1])}
		for workspace := range cfg.Workspaces {
			if state := c.state[workspace+"/"+name]; state != nil {
				state.plan = cascade.NewPlan(state.classes, costs, spec.QualityTarget)
			}
		}
	}
}

func stablePrice(cfg *fleet.Config, model string) float64 {
	v, _ := cfg.Version(model, cfg.Models[model].Stable)
	return float64(v.MicrosPerKiloToken)
}
