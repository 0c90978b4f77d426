package daemon

import (
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/urgency"
)

// workspaceRanks returns the ranks of the workspaces' priorities.
func workspaceRanks(cfg *fleet.Config) urgency.Ranks {
	var list []int
	for _, w := range cfg.Workspaces {
		list = append(list, w.Priority)
	}
	return urgency.NewRanks(list)
}

// decideUrgency returns the urgency of an attempt on a picked server.
func (d *Daemon) decideUrgency(s *step, picked pick) urgency.Decision {
	w := d.config.current().Workspaces[s.workspace]
	timeout := firstTokenTimeout(w)
	decision := urgency.Decide(picked.ranks, urgency.Request{
		Rank: s.priority, Target: time.Duration(w.Objectives.FirstTokenMillis) * time.Millisecond, Timeout: timeout,
		Elapsed: max(timeout-time.Until(s.deadline), 0), Expected: picked.expectedFirstToken, Resent: s.retryState.Attempts() > 1,
	})
	switch {
	case decision.Reason.Raised():
		d.metrics.sendsRaised(decision.Reason).Inc(1)
	case decision.Reason.Yielded():
		d.metrics.sendsYielded(decision.Reason).Inc(1)
	}
	return decision
}

// firstTokenTimeout returns the maximum time to the first token of a workspace's requests.
func firstTokenTimeout(w fleet.Workspace) time.Duration {
	if w.DeadlineMillis > 0 {
		return time.Duration(w.DeadlineMillis) * time.Millisecond
	}
	return defaultDeadline
}
