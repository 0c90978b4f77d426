package relay

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/routing"
)

// maxReportAge bounds the assumed age of the other daemons' reports.
const maxReportAge = 2 * time.Second

// RecordPeerReport counts a report of another daemon's work.
func (s *State) RecordPeerReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerReports.Record(time.Now())
}

// peerReportAge returns the mean age of the other daemons' reports: half of the time in which
// each of them reports once. Callers hold mu.
func (s *State) peerReportAge(now time.Time) time.Duration {
	if s.daemons <= 1 {
		return 0
	}
	rate := s.peerReports.PerSecond(now)
	if rate <= 0 {
		return maxReportAge
	}
	return min(time.Duration(float64(s.daemons-1)/rate/2*float64(time.Second)), maxReportAge)
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
