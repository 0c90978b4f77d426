package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// rolloutInterval is how often roll-outs are judged.
const rolloutInterval = 250 * time.Millisecond

// runRollouts moves roll-outs on. Every daemon judges by what it knows, since any may stop a
// bad version for itself; the first of the judges writes.
func (n *Node) runRollouts(ctx context.Context) {
	loop.Every(ctx, rolloutInterval, func(ctx context.Context, _ time.Time) { n.advanceRollouts(ctx) })
}

// lostPhaseDelay is how long it is waited after the store came back from an older copy before
// phases that it has lost are written again: others may be about to.
const lostPhaseDelay = 500 * time.Millisecond

func (n *Node) advanceRollouts(ctx context.Context) {
	n.rewriteLostPhases(ctx)
	for _, step := range n.Relay.Rollouts.NextPhases(n.members.IncarnationLive) {
		if step.Phase == rollout.RolledBack {
			n.Relay.Rollouts.Suspend(step.Order.Service, step.Order.Offset, step.Reason)
		}
		if n.isRolloutLeader() {
			err := n.writeStatus(ctx, step.Order, step.Phase, step.Age)
			n.log.Info("roll-out status", "service", step.Order.Service, "phase", step.Phase, "why", step.Reason, "err", err)
		}
	}
}

// rewriteLostPhases writes the phases again that a store which came back from an older copy has lost.
func (n *Node) rewriteLostPhases(ctx context.Context) {
	if !n.isRolloutLeader() {
		return
	}
	for _, step := range n.Relay.Rollouts.LostPhases(lostPhaseDelay) {
		err := n.writeStatus(ctx, step.Order, step.Phase, step.Age)
		n.log.Info("roll-out status written again", "service", step.Order.Service, "phase", step.Phase, "err", err)
	}
}
