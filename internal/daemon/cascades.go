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
	// planEvery is the period of planning and of collecting ratings.
	planEvery = time.Second
	// submitTimeout bounds handing a sample to the rating service.
	submitTimeout = 2 * time.Second
	// sampleMemory bounds the samples that await their rating.
	sampleMemory = 20000
)

// cascades learns from ratings and plans each workspace's cascades.
type cascades struct {
	d       *Daemon
	mu      sync.Mutex
	state   map[string]*cascadeState
	samples map[string]sampleInfo
	cursor  int
}

type cascadeState struct {
	classes map[string]*cascade.Class
	plan    cascade.Plan
	cheap   string
}

// sampleInfo remembers what a rating will be about.
type sampleInfo struct {
	cascade, class string
	confidence     float64
	dear           bool
}

func newCascades(d *Daemon) *cascades {
	return &cascades{d: d, state: map[string]*cascadeState{}, samples: map[string]sampleInfo{}}
}

func (c *cascades) of(key string) *cascadeState {
	s := c.state[key]
	if s == nil {
		s = &cascadeState{classes: map[string]*cascade.Class{}}
		c.state[key] = s
	}
	return s
}

func (s *cascadeState) class(name string) *cascade.Class {
	k := s.classes[name]
	if k == nil {
		k = &cascade.Class{}
		s.classes[name] = k
	}
	return k
}

// cheapFirst reports whether a request goes to the cheap model first. Cheap
// names the model and version; a new one resets what was learned of the old.
func (c *cascades) cheapFirst(key, class, cheap string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(key)
	if s.cheap != cheap {
		for _, k := range s.classes {
			k.Reset()
		}
		s.cheap = cheap
	}
	_, known := s.plan.Accept[class]
	return s.plan.UseCheapFirst(class, known, rand.Float64())
}

// accepts counts a cheap answer and reports whether it may stand.
func (c *cascades) accepts(key, class string, confidence float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(key)
	s.class(class).RecordConfidence(confidence)
	return s.plan.Accepts(class, confidence)
}

// sample hands an answer to the rating service for a share of requests.
func (c *cascades) sample(info sampleInfo, s platform.Sample) {
	if c.d.ports.Rater == nil || rand.Float64() >= c.ratingShare(s.Model, s.Version) {
		return
	}
	c.mu.Lock()
	// Ratings that never come would fill the memory for good and end all
	// learning; forgetting everything costs the ratings under way.
	if len(c.samples) >= sampleMemory {
		clear(c.samples)
	}
	c.samples[s.RequestID+"/"+s.Model] = info
	c.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
		defer cancel()
		_ = c.d.ports.Rater.Submit(ctx, s)
	}()
}

// ratingShare is the fraction of a version's answers to have rated.
func (c *cascades) ratingShare(model, version string) float64 {
	budget := c.d.settings.RatingShare
	ro, ok := c.d.config.current().RolloutFor(model)
	if !ok || !rollout.CarriesTraffic(ro) {
		return budget
	}
	return rollout.RatingShare(budget, ro.Percent(), version == ro.TargetVersion)
}

func (c *cascades) loop(ctx context.Context) {
	every(ctx, planEvery, func(ctx context.Context) {
		c.collect(ctx)
		c.plan()
	})
}

func (c *cascades) collect(ctx context.Context) {
	if c.d.ports.Rater == nil {
		return
	}
	ratings, next, err := c.d.ports.Rater.Collect(ctx, c.d.raterID(), c.cursor)
	if err != nil {
		return
	}
	c.cursor = next
	for _, r := range ratings {
		c.d.rollouts.rated(r.Sample.Model, r.Sample.Version, r.Sample.Server, r.Good)
		c.learn(r)
	}
}

func (c *cascades) learn(r platform.Rating) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Sample.RequestID + "/" + r.Sample.Model
	info, known := c.samples[id]
	delete(c.samples, id)
	if !known || info.cascade == "" {
		return
	}
	k := c.of(info.cascade).class(info.class)
	if info.dear {
		k.RecordExpensiveRating(r.Good)
	} else {
		k.RecordRating(info.confidence, r.Good)
	}
}

// plan makes every cascade's plan anew from the evidence.
func (c *cascades) plan() {
	cfg := c.d.config.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, k := range cfg.Cascades {
		costs := cascade.Costs{Cheap: stablePrice(cfg, k.Steps[0]), Expensive: stablePrice(cfg, k.Steps[len(k.Steps)-1])}
		for ws := range cfg.Workspaces {
			if s := c.state[ws+"/"+name]; s != nil {
				s.plan = cascade.NewPlan(s.classes, costs, k.QualityTarget)
			}
		}
	}
}

func stablePrice(c *fleet.Config, model string) float64 {
	v, _ := c.Version(model, c.Models[model].Stable)
	return float64(v.MicrosPerKiloToken)
}
