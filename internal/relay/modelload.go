package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/cascade"
	"github.com/damaskrudder/damaskrudder/internal/route"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// ModelLoad is a daemon's recent load of a model of a service, see routing.ModelLoad.
type ModelLoad struct {
	_ struct{} `cbor:",toarray"`
	// Model is the key of the service and the model, see modelKey.
	Model uint32
	// Millis is the weighted engine time in milliseconds.
	Millis int64
	// Requests is the number of requests, multiplied by requestScale.
	Requests int64
	// DelayCost is in the unit of prices.
	DelayCost float32
}

// requestScale is the number of units per request in a ModelLoad.
const requestScale = 100

// modelKey identifies a model of a service between daemons.
func modelKey(service, model string) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + model))
}

// loadReporters is the number of daemons that report their load by model, if there are more and all
// hear each other. Shares and prices are ratios, for which a sample of the daemons is enough.
const loadReporters = 16

// minLoadReporters is the number of daemons that must have reported for a daemon that does not report to
// leave its own load out.
const minLoadReporters = 3

// reportsModelLoad reports whether this daemon reports its load by model. Callers hold mu.
func (s *State) reportsModelLoad() bool {
	groups := uint64(s.daemons+loadReporters-1) / loadReporters
	return s.partnersOnly || groups <= 1 || xxhash.Sum64String(s.daemon)%groups == 0
}

// SetPartnersOnly sets whether this daemon hears only some of the others.
func (s *State) SetPartnersOnly(partnersOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partnersOnly = partnersOnly
}

// OwnModelLoad returns this daemon's recent load by model, for the other daemons. It is empty if they
// do not need it.
func (r *Relay) OwnModelLoad() (out []ModelLoad) {
	now := time.Now()
	r.State.eachModelWork(now, func(service, model string, spent time.Duration) {
		var costs cascade.DelayCosts
		r.withEscalator(service, func(v *cascade.Escalator) { costs = v.DelayCosts(model, now) })
		load := ModelLoad{
			Model: modelKey(service, model), Millis: spent.Milliseconds(),
			Requests: int64(costs.Requests * requestScale), DelayCost: float32(costs.Sum),
		}
		if load.Millis > 0 || load.Requests > 0 {
			out = append(out, load)
		}
	})
	slices.SortFunc(out, func(a, b ModelLoad) int { return cmp.Compare(b.Millis, a.Millis) })
	return out[:min(len(out), routing.MaxReportedModels)]
}

// eachModelWork calls f with the engine time that this daemon has recently spent on each model, if
// it reports that.
func (s *State) eachModelWork(now time.Time, f func(service, model string, spent time.Duration)) {
	type work struct {
		service, model string
		spent          time.Duration
	}
	var list []work
	s.mu.Lock()
	for name, sv := range s.services {
		if sv.partition == nil || !s.reportsModelLoad() {
			continue
		}
		for model, spent := range sv.partition.Work(now) {
			list = append(list, work{name, model, spent})
		}
	}
	s.mu.Unlock()
	for _, w := range list {
		f(w.service, w.model, w.spent)
	}
}

// ApplyModelLoad replaces the report of another daemon. It returns false if the report is invalid.
func (s *State) ApplyModelLoad(daemon string, list []ModelLoad) (valid bool) {
	byModel := make(map[uint32]routing.ModelLoad, len(list))
	for _, load := range list {
		byModel[load.Model] = routing.ModelLoad{
			Seconds: float64(load.Millis) / 1000, Requests: float64(load.Requests) / requestScale, DelayCost: float64(load.DelayCost),
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modelLoad.Record(daemon, byModel, time.Now())
}

// applyModelLoad sets the reported work in the partition of a service. Daemons that do not report
// leave their own work out, so that all take the same sums. Callers hold mu.
func (s *State) applyModelLoad(name string, sv *service, e *route.Engine, now time.Time) {
	reported := map[string]float64{}
	for model := range e.CostPerKiloToken {
		reported[model] = s.modelLoad.Of(modelKey(name, model), now).Seconds
	}
	countOwn := s.reportsModelLoad() || s.modelLoad.Reporters(now) < minLoadReporters
	sv.partition.SetPeerWork(reported, countOwn)
}

// peerDelayCosts returns the cost of delay of the other daemons' requests of a model.
func (s *State) peerDelayCosts(service, model string) cascade.DelayCosts {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.modelLoad.Of(modelKey(service, model), time.Now())
	return cascade.DelayCosts{Sum: load.DelayCost, Requests: load.Requests}
}

// peerDelayCosts returns the cost of delay of the other daemons' requests by model.
func (x *exchange) peerDelayCosts(models []cascade.Model) []cascade.DelayCosts {
	out := make([]cascade.DelayCosts, len(models))
	for i, model := range models {
		out[i] = x.relay.State.peerDelayCosts(x.service.Name, model.Name)
	}
	return out
}
