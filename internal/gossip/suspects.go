package gossip

import (
	"slices"
	"time"
)

// An unanswered call is reported to the other daemons, which call the suspect next. This
// detects failures long before the liveness timeout of large deployments. A daemon only
// relies on its own calls, since the reporter may itself be partitioned from the suspect.

// markSuspected marks the members that another daemon reported. Callers hold mu.
func (m *Members) markSuspected(addresses []string, now time.Time) {
	for _, a := range addresses {
		if o := m.members[a]; o != nil && m.live.Contains(a) && !o.lastCallFailed && now.Sub(o.lastContact) >= Interval {
			o.suspected = true
		}
	}
}

// recentFailures returns up to maxSuspects addresses that recently failed to answer.
// Callers hold mu.
func (m *Members) recentFailures(now time.Time) (out []string) {
	for _, o := range m.failedMembers {
		if o.lastCallFailed && now.Sub(o.lastAttempt) < suspectReportPeriod && len(out) < maxSuspects {
			out = append(out, o.address)
		}
	}
	return out
}

// updateFailedMembers updates failedMembers after a call. Callers hold mu.
func (m *Members) updateFailedMembers(o *member) {
	m.failedMembers = slices.DeleteFunc(m.failedMembers, func(f *member) bool { return f == o || !f.lastCallFailed })
	if o.lastCallFailed {
		m.failedMembers = append(m.failedMembers, o)
	}
	m.failedMembers = m.failedMembers[max(0, len(m.failedMembers)-maxSuspects):]
}
