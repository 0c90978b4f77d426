package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/enginespeed"
	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// EngineSpeedPeers are the daemons with which this one exchanges observations of engines, by the
// hashes of their names.
type EngineSpeedPeers struct {
	Hashes []uint64
	// PartnersOnly is set in a large fleet, where messages go to few daemons.
	PartnersOnly bool
}

// speedChange is a change of an engine's speed class.
type speedChange struct {
	server string
	enginespeed.Change
}

// applySpeeds sets the time per prompt token of each candidate. Callers hold mu.
func (sv *service) applySpeeds(candidates []routing.Candidate) {
	if sv.speeds.AllTypical() {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		c.TimeFactor = sv.speeds.Factor(engineKey(c.Hash))
		c.PrefillPerToken = time.Duration(c.TimeFactor * float64(c.PrefillPerToken))
	}
}

// engineKey returns the key of an engine by the hash of its ID. It is that of ServerKeyOf.
func engineKey(hash uint64) enginespeed.Engine { return enginespeed.Engine(uint32(hash)) }

// timeFactor returns the ratio of the selected server's time to that of a typical one.
func (sel *selection) timeFactor() float64 {
	return sel.candidates[sel.decision.Index].Factor()
}

// typicalTime returns the part of a time that a typical engine takes.
func (t *target) typicalTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / t.factor())
}

// ownTime returns the time that the target takes for what takes a typical engine d.
func (t *target) ownTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.factor())
}

// factor returns the target's timeFactor, which is 1 for servers that are no engines.
func (t *target) factor() float64 {
	if t.timeFactor <= 0 {
		return 1
	}
	return t.timeFactor
}

// loggedFactor returns the factor with two decimals.
func (t *target) loggedFactor() float64 { return math.Round(t.factor()*100) / 100 }

const (
	// maxQuickStep bounds the effect of one first event on what counts as quick.
	maxQuickStep = 1.25
	// firstEventWeight is the weight of a first event, which may have waited for prompts of other
	// daemons, relative to that of a gap.
	firstEventWeight = 0.1
)

// observeFirstEvent records the first event of a send to an engine.
func (s *State) observeFirstEvent(sv *service, t *target, elapsed time.Duration) {
	latency, now := sv.models.get(t.model, nil), time.Now()
	prefill := t.ownTime(latency.prefill.Predict(t.uncached))
	latency.wait.Observe(max(0, elapsed-prefill-t.fetch.delay).Seconds(), now)
	sv.tracker.RecordLateness(t.server.ID, elapsed-t.backlog-prefill-t.fetch.delay, now)
	sv.transfers.observe(t, elapsed, latency.prefill, now)
	if !t.idle || t.fetch.used() || t.unproven {
		return
	}
	latency.prefill.Observe(t.uncached, t.typicalTime(elapsed))
	s.observeQuickEvent(latency, t, elapsed)
}

// observeQuickEvent records the first event of a send to an engine that is not known to have a queue.
func (s *State) observeQuickEvent(latency *modelLatency, t *target, elapsed time.Duration) {
	quick := latency.quick.Predict(t.uncached)
	s.observeSpeed(t, elapsed.Seconds()/quick.Seconds(), firstEventWeight)
	latency.quick.Observe(t.uncached, min(t.typicalTime(elapsed), time.Duration(maxQuickStep*float64(quick))))
}

// recordShortGap records the shortest of some gaps between the events of a stream.
func (s *State) recordShortGap(t *target, gap time.Duration) {
	s.withService(t.service, func(sv *service) {
		gaps, batch := &sv.models.get(t.model, nil).gaps, float64(t.inFlight)
		if expected := gaps.Predict(batch); expected > 0 {
			s.observeSpeed(t, gap.Seconds()/expected, 1)
		}
		if !t.unproven {
			gaps.Observe(batch, t.typicalTime(gap).Seconds())
		}
	})
}

// observeSpeed records the ratio of the time that an engine took to that of a typical one.
func (s *State) observeSpeed(t *target, ratio, weight float64) {
	s.speeds.Observe(engineKey(xxhash.Sum64String(t.server.ID)), ratio, weight, s.bootTime())
}

// EngineSpeedReport returns what is due to be reported to the daemon whose name has a hash; nil if
// nothing is.
func (s *State) EngineSpeedReport(daemon uint64) *enginespeed.Report {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speeds.ReportFor(daemon, now)
}

// MergeEngineSpeeds applies another daemon's report.
func (r *Relay) MergeEngineSpeeds(name string, report *enginespeed.Report) {
	if report == nil {
		return
	}
	now := r.State.bootTime()
	r.State.mu.Lock()
	err := r.State.speeds.Merge(xxhash.Sum64String(name), report, now)
	r.State.mu.Unlock()
	if err != nil {
		r.Metrics.SpeedReportsDropped.Inc(1)
		r.log.Warn("report of engine speeds dropped", "daemon", name, "err", err)
	}
}

// RefreshEngineSpeeds updates the speed classes of all engines. It is called about once a second.
func (r *Relay) RefreshEngineSpeeds(peers EngineSpeedPeers) {
	changes, slower, faster := r.State.refreshEngineSpeeds(peers)
	r.Metrics.EnginesSlower.Update(float64(slower))
	r.Metrics.EnginesFaster.Update(float64(faster))
	for _, c := range changes {
		r.log.Info("engine speed", "server", c.server, "factor", c.Factor, "log_ratio", c.LogRatio, "samples", int(c.Samples), "daemons", c.Daemons)
	}
}

func (s *State) refreshEngineSpeeds(peers EngineSpeedPeers) (changes []speedChange, slower, faster int) {
	now := s.bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speeds.Refresh(peers.Hashes, peers.PartnersOnly, now)
	for name := range s.services {
		sv := s.serviceFor(name)
		engines := make([]enginespeed.Engine, 0, len(sv.members))
		for _, m := range sv.members {
			engines = append(engines, enginespeed.Engine(ServerKeyOf(m.ID)))
		}
		for _, c := range sv.speeds.Update(s.speeds.Estimates(engines, now)) {
			changes = append(changes, speedChange{sv.idByKey[ServerKey(c.Engine)], c})
		}
		slow, fast := sv.speeds.Count()
		slower, faster = slower+slow, faster+fast
	}
	return changes, slower, faster
}
