package gossip

import "time"

// In the overlay, most daemons are no partners of those that evaluate roll-outs. While a roll-out
// runs, each daemon calls them with its evidence: rarely, since they are called by all daemons, but
// soon after a bad answer of the new version.

const (
	// OverlayEvaluators is the number of daemons that evaluate roll-outs in the overlay, the
	// first by rank.
	OverlayEvaluators = 2
	// evidenceIntervalPerDaemon times the number of daemons is the period of the calls.
	evidenceIntervalPerDaemon = 4 * time.Millisecond
)

// Evidence describes the evidence of this daemon on new versions.
type Evidence struct {
	// Active reports that a roll-out is running, and Alarms counts the bad answers of new
	// versions.
	Active bool
	Alarms uint64
}

// evidenceCalls returns the evaluators to call in this round. Callers hold mu.
func (m *Members) evidenceCalls(e Evidence, now time.Time) (due []*member) {
	if !e.Active {
		return nil
	}
	interval := max(overlayInterval, time.Duration(m.table.Alive())*evidenceIntervalPerDaemon)
	if e.Alarms == m.overlay.alarms && now.Sub(m.overlay.evidenceAt) < interval {
		return nil
	}
	m.overlay.alarms, m.overlay.evidenceAt = e.Alarms, now
	for _, address := range m.live.First(OverlayEvaluators, m.table.Self().Eligible) {
		if other := m.members[address]; other != nil && !other.callPending {
			other.sendsEvidence = true
			due = append(due, other)
		}
	}
	return due
}
