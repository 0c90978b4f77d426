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
	// Millis is the engine time in milliseconds, Requests and DelayCost are multiplied by
	// loadScale.
	Millis, Requests, DelayCost uint32
}

// loadScale is the number of units per request, and per unit of prices, in a ModelLoad.
const loadScale = 100

// modelKey identifies a model of a service between daemons.
func modelKey(service, model string) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + model))
}

// loadReporters is the number of daemons that report their load by model, if there are more. Shares
// and prices are ratios, for which a sample of the daemons is enough.
const loadReporters = 16

// loadReportInterval is the least time between two messages with a report, so that a reporter's
// messages cost the same in a fleet of any size.
const loadReportInterval = 50 * time.Millisecond

// reportsModelLoad reports whether this daemon is one of the sample. Callers hold mu.
func (s *State) reportsModelLoad() bool {
	groups := uint64(s.daemons+loadReporters-1) / loadReporters
	return groups <= 1 || xxhash.Sum64String(s.daemon)%groups == 0
}

// OwnModelLoad returns this daemon's recent load by model, for the other daemons. It is empty if they
// do not need it.
func (r *Relay) OwnModelLoad() []ModelLoad {
	now := time.Now()
	if !r.State.loadReportDue(now) {
		return nil
	}
	var out []ModelLoad
	r.State.eachModelWork(now, func(service, model string, spent time.Duration) {
		var costs cascade.DelayCosts
		r.withEscalator(service, func(v *cascade.Escalator) { costs = v.DelayCosts(model, now) })
		load := ModelLoad{Model: modelKey(service, model), Millis: uint32(spent.Milliseconds()), Requests: uint32(costs.Requests * loadScale), DelayCost: uint32(costs.Sum * loadScale)}
		if load.Millis > 0 || load.Requests > 0 {
			out = append(out, load)
		}
	})
	slices.SortFunc(out, func(a, b ModelLoad) int { return cmp.Compare(b.Millis, a.Millis) })
	return out[:min(len(out), routing.MaxReportedModels)]
}

// loadReportDue reports whether the next message carries a report, and records that it does.
func (s *State) loadReportDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reportsModelLoad() || now.Sub(s.loadReportedAt) < loadReportInterval {
		return false
	}
	s.loadReportedAt = now
	return true
}

// eachModelWork calls f with the engine time that this daemon has recently spent on each model.
func (s *State) eachModelWork(now time.Time, f func(service, model string, spent time.Duration)) {
	type work struct {
		service, model string
		spent          time.Duration
	}
	var list []work
	s.mu.Lock()
	for name, sv := range s.services {
		if sv.partition == nil {
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
		byModel[load.Model] = routing.ModelLoad{Seconds: float64(load.Millis) / 1000, Requests: float64(load.Requests) / loadScale, DelayCost: float64(load.DelayCost) / loadScale}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modelLoad.Record(daemon, byModel, time.Now())
}

// addPeerWork adds the reported work to the partition of a service. Callers hold mu.
func (s *State) addPeerWork(name string, sv *service, e *route.Engine, now time.Time) {
	sv.partition.SetReporter(s.reportsModelLoad())
	for model := range e.CostPerKiloToken {
		sv.partition.SetPeerWork(model, s.modelLoad.Of(modelKey(name, model), now).Seconds)
	}
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
