package gossip

import (
	"slices"
	"time"
)

// An unanswered call is reported to the other daemons, which call the suspect next. This
// detects failures before the liveness timeout, which is long in large deployments. A report
// alone marks no daemon as failed, since its sender may be partitioned from the suspect.

// markSuspected marks the members that another daemon reported. Callers hold mu.
func (m *Members) markSuspected(addresses []string, now time.Time) {
	if m.overlay.active {
		return // the partners of a daemon detect its failure
	}
	for _, address := range addresses {
		if other := m.members[address]; other != nil && m.live.Contains(address) && !other.lastCallFailed && now.Sub(other.lastContact) >= Interval {
			other.suspected = true
		}
	}
}

// recentFailures returns up to maxSuspects addresses that recently did not respond.
// Callers hold mu.
func (m *Members) recentFailures(now time.Time) (out []string) {
	for _, other := range m.failedMembers {
		if other.lastCallFailed && now.Sub(other.lastAttempt) < suspectReportPeriod && len(out) < maxSuspects {
			out = append(out, other.address)
		}
	}
	return out
}

// updateFailedMembers updates failedMembers after a call. Callers hold mu.
func (m *Members) updateFailedMembers(other *member) {
	m.failedMembers = slices.DeleteFunc(m.failedMembers, func(f *member) bool { return f == other || !f.lastCallFailed })
	if other.lastCallFailed {
		m.failedMembers = append(m.failedMembers, other)
	}
	m.failedMembers = m.failedMembers[max(0, len(m.failedMembers)-maxSuspects):]
}
