package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// maxReportAge is the age from which reports of other daemons say nothing of the present load.
const maxReportAge = 2 * time.Second

// RecordPeerReport counts a report of another daemon's work.
func (s *State) RecordPeerReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerReports.Record(time.Now())
}

// peerReportAge returns the mean age of the other daemons' reports: half of the time in which
// each of them reports once. It is zero without recent reports. Callers hold mu.
func (s *State) peerReportAge(now time.Time) time.Duration {
	rate := s.peerReports.PerSecond(now)
	if rate <= 0 {
		return 0
	}
	age := time.Duration(float64(s.daemons-1) / rate / 2 * float64(time.Second))
	if age > maxReportAge {
		return 0
	}
	return age
}

// unseenWork estimates the work for a model that the other daemons have not reported yet. It
// assumes that they send as much as this one. Callers hold mu.
func (s *State) unseenWork(sv *service, model string, now time.Time) routing.UnseenWork {
	others := time.Duration(s.daemons - 1)
	if others == 0 || sv.partition == nil {
		return routing.UnseenWork{}
	}
	latency := sv.models.get(model, nil)
	perSecond := latency.work.PerSecond(now)*float64(time.Second) + latency.load.PerSecond(now)*float64(routing.BatchCost)
	return routing.UnseenWork{PerSecond: others * time.Duration(perSecond), ReportAge: s.peerReportAge(now)}
}

// estimateUnreportedLoad adds what the other daemons are likely to have sent since their reports.
// Callers hold mu.
func (s *State) estimateUnreportedLoad(sel *selection, req *requirements, p routing.Pipeline, now time.Time) {
	if req.engine == nil {
		routing.MixReportedLoad(&sel.request, sel.candidates, p, s.peerReportAge(now))
		return
	}
	sel.setPatience(req)
	s.unseenWork(sel.service, req.model, now).Distribute(&sel.request, sel.candidates, p, s.rng)
}
