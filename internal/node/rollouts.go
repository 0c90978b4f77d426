package node

import (
	"context"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/loop"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
)

// decideEvery is how often roll-outs are judged.
const decideEvery = 250 * time.Millisecond

// decide moves roll-outs on. Every daemon judges by what it knows, since any may stop a
// bad version for itself; the first of the judges writes.
func (n *Node) decide(ctx context.Context) {
	loop.Every(ctx, decideEvery, func(ctx context.Context, _ time.Time) { n.judge(ctx) })
}

// unsaidFor is how long it is waited after the store came back from an older copy before
// phases that it has lost are written again: others may be about to.
const unsaidFor = 500 * time.Millisecond

func (n *Node) judge(ctx context.Context) {
	n.writeUnsaid(ctx)
	for _, step := range n.Relay.Rollouts.NextPhases(n.members.IncarnationLive) {
		if step.Phase == rollout.RolledBack {
			n.Relay.Rollouts.Suspend(step.Order.Service, step.Order.Offset, step.Reason)
		}
		if n.decides() {
			err := n.writeStatus(ctx, step.Order, step.Phase, step.Age)
			n.log.Info("roll-out status", "service", step.Order.Service, "phase", step.Phase, "why", step.Reason, "err", err)
		}
	}
}

// writeUnsaid writes the phases again that a store which came back from an older copy has lost.
func (n *Node) writeUnsaid(ctx context.Context) {
	if !n.decides() {
		return
	}
	for _, step := range n.Relay.Rollouts.LostPhases(unsaidFor) {
		err := n.writeStatus(ctx, step.Order, step.Phase, step.Age)
		n.log.Info("roll-out status written again", "service", step.Order.Service, "phase", step.Phase, "err", err)
	}
}
