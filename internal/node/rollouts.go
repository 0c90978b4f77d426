package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// rolloutInterval is the interval at which roll-outs are evaluated.
const rolloutInterval = 250 * time.Millisecond

// runRollouts advances roll-outs until the context ends. Every daemon evaluates them and may
// suspend a bad version locally; only the leader writes phases.
func (n *Node) runRollouts(ctx context.Context) {
	loop.Every(ctx, rolloutInterval, func(ctx context.Context, _ time.Time) { n.advanceRollouts(ctx) })
}

// lostPhaseDelay is the delay after a restore of the store before lost phases are written
// again, in case another daemon does so.
const lostPhaseDelay = 500 * time.Millisecond

func (n *Node) advanceRollouts(ctx context.Context) {
	n.rewriteLostPhases(ctx)
	for _, step := range n.Relay.Rollouts.NextPhases(n.members.IncarnationLive) {
		if step.Phase == rollout.RolledBack {
			n.Relay.Rollouts.Suspend(step.Order.Service, step.Order.Offset, step.Reason)
		}
		if n.isRolloutLeader() {
			err := n.writeStatus(ctx, step.Order, step.Phase, step.OrderAge)
			n.log.Info("roll-out status", "service", step.Order.Service, "phase", step.Phase, "why", step.Reason, "evidence", step.Evidence.Summary(), "err", err)
		}
	}
}

// rewriteLostPhases writes the phases again that a restored store has lost.
func (n *Node) rewriteLostPhases(ctx context.Context) {
	if !n.isRolloutLeader() {
		return
	}
	for _, step := range n.Relay.Rollouts.LostPhases(lostPhaseDelay) {
		err := n.writeStatus(ctx, step.Order, step.Phase, step.OrderAge)
		n.log.Info("roll-out status written again", "service", step.Order.Service, "phase", step.Phase, "err", err)
	}
}
